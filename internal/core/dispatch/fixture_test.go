package dispatch

import (
	"fmt"
	"time"

	"laburnumdock/internal/core/member"
)

// start is the wall clock at the beginning of every test.
var start = time.Date(2026, 5, 1, 18, 0, 0, 0, time.UTC)

// fixture steps one dispatcher on a clock of its own and keeps all effects.
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

// step returns the effects of one event as a copy.
func (f *fixture) step(ev Event) []Effect {
	out := append([]Effect(nil), f.d.Step(f.now, ev)...)
	f.effects = append(f.effects, out...)
	return out
}

// pass lets time pass in steps with a tick after each, and returns all effects.
func (f *fixture) pass(total, each time.Duration) []Effect {
	from := len(f.effects)
	for end := f.now.Add(total); f.now.Before(end); {
		f.now = f.now.Add(each)
		f.step(Ticked{})
	}
	return append([]Effect(nil), f.effects[from:]...)
}

func (f *fixture) announcement(service string, n int) member.Announcement {
	f.sequence++
	return member.Announcement{
		Endpoint: fmt.Sprintf("%s-%d", service, n), Host: fmt.Sprintf("host-%s-%d", service, n), Service: service,
		Address: fmt.Sprintf("10.0.0.%d:80", n), Epoch: 1, Incarnation: 1, Sequence: f.sequence, Slots: 8, Connections: 64,
		Rack: fmt.Sprintf("rack-%d", n/4), Zone: fmt.Sprintf("zone-%d", n%3), AnnouncedAt: f.now,
	}
}

func (f *fixture) announce(service string, count int) {
	for n := range count {
		f.step(Announced{Announcement: f.announcement(service, n)})
	}
}

func (f *fixture) request(id uint64, repeatable bool) Request {
	r := Request{ID: id, Service: "quotes", Caller: "caller-a", WorkKind: "quote", SizeBytes: 100, Repeatable: repeatable, Deadline: f.now.Add(10 * time.Second)}
	if !repeatable {
		r.RequestID = fmt.Sprintf("%d.u%d", f.now.Add(time.Minute).UnixMilli(), id)
	}
	return r
}

// of returns the effects of one type.
func of[E Effect](effects []Effect) []E {
	var list []E
	for _, e := range effects {
		if v, ok := e.(E); ok {
			list = append(list, v)
		}
	}
	return list
}
