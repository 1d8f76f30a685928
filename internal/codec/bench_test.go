package codec

import (
	"fmt"
	"testing"

	"laburnumdock/internal/core/model"
	"laburnumdock/internal/core/state"
)

// BenchmarkDump measures encoding and restoring a state that has the maximum
// number of change IDs.
func BenchmarkDump(b *testing.B) {
	for _, n := range []int{50, 500, 5_000, 16_000} {
		d := &state.Dump{Version: 1, Now: testTime}
		for i := range n {
			host := &model.Host{Meta: model.Meta{Kind: model.KindHost, Name: fmt.Sprintf("host-%05d", i), Created: testTime, Modified: testTime}}
			host.Spec = model.HostSpec{Pool: "quotes", Zone: "z", Rack: "r", Cores: 32, MemoryMB: 64 << 10}
			host.Status = model.HostStatus{Phase: model.HostActive, Epoch: 1, Health: model.HealthHealthy, LastReport: testTime}
			d.Objects = append(d.Objects, host)
		}
		for i := range state.MaxChangeIDs {
			d.Changes = append(d.Changes, state.ChangeRecord{ID: fmt.Sprintf("%032d", i), Issued: int64(i), Digest: 1 << 60, Version: 1})
		}
		b.Run(fmt.Sprintf("encode/%d", n), func(b *testing.B) {
			for b.Loop() {
				data, _ := EncodeDump(d)
				b.ReportMetric(float64(len(data)), "B/dump")
			}
		})
		data, _ := EncodeDump(d)
		b.Run(fmt.Sprintf("restore/%d", n), func(b *testing.B) {
			for b.Loop() {
				decoded, _ := DecodeDump(data)
				state.Restore(decoded)
			}
		})
	}
}
