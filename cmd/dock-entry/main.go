// Command dock-entry runs an entry host.
package main

import (
	"context"

	"laburnumdock/internal/process"
	"laburnumdock/internal/role"
	"laburnumdock/internal/settings"
)

func main() {
	process.Main("dock-entry", "entry host of laburnumdock", func(set *settings.Set) func(context.Context) error {
		s := settings.NewEntry(set)
		return func(ctx context.Context) error {
			log, err := process.Logger(s.Process, "entry")
			if err != nil {
				return err
			}
			defer log.Flush()
			return role.Entry(ctx, s, log)
		}
	})
}
