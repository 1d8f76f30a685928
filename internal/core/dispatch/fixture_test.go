package dispatch

import (
	"fmt"
	"time"

	"laburnumdock/internal/core/member"
)

// start is the time at the beginning of every test.
var start = time.Date(2026, 5, 1, 18, 0, 0, 0, time.UTC)

// fixture drives one dispatcher with a simulated clock and keeps all effects.
type fixture struct {
	d        *Dispatcher
	now      time.Time
	sequence uint64
	effects  []Effect
}

func newFixture(cfg Config) *fixture {
	f := &fixture{d: NewWithConfig(cfg), now: start}
	f.step(Ticked{})
	return f
}

// step passes one event to the dispatcher and returns a copy of its effects.
func (f *fixture) step(ev Event) []Effect {
	out := append([]Effect(nil), f.d.Step(f.now, ev)...)
	f.effects = append(f.effects, out...)
	return out
}

// advance moves the clock in steps with a tick after each, and returns all
// effects.
func (f *fixture) advance(total, step time.Duration) []Effect {
	from := len(f.effects)
	for end := f.now.Add(total); f.now.Before(end); {
		f.now = f.now.Add(step)
		f.step(Ticked{})
	}
	return append([]Effect(nil), f.effects[from:]...)
}

// announcement returns a new announcement of endpoint n of a service.
func (f *fixture) announcement(service string, n int) member.Announcement {
	f.sequence++
	return member.Announcement{
		Endpoint: fmt.Sprintf("%s-%d", service, n), Host: fmt.Sprintf("host-%s-%d", service, n), Service: service,
		Address: fmt.Sprintf("10.0.0.%d:80", n), Epoch: 1, Incarnation: 1, Sequence: f.sequence, Slots: 8, Connections: 64,
		Rack: fmt.Sprintf("rack-%d", n/4), Zone: fmt.Sprintf("zone-%d", n%3), AnnouncedAt: f.now,
	}
}

// announce announces endpoints 0 to count-1 of a service.
func (f *fixture) announce(service string, count int) {
	for n := range count {
		f.step(Announced{Announcement: f.announcement(service, n)})
	}
}

// request returns a request to the service quotes with a deadline in 10 s.
func (f *fixture) request(id uint64, repeatable bool) Request {
	r := Request{ID: id, Service: "quotes", Caller: "caller-a", WorkKind: "quote", SizeBytes: 100, Repeatable: repeatable, Deadline: f.now.Add(10 * time.Second)}
	if !repeatable {
		r.RequestID = fmt.Sprintf("%d.u%d", f.now.Add(time.Minute).UnixMilli(), id)
	}
	return r
}

// effectsOf returns the effects of one type.
func effectsOf[E Effect](effects []Effect) []E {
	var list []E
	for _, e := range effects {
		if v, ok := e.(E); ok {
			list = append(list, v)
		}
	}
	return list
}
