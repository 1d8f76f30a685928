package entry_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/core/model"
	"laburnumdock/internal/entry"
	"laburnumdock/internal/standin"
)

// Guards against announcements that stay on the entry host that heard them.
// The bound of 1 s is logged as measured; the test fails at a generous one.
func TestAnnouncementsReachAllEntryHosts(t *testing.T) {
	c := newCell(t, cellConfig{hosts: 3})
	start := time.Now()
	c.startEndpoint(cellConfig{endpoint: func(cfg *standin.EndpointConfig) { cfg.EntryHosts = []string{c.hosts[0].url} }}, 0)
	for _, h := range c.hosts {
		c.waitKnown(h, 1)
	}
	t.Logf("known on all entry hosts after %s", time.Since(start))
	out, err := c.do(c.hosts[2], call{method: http.MethodPut, body: "x"})
	require.NoError(t, err)
	assert.Equal(t, "x", out.reply.Echo)

	start = time.Now()
	c.endpoints[0].stop()
	for _, h := range c.hosts {
		require.Eventually(t, func() bool { return c.status(h).Endpoints[0].Leaving }, patience, 5*time.Millisecond)
	}
	t.Logf("leaving on all entry hosts after %s", time.Since(start))
}

// Guards against an entry host that knows nothing after its restart, because
// its peers believe that it has everything.
func TestRestartedEntryHostGetsEverything(t *testing.T) {
	var configs []entry.Config
	c := newCell(t, cellConfig{hosts: 2, host: func(cfg *entry.Config) { configs = append(configs, *cfg) }})
	c.startEndpoint(cellConfig{endpoint: func(cfg *standin.EndpointConfig) { cfg.EntryHosts = []string{c.hosts[0].url} }}, 0)
	c.waitKnown(c.hosts[1], 1)
	old := c.hosts[1]
	old.stop()
	require.NoError(t, <-old.done)
	restarted := entry.New(configs[1])
	go func() { _ = restarted.Run(t.Context()) }()
	old.handler.Store(restarted.Handler())
	old.peerHandler.Store(restarted.PeerHandler())
	c.waitKnown(old, 1)
}

// Guards against an endpoint that gets new work after it left (R6), and a
// graceful leave that cuts off what is in flight (R7).
func TestLeavingEndpointGetsNoNewWork(t *testing.T) {
	c := newCell(t, cellConfig{endpoints: 2, endpoint: func(cfg *standin.EndpointConfig) {
		cfg.RunTime = func(string) time.Duration { return 20 * time.Millisecond }
		cfg.LeaveDelay = 500 * time.Millisecond
	}})
	load := c.startLoad(4)
	time.Sleep(200 * time.Millisecond)
	c.endpoints[0].stop()
	require.Eventually(t, func() bool { return c.live(c.hosts[0]) == 1 }, patience, time.Millisecond)
	// What was routed before the announcement is still to finish.
	time.Sleep(100 * time.Millisecond)
	before := c.endpoints[0].TotalRuns()
	time.Sleep(200 * time.Millisecond)
	assert.Equal(t, before, c.endpoints[0].TotalRuns(), "no new work after it announced that it leaves")
	load.stop()
	assert.Zero(t, load.failed.Load(), "last: %v", load.last.Load())
}

// Guards against an endpoint of an old epoch, whose host has moved to another
// pool, that gets work (R2, R6).
func TestOldEpochIsFenced(t *testing.T) {
	control := newFakeControl(t)
	c := newCell(t, cellConfig{endpoints: 1, control: []string{control.start().url}})
	host := &model.Host{Meta: model.Meta{Kind: model.KindHost, Name: "host-0"}}
	host.Status.Epoch = 2
	control.put(host)
	c.waitKnown(c.hosts[0], 0)
	out := c.must(call{})
	assert.Equal(t, fault.RanNo, out.ran)
	assert.Equal(t, fault.NoEndpoint, out.kind)
	body := `{"endpoint":"quotes-0","host":"host-0","service":"quotes","address":"127.0.0.1:1","epoch":1,"incarnation":9223372036854775807,"sequence":1,"slots":8,"connections":64,"state":"serving"}`
	res, err := http.Post(c.hosts[0].url+"/v1/announce", "application/json", strings.NewReader(body))
	require.NoError(t, err)
	defer res.Body.Close()
	assert.Equal(t, string(fault.Fenced), res.Header.Get("Laburnum-Error-Kind"))
}

// Guards against announcements with wrong fields in the directory.
func TestWrongAnnouncementsAreRefused(t *testing.T) {
	good := entry.Announcement{
		Endpoint: "e", Host: "h", Service: "s", Address: "127.0.0.1:80", Epoch: 1, Incarnation: 1, Sequence: 1,
		Slots: 8, Connections: 64, State: entry.StateServing,
	}
	require.Nil(t, good.Validate())
	for field, change := range map[string]func(*entry.Announcement){
		"endpoint":                     func(a *entry.Announcement) { a.Endpoint = "" },
		"host":                         func(a *entry.Announcement) { a.Host = strings.Repeat("h", 254) },
		"service":                      func(a *entry.Announcement) { a.Service = "" },
		"address":                      func(a *entry.Announcement) { a.Address = "example.org:80" },
		"epoch, incarnation, sequence": func(a *entry.Announcement) { a.Epoch = 0 },
		"slots":                        func(a *entry.Announcement) { a.Slots = 0 },
		"connections":                  func(a *entry.Announcement) { a.Connections = -1 },
		"state":                        func(a *entry.Announcement) { a.State = "gone" },
	} {
		a := good
		change(&a)
		if err := a.Validate(); assert.NotNil(t, err, field) {
			assert.Equal(t, field, err.Field)
		}
	}
}
