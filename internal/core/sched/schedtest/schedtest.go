// Package schedtest fills states with pools, hosts and jobs for tests and benchmarks
// of the scheduler.
package schedtest

import (
	"fmt"
	"strings"
	"time"

	"laburnumdock/internal/core/model"
	"laburnumdock/internal/core/sched"
	"laburnumdock/internal/core/state"
)

// Fill adds hosts, pools in the ratio of 238 pools to 16,000 hosts, and two tasks
// per host. The tasks of the jobs named "-running" are placed, those of "-new"
// are pending.
func Fill(s *state.State, hosts int, now time.Time) {
	origin := state.Origin{Actor: "operator", Time: now}
	apply := func(cmd state.Command) {
		if res := s.Apply(s.Version()+1, cmd); res.Err != nil {
			panic(res.Err)
		}
	}
	put := func(obj model.Object) { apply(state.Put{Origin: origin, Object: obj, Expected: state.AnyVersion}) }
	pools := max(6, hosts*238/16000)
	for i := range pools {
		p := model.New(model.KindPool).(*model.Pool)
		p.Name = fmt.Sprintf("pool-%03d", i)
		put(p)
		for _, kind := range []string{"-running", "-new"} {
			j := model.New(model.KindJob).(*model.Job)
			j.Name = p.Name + kind
			j.Spec = model.JobSpec{Pool: p.Name, Tasks: hosts / pools, Cores: 4, MemoryMB: 1024, Priority: model.PriorityNormal}
			put(j)
		}
	}
	r := state.HostReport{Origin: origin}
	for i := range hosts {
		h := model.New(model.KindHost).(*model.Host)
		h.Name = fmt.Sprintf("host-%05d", i)
		h.Spec = model.HostSpec{Pool: fmt.Sprintf("pool-%03d", i%pools), Zone: fmt.Sprintf("zone-%02d", i/pools%3), Rack: fmt.Sprintf("rack-%d", i/pools/4), Cores: 32, MemoryMB: 64 << 10}
		put(h)
		r.Hosts = append(r.Hosts, state.HostObservation{Host: h.Name, Health: model.HealthHealthy, BootID: "b", Observed: now})
	}
	apply(r)
	for _, cmd := range sched.New().Plan(s.Snapshot(), sched.Input{}, now).Commands {
		if c, ok := cmd.(state.TaskStep); ok && !strings.HasSuffix(c.Job, "new") {
			s.Apply(s.Version()+1, c)
		}
	}
}
