package controller_test

import (
	"fmt"
	"testing"
	"time"

	"laburnumdock/internal/codec"
	"laburnumdock/internal/core/fleet"
	"laburnumdock/internal/core/model"
	"laburnumdock/internal/core/state"
)

// BenchmarkReportLog measures the log bytes per second for the health reports of
// an unchanged fleet, compared with one observation per host and second.
func BenchmarkReportLog(b *testing.B) {
	for _, hosts := range []int{50, 500, 5000, 16000} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			s, now := state.New(), time.Now()
			put := func(obj model.Object) {
				s.Apply(s.Version()+1, state.Put{Origin: state.Origin{Time: now}, Object: obj, Expected: state.AnyVersion})
			}
			pools := max(6, hosts*238/16000)
			for i := range pools {
				p := model.New(model.KindPool).(*model.Pool)
				p.Name = fmt.Sprintf("pool-%03d", i)
				put(p)
			}
			var listing []state.HostObservation
			for i := range hosts {
				h := model.New(model.KindHost).(*model.Host)
				h.Name = fmt.Sprintf("host-%05d", i)
				h.Spec = model.HostSpec{Pool: fmt.Sprintf("pool-%03d", i%pools), Zone: "zone", Rack: "rack", Cores: 32, MemoryMB: 1024}
				put(h)
				listing = append(listing, state.HostObservation{Host: h.Name, Health: model.HealthHealthy, BootID: "boot", Observed: now})
			}
			r, _ := fleet.Report(s.Snapshot(), listing, now)
			s.Apply(s.Version()+1, r)
			full := encodedSize(b, state.HostReport{Hosts: listing})
			now = now.Add(fleet.MarkInterval)
			for i := range listing {
				listing[i].Observed = now
			}
			marks := 0
			for b.Loop() {
				r, _ = fleet.Report(s.Snapshot(), listing, now)
				marks = encodedSize(b, r)
			}
			b.ReportMetric(float64(marks)/fleet.MarkInterval.Seconds(), "log-B/s")
			b.ReportMetric(float64(full), "all-hosts-B/s")
		})
	}
}

func encodedSize(b *testing.B, cmd state.Command) int {
	data, err := codec.EncodeCommand(cmd)
	if err != nil {
		b.Fatal(err)
	}
	return len(data)
}
