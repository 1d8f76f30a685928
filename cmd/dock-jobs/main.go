// Command dock-jobs runs an entry host for jobs on the users' platform.
package main

import (
	"context"
	"net/http"

	"laburnumdock/internal/jobclient"
	"laburnumdock/internal/process"
	"laburnumdock/internal/role"
	"laburnumdock/internal/settings"
	"laburnumdock/platform"
)

func main() {
	process.Main("dock-jobs", "entry host for jobs of laburnumdock on the users' platform", func(set *settings.Set) func(context.Context) error {
		s := settings.NewJobEntry(set)
		return func(ctx context.Context) error {
			log, err := process.Logger(s.Process, "jobs")
			if err != nil {
				return err
			}
			defer log.Flush()
			return role.JobEntry(ctx, s, log, func(client *jobclient.Client) http.Handler {
				return platform.ClientHandler(client, int64(*s.MaxBodyBytes), log)
			})
		}
	})
}
