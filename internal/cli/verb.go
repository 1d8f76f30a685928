package cli

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"

	"github.com/urfave/cli/v3"

	"laburnumdock/internal/api"
	"laburnumdock/internal/core/model"
)

// verbFlags are the flags of commands that change a resource by a verb.
func verbFlags() []cli.Flag {
	return []cli.Flag{
		&cli.Uint64Flag{Name: "version", Usage: "version that must be there; the current one if absent"},
		&cli.BoolFlag{Name: "dry-run", Usage: "tell the outcome and change nothing"},
	}
}

// runVerb has a verb carried out and prints what was done.
func runVerb(ctx context.Context, c *cli.Command, kind model.Kind, name, verb, done string, body api.VerbBody) error {
	client, err := connect(c)
	if err != nil {
		return err
	}
	body.Version = c.Uint64("version")
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	query := url.Values{}
	if c.Bool("dry-run") {
		query.Set("dryRun", "true")
	}
	changed, err := client.change(ctx, call{method: http.MethodPost, path: resourcePath(kind, name) + "/" + verb, query: query, body: data})
	if err != nil {
		return err
	}
	return printChanged(c, done, changed)
}
