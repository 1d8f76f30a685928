package cli

import (
	"context"
	"io"
	"net/url"
	"strconv"
	"time"

	"github.com/urfave/cli/v3"

	"laburnumdock/internal/api"
	"laburnumdock/internal/core/state"
)

func auditCommand() *cli.Command {
	return &cli.Command{
		Name: "audit", Usage: "show who changed what",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "since", Usage: "show entries after this version"},
			&cli.IntFlag{Name: "limit", Value: 100, Usage: "number of entries"},
			&cli.StringFlag{Name: "kind", Usage: "kind of resource"},
			&cli.StringFlag{Name: "name", Usage: "name of a resource"},
		},
		Action: runAudit,
	}
}

func runAudit(ctx context.Context, c *cli.Command) error {
	if c.Args().Present() {
		return usagef("audit takes no arguments")
	}
	client, err := connect(c)
	if err != nil {
		return err
	}
	query := url.Values{"since": {strconv.FormatUint(c.Uint64("since"), 10)}, "limit": {strconv.Itoa(c.Int("limit"))}}
	for _, name := range []string{"kind", "name"} {
		if value := c.String(name); value != "" {
			query.Set(name, value)
		}
	}
	var page api.AuditPage
	data, err := client.read(ctx, call{path: "/v1/audit", query: query}, &page)
	if err != nil {
		return err
	}
	return printAnswer(c, data, func(w io.Writer) error { return printAudit(w, page.Entries) })
}

func printAudit(w io.Writer, entries []state.AuditEntry) error {
	if err := row(w, "VERSION", "TIME", "ACTOR", "SOURCE", "ACTION", "KIND", "NAME", "FROM", "TO", "OUTCOME"); err != nil {
		return err
	}
	for _, e := range entries {
		if err := row(w, e.Version, e.Time.Format(time.RFC3339), e.Actor, e.Source, e.Action, e.Kind, e.Name, e.OldVersion, e.NewVersion, e.Outcome); err != nil {
			return err
		}
	}
	return nil
}
