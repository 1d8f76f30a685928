package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"laburnumdock/internal/core/explain"
	"laburnumdock/internal/core/model"
)

func describeCommand() *cli.Command {
	return &cli.Command{Name: "describe", Usage: "show a resource and why it or parts of it wait", ArgsUsage: "KIND NAME", Action: runDescribe}
}

// describeResponse is the response to a describe request.
type describeResponse struct {
	Version uint64          `json:"version"`
	Object  json.RawMessage `json:"object"`
	Waits   []explain.Wait  `json:"waits"`
}

func (c *Client) describe(ctx context.Context, kind model.Kind, name string) (describeResponse, []byte, error) {
	var d describeResponse
	data, err := c.read(ctx, apiCall{path: "/v1/describe" + resourcePath(kind, name)[len("/v1"):]}, &d)
	return d, data, err
}

func runDescribe(ctx context.Context, c *cli.Command) error {
	args, err := exactArgs(c, "KIND", "NAME")
	if err != nil {
		return err
	}
	client, err := clientFromFlags(c)
	if err != nil {
		return err
	}
	d, data, err := client.describe(ctx, model.Kind(args[0]), args[1])
	if err != nil {
		return err
	}
	return printResponse(c, data, func(w io.Writer) error {
		if err := printYAML(w, d.Object); err != nil {
			return err
		}
		return printWaits(w, d.Waits)
	})
}

func printWaits(w io.Writer, waits []explain.Wait) error {
	if len(waits) == 0 {
		_, err := fmt.Fprintln(w, "nothing waits")
		return err
	}
	for _, wait := range waits {
		if _, err := fmt.Fprintln(w, explain.Sentence(wait)); err != nil {
			return err
		}
	}
	return nil
}
