package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/urfave/cli/v3"

	pb "laburnumdock/gen/laburnumdock/v1"
	"laburnumdock/gen/laburnumdock/v1/laburnumdockv1connect"
	"laburnumdock/internal/core/fault"
)

func cellStatusCommand() *cli.Command {
	return &cli.Command{
		Name: "cell", Usage: "show the members of a cell, who is silent and what a change of the membership waits for",
		ArgsUsage: "URL...", Action: runCellStatus,
		Description: "URL is the base URL of a replica's peer listener. Any replica will do: the leader is asked in turn.",
	}
}

// cellStatus is the membership of a cell as one replica knows it.
type cellStatus struct {
	Replica uint64 `json:"replica"`
	// Leader is 0 if the replica knows none.
	Leader uint64 `json:"leader"`
	Term   uint64 `json:"term"`
	// FromLeader reports whether the leader answered. Only the leader knows VotersAim
	// and who is silent.
	FromLeader bool         `json:"fromLeader"`
	VotersAim  uint32       `json:"votersAim"`
	Members    []cellMember `json:"members"`
}

type cellMember struct {
	ID       uint64 `json:"id"`
	Address  string `json:"address"`
	Voter    bool   `json:"voter"`
	CaughtUp bool   `json:"caughtUp"`
	SilentMS int64  `json:"silentMs"`
	// WaitsFor is the reason why the member stays as it is for now.
	WaitsFor string `json:"waitsFor,omitempty"`
}

func runCellStatus(ctx context.Context, c *cli.Command) error {
	urls := c.Args().Slice()
	if len(urls) == 0 {
		return usagef("the base URL of at least one replica is needed")
	}
	ctx, cancel := context.WithTimeout(ctx, c.Duration("timeout"))
	defer cancel()
	status, err := readCellStatus(ctx, urls)
	if err != nil {
		return err
	}
	data, err := json.Marshal(status)
	if err != nil {
		return err
	}
	return printResponse(c, data, func(w io.Writer) error { return printCell(w, status) })
}

// readCellStatus asks the replicas in turn, and the leader as soon as one names it.
// If the leader does not answer, it returns what the last replica knows.
func readCellStatus(ctx context.Context, urls []string) (cellStatus, error) {
	var status cellStatus
	answered := false
	var lastErr error
	asked := map[string]bool{}
	for len(urls) > 0 && !status.FromLeader {
		url := urls[0]
		urls = urls[1:]
		if asked[url] {
			continue
		}
		asked[url] = true
		attempt, cancel := context.WithTimeout(ctx, attemptTimeout)
		resp, err := laburnumdockv1connect.NewCellServiceClient(&http.Client{}, url).Members(attempt, connect.NewRequest(&pb.MembersRequest{}))
		cancel()
		if err != nil {
			lastErr = fault.New(fault.Unavailable, "replica at %s: %v", url, err)
			continue
		}
		answered = true
		status = cellStatusFromWire(resp.Msg)
		for _, m := range status.Members {
			if m.ID == status.Leader {
				urls = append([]string{m.Address}, urls...)
			}
		}
	}
	if !answered {
		return status, lastErr
	}
	return status, nil
}

func cellStatusFromWire(m *pb.MembersResponse) cellStatus {
	s := cellStatus{Replica: m.GetId(), Leader: m.GetLeader(), Term: m.GetTerm(), FromLeader: m.GetIsLeader(), VotersAim: m.GetVotersAim()}
	for _, member := range m.GetMembers() {
		s.Members = append(s.Members, cellMember{
			ID: member.GetId(), Address: member.GetAddress(), Voter: member.GetVoter(), CaughtUp: member.GetCaughtUp(),
			SilentMS: member.GetSilentMs(), WaitsFor: member.GetWaitsFor(),
		})
	}
	return s
}

func printCell(w io.Writer, s cellStatus) error {
	voters := 0
	fmt.Fprintln(w, "REPLICA\tROLE\tCAUGHT UP\tSILENT\tWAITS FOR\tADDRESS")
	for _, m := range s.Members {
		role := "learner"
		if m.Voter {
			role = "voter"
			voters++
		}
		if m.ID == s.Leader {
			role = "leader"
		}
		caughtUp, silent, waits := "-", "-", "-"
		if s.FromLeader {
			caughtUp, silent = fmt.Sprint(m.CaughtUp), (time.Duration(m.SilentMS) * time.Millisecond).String()
		}
		if m.WaitsFor != "" {
			waits = m.WaitsFor
		}
		fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\t%s\n", m.ID, role, caughtUp, silent, waits, m.Address)
	}
	if !s.FromLeader {
		_, err := fmt.Fprintf(w, "%d voters; the leader did not answer, so it is not known who is silent\n", voters)
		return err
	}
	_, err := fmt.Fprintf(w, "%d voters, the cell aims at %d\n", voters, s.VotersAim)
	return err
}
