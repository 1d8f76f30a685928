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
		Name: "apply", Usage: "create or change the resources of manifests",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "file", Aliases: []string{"f"}, Usage: "YAML or JSON file, or - for standard input"},
			&cli.BoolFlag{Name: "dry-run", Usage: "judge the manifests as a whole and change nothing"},
		},
		Action: runApply,
	}
}

func runApply(ctx context.Context, c *cli.Command) error {
	if len(c.StringSlice("file")) == 0 || c.Args().Present() {
		return usagef("apply needs --file and no arguments")
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
	client, err := connect(c)
	if err != nil {
		return err
	}
	if c.Bool("dry-run") {
		return dryRun(ctx, c, client, list)
	}
	for _, obj := range list {
		if err := applyOne(ctx, c, client, obj); err != nil {
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

// applyOne declares one resource. A manifest without a version is based on the
// version that is there now.
func applyOne(ctx context.Context, c *cli.Command, client *Client, obj model.Object) error {
	head := obj.Metadata()
	verb := "changed"
	current, err := currentVersion(ctx, client, head.Key())
	if err != nil {
		return err
	}
	if head.Version == 0 {
		head.Version = current
	}
	if current == 0 {
		verb = "created"
	}
	body, err := json.Marshal(obj)
	if err != nil {
		return err
	}
	changed, err := client.change(ctx, call{method: http.MethodPut, path: resourcePath(head.Kind, head.Name), body: body})
	if err != nil {
		return named(head.Key(), err)
	}
	if changed.Version == current {
		verb = "unchanged"
	}
	return printChanged(c, verb, changed)
}

// currentVersion returns the version of a resource, or 0 if there is none.
func currentVersion(ctx context.Context, client *Client, key model.Key) (uint64, error) {
	var object struct{ Metadata model.Meta }
	_, err := client.read(ctx, call{path: resourcePath(key.Kind, key.Name)}, &object)
	if fault.KindOf(err) == fault.NotFound {
		return 0, nil
	}
	return object.Metadata.Version, err
}

// named adds the resource to the message of a refusal.
func named(key model.Key, err error) error {
	f := *fault.From(err)
	f.Message = fmt.Sprintf("%s/%s: %s", key.Kind, key.Name, f.Message)
	return &f
}

// dryRun has all resources judged one after the other, and returns the first
// refusal.
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
	answered, err := client.read(ctx, call{method: http.MethodPost, path: "/v1/dry-run", body: data}, &out)
	if err != nil {
		return err
	}
	if err := printAnswer(c, answered, func(w io.Writer) error { return printDryRun(w, out) }); err != nil {
		return err
	}
	for _, r := range out.Results {
		if r.Error != nil {
			return named(model.Key{Kind: r.Kind, Name: r.Name}, r.Error)
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
