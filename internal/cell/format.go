package cell

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"

	pb "laburnumdock/gen/laburnumdock/v1"
	"laburnumdock/gen/laburnumdock/v1/laburnumdockv1connect"
	"laburnumdock/internal/control"
	"laburnumdock/internal/core/jobs"
	"laburnumdock/internal/core/manager"
	"laburnumdock/internal/core/quorum"
	"laburnumdock/internal/jobclient"
	"laburnumdock/internal/rpc"
)

const (
	// formatTimeout bounds the question which format a replica reads. It is below the time
	// after which a client gives up an attempt, so that the operator gets the answer.
	formatTimeout = 700 * time.Millisecond
	// formatInterval is the time between two questions to the same replica that asked to
	// join.
	formatInterval = time.Second
)

// formatClient asks replicas which formats they read.
type formatClient struct{ http *http.Client }

func newFormatClient() formatClient {
	transport := jobclient.NewTransport()
	// The questions are rare.
	transport.DisableKeepAlives = true
	return formatClient{http: &http.Client{Transport: transport}}
}

// newest returns the newest format that the replica at a base URL reads, or 0 if it does not
// answer. A replica that does not know the call reads the first one.
func (c formatClient) newest(ctx context.Context, url string) int {
	if url == "" {
		return 0
	}
	ctx, cancel := context.WithTimeout(ctx, formatTimeout)
	defer cancel()
	resp, err := laburnumdockv1connect.NewCellServiceClient(c.http, url, rpc.ClientOptions(rpc.MaxAnswerBytes)).Formats(ctx, connect.NewRequest(&pb.FormatsRequest{}))
	switch {
	case err == nil:
		return int(resp.Msg.GetNewest())
	case connect.CodeOf(err) == connect.CodeUnimplemented:
		return jobs.FirstFormat
	default:
		return 0
	}
}

// members asks all members of the cell. If the membership has changed meanwhile, it asks the
// new members, too.
func (c formatClient) members(ctx context.Context, replica *control.Replica) []manager.MemberFormat {
	newest := map[uint64]int{}
	for {
		status := replica.Status()
		var unknown []uint64
		for _, id := range slices.Concat(status.Members.Voters, status.Members.Learners) {
			if _, ok := newest[id]; !ok {
				unknown = append(unknown, id)
			}
		}
		if len(unknown) == 0 || ctx.Err() != nil {
			return memberFormats(status, newest)
		}
		answers := make([]int, len(unknown))
		var group sync.WaitGroup
		for i, id := range unknown {
			group.Go(func() { answers[i] = c.ofMember(ctx, status, id) })
		}
		group.Wait()
		for i, id := range unknown {
			newest[id] = answers[i]
		}
	}
}

func (c formatClient) ofMember(ctx context.Context, status control.Status, id uint64) int {
	if id == status.ID {
		return jobs.NewestFormat
	}
	return c.newest(ctx, status.Addresses[id])
}

func memberFormats(status control.Status, newest map[uint64]int) []manager.MemberFormat {
	var list []manager.MemberFormat
	for _, id := range slices.Concat(status.Members.Voters, status.Members.Learners) {
		name := strings.TrimPrefix(status.Addresses[id], "http://")
		if name == "" {
			name = fmt.Sprintf("replica %d", id)
		}
		list = append(list, manager.MemberFormat{Replica: name, IsVoter: status.Members.IsVoter(id), Newest: newest[id]})
	}
	return list
}

// formatChecker finds out whether replicas that join the cell read the format in use. Any
// goroutine may use it.
type formatChecker struct {
	client formatClient
	// group has the questions in flight.
	group sync.WaitGroup
	mu    sync.Mutex
	known map[uint64]formatAnswer
}

// formatAnswer is what is known of a replica. Newest is 0 if it has not answered.
type formatAnswer struct {
	newest  int
	askedAt time.Time
}

// unready returns the joining replicas and the learners that have not confirmed that they
// read the format, and asks them. While the first format is in use it asks nobody.
func (c *formatChecker) unready(ctx context.Context, format int, view quorum.View, now time.Time) map[uint64]quorum.Reason {
	if format <= jobs.FirstFormat {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	unready, known := map[uint64]quorum.Reason{}, map[uint64]formatAnswer{}
	for id, url := range joiningReplicas(view) {
		answer := c.known[id]
		if answer.newest < format {
			unready[id] = quorum.FormatUnknown
			if answer.newest > 0 {
				unready[id] = quorum.FormatNotRead
			}
			if now.Sub(answer.askedAt) >= formatInterval {
				answer.askedAt = now
				c.group.Go(func() { c.ask(ctx, id, url) })
			}
		}
		known[id] = answer
	}
	c.known = known
	return unready
}

func (c *formatChecker) ask(ctx context.Context, id uint64, url string) {
	newest := c.client.newest(ctx, url)
	c.mu.Lock()
	defer c.mu.Unlock()
	if answer, ok := c.known[id]; ok && newest > 0 {
		answer.newest = newest
		c.known[id] = answer
	}
}

// joiningReplicas returns the base URLs of the replicas that asked to join and of the
// learners, by ID.
func joiningReplicas(view quorum.View) map[uint64]string {
	urls := map[uint64]string{}
	for _, j := range view.Joiners {
		urls[j.ID] = j.Address
	}
	for _, status := range view.MemberStatuses {
		if status.Learner {
			urls[status.ID] = view.Addresses[status.ID]
		}
	}
	return urls
}
