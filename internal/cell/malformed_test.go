package cell

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"laburnumdock/internal/core/jobs"
	"laburnumdock/internal/core/manager"
)

// Guards against a report whose record no replica can decode: all replicas then stop,
// and again when they replay the log after a restart.
func TestReportWithUnreadableIDStopsNoReplica(t *testing.T) {
	s := newTestCell(t, 3)
	for _, url := range s.seeds {
		s.start(url, true)
	}
	s.waitForVoters(s.seeds...)
	client := s.client()
	require.Equal(t, manager.ReplyAccepted, mustRequest(t, client, manager.Request{Kind: manager.RequestConfigure, Config: testConfig}).Kind)
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	report := manager.Report{ID: "i\xff", StartedAt: 1, Sequence: 1, Pool: "p", Address: "127.0.0.1:1", Capacity: jobs.Resources{CPU: 1}}
	require.NoError(t, s.nodes[s.waitForLeader()].cell.Report(ctx, report))

	next := *testConfig
	next.Version++
	require.Equal(t, manager.ReplyAccepted, mustRequest(t, client, manager.Request{Kind: manager.RequestConfigure, Config: &next}).Kind)
	for _, url := range s.seeds {
		s.kill(url)
	}
	for _, url := range s.seeds {
		s.start(url, true)
	}
	s.waitForVoters(s.seeds...)
	config, err := s.nodes[s.waitForLeader()].cell.Config(ctx)
	require.NoError(t, err)
	require.Equal(t, next.Version, config.Version)
}
