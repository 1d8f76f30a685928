// Package route selects endpoints: it shares the slots of an executor with the
// other entry hosts, learns run times, keeps room for short work and ejects
// endpoints that fail everything. Times are durations since the start of the
// process, on the monotonic clock.
package route

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"laburnumdock/internal/core/member"
)

// Sharing is how entry hosts share the slots of an executor.
type Sharing uint8

// The ways of sharing.
const (
	// ShareCredits gives each entry host a fixed share of the slots of every
	// endpoint and lends what the others report as unused.
	ShareCredits Sharing = iota
	// ShareFeedback takes any slot that no peer reports as used and learns of
	// collisions by refusals.
	ShareFeedback
	// ShareHome gives an endpoint to one entry host by rendezvous hashing.
	ShareHome
)

// Placement is how an endpoint is selected.
type Placement uint8

// The placements.
const (
	// SplitLearned keeps slots for short work by learned run times.
	SplitLearned Placement = iota
	// TwoChoices takes the better of two random endpoints.
	TwoChoices
	// LeastLoaded takes the endpoint with the fewest used slots.
	LeastLoaded
)

// Config is how a table decides.
type Config struct {
	Self      string
	Sharing   Sharing
	Placement Placement
	Seed      uint64
	// Slack is the factor of the square root in the reserve for short work; 0
	// means DefaultSlack.
	Slack float64
}

// Endpoint is what this entry host knows and does of one endpoint. Invariants:
// InUse counts the attempts that were started and have not finished, Long
// those of them that count as long work.
type Endpoint struct {
	Name, Address, Rack, Zone string
	Epoch                     uint64
	Slots                     int
	InUse, Long               int

	service *Service
	// order is the index in the service.
	order int
	// usable is false while leaving or fenced; gone is set when forgotten.
	usable, gone bool
	expires      time.Duration
	// peers and peerLong are the slots that peers report; busy is set if a
	// peer has work waiting.
	peers, peerLong int
	// stated is what others use by the endpoint's own statement.
	stated      int
	statedUntil time.Duration
	// quota is this entry host's share of the slots.
	quota int
	home  bool
	hash  uint64
	// blockedUntil is set by a refusal for lack of slots.
	blockedUntil time.Duration
	refusals     int
	health       health
}

// Service is the index of the endpoints of one service, ordered by name.
type Service struct {
	Name string
	// MinHealthy is the number of endpoints that ejection must leave.
	MinHealthy int
	endpoints  []*Endpoint
	slots      int
	// peers and peerLong are the sums over the endpoints.
	peers, peerLong int
	ejected         int
	random          uint64
	demand          demand
}

// Table is the routing state of one entry host. The control loop owns it.
type Table struct {
	cfg       Config
	services  map[string]*Service
	endpoints map[string]*Endpoint
	peers     map[string]*peer
	// members are the live entry hosts including this one, in order.
	members []string
	RunTimes  *RunTimes
}

// New returns an empty table.
func New(cfg Config) *Table {
	if cfg.Slack == 0 {
		cfg.Slack = DefaultSlack
	}
	return &Table{
		cfg: cfg, services: make(map[string]*Service), endpoints: make(map[string]*Endpoint),
		peers: make(map[string]*peer), members: []string{cfg.Self}, RunTimes: NewRunTimes(sketchKeys),
	}
}

// Service returns the index of a service, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Endpoint returns an endpoint by name, or nil.
func (t *Table) Endpoint(name string) *Endpoint { return t.endpoints[name] }

// Update takes the newest announcement of an endpoint. Current tells whether
// its epoch is still current.
func (t *Table) Update(a *member.Announcement, heard time.Duration, current bool) {
	e := t.endpoints[a.Endpoint]
	if e != nil && e.service.Name != a.Service {
		t.Remove(a.Endpoint)
		e = nil
	}
	if e == nil {
		e = t.add(a)
	}
	if e.Slots != a.Slots {
		e.service.slots += a.Slots - e.Slots
		e.Slots = a.Slots
		t.share(e)
	}
	e.Address, e.Rack, e.Zone, e.Epoch = a.Address, a.Rack, a.Zone, a.Epoch
	e.usable = !a.Leaving && current
	e.expires = heard + member.Lease
}

func (t *Table) add(a *member.Announcement) *Endpoint {
	s := t.services[a.Service]
	if s == nil {
		s = t.declare(a.Service)
	}
	e := &Endpoint{Name: a.Endpoint, service: s, hash: xxhash.Sum64String(a.Endpoint)}
	t.endpoints[a.Endpoint] = e
	at, _ := slices.BinarySearchFunc(s.endpoints, e.Name, func(o *Endpoint, name string) int { return strings.Compare(o.Name, name) })
	s.endpoints = slices.Insert(s.endpoints, at, e)
	s.number()
	for _, p := range t.peers {
		e.peers += p.use[e.Name].inUse
		e.peerLong += p.use[e.Name].long
	}
	s.peers += e.peers
	s.peerLong += e.peerLong
	t.share(e)
	return e
}

func (t *Table) declare(name string) *Service {
	s := &Service{Name: name, random: t.cfg.Seed ^ xxhash.Sum64String(name) | 1}
	t.services[name] = s
	return s
}

// Limit sets the number of endpoints of a service that ejection must leave.
func (t *Table) SetMinHealthy(service string, minHealthy int) {
	s := t.services[service]
	if s == nil {
		s = t.declare(service)
	}
	s.MinHealthy = minHealthy
}

func (s *Service) number() {
	for i, e := range s.endpoints {
		e.order = i
	}
}

// Remove forgets an endpoint. Attempts that still run on it keep their
// Endpoint until they finish.
func (t *Table) Remove(name string) {
	e := t.endpoints[name]
	if e == nil {
		return
	}
	delete(t.endpoints, name)
	e.gone = true
	s := e.service
	s.slots -= e.Slots
	s.peers -= e.peers
	s.peerLong -= e.peerLong
	s.endpoints = slices.Delete(s.endpoints, e.order, e.order+1)
	s.number()
	if e.health.ejected {
		s.ejected--
	}
	if len(s.endpoints) == 0 && s.MinHealthy == 0 {
		delete(t.services, s.Name)
	}
}

// routable tells whether new work may be sent to the endpoint at all.
func (e *Endpoint) routable(now time.Duration) bool {
	return e.usable && now < e.expires && !e.health.ejected
}

// Live tells whether the service has an endpoint that takes new work now or
// when a slot is free.
func (s *Service) HasRoutable(now time.Duration) bool {
	for _, e := range s.endpoints {
		if e.routable(now) {
			return true
		}
	}
	return false
}
