package measure

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// capacityKeys are the slopes that the size of two years is computed from.
var capacityKeys = []string{
	"memory.host.slope", "memory.planner_host.slope", "memory.pool.slope", "memory.change_id.slope", "memory.audit_entry.slope",
	"memory.endpoint.slope", "memory.endpoint.intercept", "memory.process",
	"replicas.change.wire.slope", "replicas.change.wire.intercept", "replicas.change.processor.slope", "replicas.change.processor.intercept",
	"watch.wire.slope", "watch.processor.slope",
	"entry.announcement.wire.slope", "entry.announcement.processor.slope", "entry.announcement.processor.intercept",
	"message.platform_listing_per_host.bytes.slope", "message.platform_listing_per_host.bytes.intercept",
	"message.platform_listing_per_host.decode.slope", "message.platform_listing_per_host.decode.intercept",
	"message.report_per_endpoint.bytes.slope", "message.report_per_endpoint.bytes.intercept",
	"message.report_per_endpoint.decode.slope", "message.report_per_endpoint.decode.intercept",
	"message.marks_per_pool.bytes.slope", "message.marks_per_pool.bytes.intercept",
	"message.exchange_per_announcement.bytes.slope", "message.exchange_per_announcement.bytes.intercept",
}

func filled(value float64) *Report {
	r := &Report{}
	for _, key := range capacityKeys {
		r.Add("capacity."+key, "", value)
	}
	return r
}

// Guards against a wrong sum for the size of two years: the figures are worked
// out by hand from slopes of 0 but for one.
func TestTwoYears(t *testing.T) {
	r := filled(0)
	for i := range r.Figures {
		switch r.Figures[i].Key {
		case "capacity.message.platform_listing_per_host.bytes.slope":
			r.Figures[i].Value = 144
		case "capacity.memory.change_id.slope":
			r.Figures[i].Value = 1048.576
		case "capacity.replicas.change.processor.intercept":
			r.Figures[i].Value = 48
		}
	}
	require.NoError(t, projectTwoYears(r))
	for key, want := range map[string]struct {
		value   float64
		verdict Verdict
	}{
		// 16,000 hosts in 9 regions, 144 bytes each, once a second.
		"two_years.region_leader.wire": {250, Miss},
		// 100,000 IDs take 100 MB, twice that before a collection.
		"two_years.region_leader.memory": {200, Miss},
		// Half of 48 ms/s is 2.4 % of a core.
		"two_years.region_leader.processor":  {2.4, Miss},
		"two_years.entry_host.wire":          {0, Pass},
		"two_years.hosts":                    {37, Pass},
		"two_years.region_leader.wire.watch": {0, ""},
	} {
		found := false
		for _, f := range r.Figures {
			if f.Key == key {
				found = true
				require.InDelta(t, want.value, f.Value, 1e-6, key)
				require.Equal(t, want.verdict, f.Verdict, key)
			}
		}
		require.True(t, found, key)
	}
}

// Guards against a size of two years that takes a slope for zero because it was
// not measured.
func TestTwoYearsNeedsEverySlope(t *testing.T) {
	for i, key := range capacityKeys {
		r := filled(1)
		r.Figures = append(r.Figures[:i], r.Figures[i+1:]...)
		require.ErrorContains(t, projectTwoYears(r), key)
	}
}

// Guards against a line that mixes sizes and rounds.
func TestAddLine(t *testing.T) {
	r := &Report{}
	require.NoError(t, r.addLine("x", "B", "B", []float64{1, 2}, [][]float64{{3, 5}, {4, 8}, {5, 8}}))
	slope, err := r.Value("x.slope")
	require.NoError(t, err)
	require.InDelta(t, 3, slope, 1e-9)
	require.InDelta(t, 2, r.Figures[0].Low, 1e-9)
	require.InDelta(t, 4, r.Figures[0].High, 1e-9)
	intercept, err := r.Value("x.intercept")
	require.NoError(t, err)
	require.InDelta(t, 1, intercept, 1e-9)
}

// Guards against a run with a share that JSON cannot hold, as of a figure of 0.
func TestReportIsStored(t *testing.T) {
	r := &Report{}
	r.AddTarget("zero", Target{Bound: 1}, 0)
	require.Equal(t, Pass, r.Figures[0].Verdict)
	require.NoError(t, r.Write(t.TempDir()+"/sub/measure.json"))
}
