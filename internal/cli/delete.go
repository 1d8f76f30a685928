package cli

import (
	"context"
	"net/http"
	"net/url"
	"strconv"

	"github.com/urfave/cli/v3"

	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/core/model"
)

func deleteCommand() *cli.Command {
	return &cli.Command{
		Name: "delete", Usage: "delete a resource", ArgsUsage: "KIND NAME",
		Flags:  []cli.Flag{&cli.Uint64Flag{Name: "version", Usage: "expected version of the resource; the current one if not set"}},
		Action: runDelete,
	}
}

func runDelete(ctx context.Context, c *cli.Command) error {
	args, err := exactArgs(c, "KIND", "NAME")
	if err != nil {
		return err
	}
	client, err := clientFromFlags(c)
	if err != nil {
		return err
	}
	key := model.Key{Kind: model.Kind(args[0]), Name: args[1]}
	version := c.Uint64("version")
	if version == 0 {
		if version, err = resourceVersion(ctx, client, key); err != nil {
			return err
		}
	}
	if version == 0 {
		return fault.New(fault.NotFound, "%s/%s does not exist", key.Kind, key.Name)
	}
	query := url.Values{"version": {strconv.FormatUint(version, 10)}}
	changed, err := client.change(ctx, apiCall{method: http.MethodDelete, path: resourcePath(key.Kind, key.Name), query: query})
	if err != nil {
		return err
	}
	return printChangeResult(c, "deleted", changed)
}
