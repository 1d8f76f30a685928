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

// verbFlags returns the flags of commands that run a verb on a resource.
func verbFlags() []cli.Flag {
	return []cli.Flag{
		&cli.Uint64Flag{Name: "version", Usage: "expected version of the resource; the current one if not set"},
		&cli.BoolFlag{Name: "dry-run", Usage: "show the outcome without changing anything"},
	}
}

// runVerb runs a verb on a resource and prints the given outcome if it succeeds.
func runVerb(ctx context.Context, c *cli.Command, kind model.Kind, name, verb, outcome string, body api.VerbBody) error {
	client, err := clientFromFlags(c)
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
	changed, err := client.change(ctx, apiCall{method: http.MethodPost, path: resourcePath(kind, name) + "/" + verb, query: query, body: data})
	if err != nil {
		return err
	}
	return printChangeResult(c, outcome, changed)
}
