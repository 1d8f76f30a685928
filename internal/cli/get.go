package cli

import (
	"context"
	"encoding/json"
	"io"

	"github.com/urfave/cli/v3"

	"laburnumdock/internal/core/model"
)

func getCommand() *cli.Command {
	return &cli.Command{Name: "get", Usage: "show the resources of a kind, or one of them", ArgsUsage: "KIND [NAME]", Action: runGet}
}

func runGet(ctx context.Context, c *cli.Command) error {
	if n := c.NArg(); n < 1 || n > 2 {
		return usagef("get requires a kind and accepts a name")
	}
	kind := model.Kind(c.Args().First())
	if model.New(kind) == nil {
		return usagef("resource kind %q is not one of %v", kind, model.Kinds())
	}
	client, err := clientFromFlags(c)
	if err != nil {
		return err
	}
	path, name := "/v1/"+string(kind), c.Args().Get(1)
	if name != "" {
		path = resourcePath(kind, name)
	}
	data, err := client.read(ctx, apiCall{path: path}, nil)
	if err != nil {
		return err
	}
	return printResponse(c, data, func(w io.Writer) error { return printResources(w, kind, data, name != "") })
}

func printResources(w io.Writer, kind model.Kind, data []byte, single bool) error {
	items := []json.RawMessage{data}
	if !single {
		var list struct{ Items []json.RawMessage }
		if err := decodeResponse(data, &list); err != nil {
			return err
		}
		items = list.Items
	}
	if err := writeRow(w, headings[kind]...); err != nil {
		return err
	}
	for _, item := range items {
		obj, err := decodeResource(kind, item)
		if err != nil {
			return err
		}
		if err := writeRow(w, cells(obj)...); err != nil {
			return err
		}
	}
	return nil
}
