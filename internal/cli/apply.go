package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"

	"github.com/urfave/cli/v3"

	"laburnumdock/internal/api"
	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/core/model"
	"laburnumdock/internal/manifest"
)

func applyCommand() *cli.Command {
	return &cli.Command{
		Name: "apply", Usage: "create or change the resources in manifests",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "file", Aliases: []string{"f"}, Usage: "YAML or JSON file, or - for standard input"},
			&cli.BoolFlag{Name: "dry-run", Usage: "validate the manifests together without changing anything"},
		},
		Action: runApply,
	}
}

func runApply(ctx context.Context, c *cli.Command) error {
	if len(c.StringSlice("file")) == 0 || c.Args().Present() {
		return usagef("apply requires --file and takes no arguments")
	}
	var list []model.Object
	for _, name := range c.StringSlice("file") {
		data, err := readInput(c, name)
		if err != nil {
			return usagef("%s", err)
		}
		objects, err := manifest.Read(name, data)
		if err != nil {
			return usagef("%s", err)
		}
		list = append(list, objects...)
	}
	manifest.Sort(list)
	client, err := clientFromFlags(c)
	if err != nil {
		return err
	}
	if c.Bool("dry-run") {
		return dryRun(ctx, c, client, list)
	}
	for _, obj := range list {
		if err := applyResource(ctx, c, client, obj); err != nil {
			return err
		}
	}
	return nil
}

func readInput(c *cli.Command, name string) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(c.Root().Reader)
	}
	return os.ReadFile(name)
}

// applyResource creates or updates one resource. If the manifest has no version,
// the current version is the expected one.
func applyResource(ctx context.Context, c *cli.Command, client *Client, obj model.Object) error {
	metadata := obj.Metadata()
	outcome := "changed"
	current, err := resourceVersion(ctx, client, metadata.Key())
	if err != nil {
		return err
	}
	if metadata.Version == 0 {
		metadata.Version = current
	}
	if current == 0 {
		outcome = "created"
	}
	body, err := json.Marshal(obj)
	if err != nil {
		return err
	}
	changed, err := client.change(ctx, apiCall{method: http.MethodPut, path: resourcePath(metadata.Kind, metadata.Name), body: body})
	if err != nil {
		return withResourceName(metadata.Key(), err)
	}
	if changed.Version == current {
		outcome = "unchanged"
	}
	return printChangeResult(c, outcome, changed)
}

// resourceVersion returns the version of a resource, or 0 if it does not exist.
func resourceVersion(ctx context.Context, client *Client, key model.Key) (uint64, error) {
	var object struct{ Metadata model.Meta }
	_, err := client.read(ctx, apiCall{path: resourcePath(key.Kind, key.Name)}, &object)
	if fault.KindOf(err) == fault.NotFound {
		return 0, nil
	}
	return object.Metadata.Version, err
}

// withResourceName adds the kind and the name of a resource to an error.
func withResourceName(key model.Key, err error) error {
	f := *fault.From(err)
	f.Message = fmt.Sprintf("%s/%s: %s", key.Kind, key.Name, f.Message)
	return &f
}

// dryRun validates all resources in one request, prints the outcome of each and
// returns the first refusal.
func dryRun(ctx context.Context, c *cli.Command, client *Client, list []model.Object) error {
	var body api.DryRunRequest
	for _, obj := range list {
		data, err := json.Marshal(obj)
		if err != nil {
			return err
		}
		body.Objects = append(body.Objects, data)
	}
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	var out api.DryRunResponse
	response, err := client.read(ctx, apiCall{method: http.MethodPost, path: "/v1/dry-run", body: data}, &out)
	if err != nil {
		return err
	}
	if err := printResponse(c, response, func(w io.Writer) error { return printDryRun(w, out) }); err != nil {
		return err
	}
	for _, r := range out.Results {
		if r.Error != nil {
			return withResourceName(model.Key{Kind: r.Kind, Name: r.Name}, r.Error)
		}
	}
	return nil
}

func printDryRun(w io.Writer, out api.DryRunResponse) error {
	for _, r := range out.Results {
		outcome := "would be changed"
		switch {
		case r.Error != nil:
			outcome = "would be refused: " + r.Error.Error()
		case r.Created:
			outcome = "would be created"
		case r.Unchanged:
			outcome = "would stay unchanged"
		}
		if _, err := fmt.Fprintf(w, "%s/%s %s\n", r.Kind, r.Name, outcome); err != nil {
			return err
		}
	}
	return nil
}
