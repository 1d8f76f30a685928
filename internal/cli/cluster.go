package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"laburnumdock/internal/api"
)

const clusterPath = "/v1/cluster"

func clusterCommand() *cli.Command {
	return &cli.Command{
		Name: "cluster", Usage: "show and change the members of the control cluster",
		Commands: []*cli.Command{
			{Name: "status", Usage: "show the members and how many further losses the cluster tolerates", Action: runClusterStatus},
			cellStatusCommand(),
			memberCommand(api.MemberAdd, "add a replica as a learner, after its init-join", "ID", "URL"),
			memberCommand(api.MemberPromote, "make a caught-up learner a voter", "ID"),
			memberCommand(api.MemberRemove, "remove a replica; its ID is never reused", "ID"),
		},
	}
}

func memberCommand(action api.MemberAction, usage string, names ...string) *cli.Command {
	return &cli.Command{
		Name: string(action), Usage: usage, ArgsUsage: argsUsage(names),
		Action: func(ctx context.Context, c *cli.Command) error {
			args, err := exactArgs(c, names...)
			if err != nil {
				return err
			}
			id, err := strconv.ParseUint(args[0], 10, 64)
			if err != nil {
				return usagef("invalid replica ID %q", args[0])
			}
			change := api.MemberChange{Action: action, ID: id}
			if len(args) > 1 {
				change.Address = args[1]
			}
			return changeMember(ctx, c, change)
		},
	}
}

func argsUsage(names []string) string {
	usage := ""
	for _, name := range names {
		usage += " " + name
	}
	return usage[1:]
}

func changeMember(ctx context.Context, c *cli.Command, change api.MemberChange) error {
	client, err := clientFromFlags(c)
	if err != nil {
		return err
	}
	body, err := json.Marshal(change)
	if err != nil {
		return err
	}
	var applied api.MemberChange
	data, err := client.read(ctx, apiCall{method: http.MethodPost, path: clusterPath + "/members", body: body}, &applied)
	if err != nil {
		return err
	}
	return printResponse(c, data, func(w io.Writer) error {
		_, err := fmt.Fprintf(w, "replica %d: %s done\n", applied.ID, applied.Action)
		return err
	})
}

func runClusterStatus(ctx context.Context, c *cli.Command) error {
	client, err := clientFromFlags(c)
	if err != nil {
		return err
	}
	status, data, err := leaderStatus(ctx, client)
	if err != nil {
		return err
	}
	return printResponse(c, data, func(w io.Writer) error { return printCluster(w, status) })
}

// leaderStatus queries the replicas until the leader responds, because only the
// leader knows the progress of the members. If the leader doesn't respond, it
// returns the status of the last replica that did.
func leaderStatus(ctx context.Context, client *Client) (api.ClusterStatus, []byte, error) {
	var status api.ClusterStatus
	var data []byte
	var err error
	for range client.addresses {
		response, readErr := client.read(ctx, apiCall{path: clusterPath}, &status)
		client.nextAddress = (client.nextAddress + 1) % len(client.addresses)
		if readErr != nil {
			err = readErr
			continue
		}
		data = response
		if status.ProgressKnown {
			break
		}
	}
	if data == nil {
		return status, nil, err
	}
	return status, data, nil
}

func printCluster(w io.Writer, s api.ClusterStatus) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "REPLICA\tROLE\tREACHABLE\tCAUGHT UP\tMATCH\tADDRESS")
	for _, m := range s.Members {
		role := "learner"
		if m.Voter {
			role = "voter"
		}
		if m.ID == s.Leader {
			role = "leader"
		}
		reachable, caughtUp, match := "-", "-", "-"
		if s.ProgressKnown {
			reachable, caughtUp = strconv.FormatBool(m.Reachable), strconv.FormatBool(m.CaughtUp)
			match = strconv.FormatUint(m.Match, 10)
		}
		fmt.Fprintf(t, "%d\t%s\t%s\t%s\t%s\t%s\n", m.ID, role, reachable, caughtUp, match, m.Address)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	if !s.ProgressKnown {
		_, err := fmt.Fprintln(w, "none of the addresses that responded is the leader; the progress of the members is unknown")
		return err
	}
	_, err := fmt.Fprintf(w, "term %d, commit %d; tolerates %d further losses\n", s.Term, s.Commit, s.ToleratedLosses)
	return err
}
