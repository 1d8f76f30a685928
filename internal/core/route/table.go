// Package route selects the endpoint of each attempt. It shares the slots of the
// endpoints with the other entry hosts, learns run times, reserves slots for
// short work and ejects failing endpoints. Times are durations on the monotonic
// clock since the start of the process.
package route

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"laburnumdock/internal/core/member"
)

// Sharing is the way in which entry hosts share the slots of an endpoint.
type Sharing uint8

const (
	// ShareCredits gives each entry host a quota of the slots of every endpoint
	// and lets it borrow slots that the others do not report as used.
	ShareCredits Sharing = iota
	// ShareFeedback takes any slot that is not reported as used and learns of
	// collisions by refusals.
	ShareFeedback
	// ShareHome assigns each endpoint to one entry host by rendezvous hashing.
	ShareHome
)

// Placement is the policy that selects an endpoint.
type Placement uint8

const (
	// SplitLearned separates short from long work by learned run times and
	// reserves slots for short work.
	SplitLearned Placement = iota
	// TwoChoices takes the better of two random endpoints.
	TwoChoices
	// LeastLoaded takes the endpoint with the fewest used slots.
	LeastLoaded
)

// Config holds the policies and parameters of a table.
type Config struct {
	// Self is the name of this entry host.
	Self      string
	Sharing   Sharing
	Placement Placement
	Seed      uint64
	// Slack is the factor of the square root in the reserve for short work; 0
	// means DefaultSlack.
	Slack float64
}

// Endpoint is the routing state of one endpoint on this entry host. Invariants:
// InUse counts the attempts that were started and have not ended, Long those of
// them that count as long work.
type Endpoint struct {
	Name, Address, Rack, Zone string
	Epoch                     uint64
	Slots                     int
	InUse, Long               int

	service *Service
	// index is the position in the endpoints of the service.
	index int
	// accepting is false while the endpoint is leaving or fenced; removed is set
	// when it is no longer in the table.
	accepting, removed bool
	expires            time.Duration
	// peerInUse and peerLong are the slots that peers report as used.
	peerInUse, peerLong int
	// reportedByEndpoint is the number of slots that others use by the endpoint's
	// own report, which is valid until reportExpires.
	reportedByEndpoint int
	reportExpires      time.Duration
	// quota is this entry host's share of the slots.
	quota int
	// isHome reports whether this entry host is the home of the endpoint.
	isHome bool
	// hash is the hash of the name.
	hash uint64
	// blockedUntil is the end of the backoff after a refusal for lack of slots.
	blockedUntil time.Duration
	// refusals counts the refusals since the last answered attempt.
	refusals int
	health   health
}

// Service is the routing state of one service, with its endpoints by name.
type Service struct {
	Name string
	// MinHealthy is the number of endpoints that ejection must leave.
	MinHealthy int
	endpoints  []*Endpoint
	// slots, peerInUse and peerLong are the sums over the endpoints, and ejected
	// counts the ejected ones.
	slots               int
	peerInUse, peerLong int
	ejected             int
	// random is the state of the generator of random numbers.
	random uint64
	demand demand
}

// Table is the routing state of one entry host. The control loop owns it.
type Table struct {
	cfg       Config
	services  map[string]*Service
	endpoints map[string]*Endpoint
	peers     map[string]*peer
	// entryHosts are the names of the live entry hosts, including this one, sorted.
	entryHosts []string
	RunTimes   *RunTimes
}

// New returns an empty table.
func New(cfg Config) *Table {
	if cfg.Slack == 0 {
		cfg.Slack = DefaultSlack
	}
	return &Table{
		cfg: cfg, services: make(map[string]*Service), endpoints: make(map[string]*Endpoint),
		peers: make(map[string]*peer), entryHosts: []string{cfg.Self}, RunTimes: NewRunTimes(maxRunTimeKeys),
	}
}

// Service returns a service by name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Endpoint returns an endpoint by name, or nil.
func (t *Table) Endpoint(name string) *Endpoint { return t.endpoints[name] }

// Update adds an endpoint or updates it by its newest announcement. announcedAt
// is the time of the announcement, and current reports whether its epoch is still
// current.
func (t *Table) Update(a *member.Announcement, announcedAt time.Duration, current bool) {
	e := t.endpoints[a.Endpoint]
	if e != nil && e.service.Name != a.Service {
		t.Remove(a.Endpoint)
		e = nil
	}
	if e == nil {
		e = t.addEndpoint(a)
	}
	if e.Slots != a.Slots {
		e.service.slots += a.Slots - e.Slots
		e.Slots = a.Slots
		t.assignQuota(e)
	}
	e.Address, e.Rack, e.Zone, e.Epoch = a.Address, a.Rack, a.Zone, a.Epoch
	e.accepting = !a.Leaving && current
	e.expires = announcedAt + member.Lease
}

func (t *Table) addEndpoint(a *member.Announcement) *Endpoint {
	s := t.services[a.Service]
	if s == nil {
		s = t.addService(a.Service)
	}
	e := &Endpoint{Name: a.Endpoint, service: s, hash: xxhash.Sum64String(a.Endpoint)}
	t.endpoints[a.Endpoint] = e
	at, _ := slices.BinarySearchFunc(s.endpoints, e.Name, func(o *Endpoint, name string) int { return strings.Compare(o.Name, name) })
	s.endpoints = slices.Insert(s.endpoints, at, e)
	s.reindex()
	for _, p := range t.peers {
		e.peerInUse += p.use[e.Name].inUse
		e.peerLong += p.use[e.Name].long
	}
	s.peerInUse += e.peerInUse
	s.peerLong += e.peerLong
	t.assignQuota(e)
	return e
}

func (t *Table) addService(name string) *Service {
	s := &Service{Name: name, random: t.cfg.Seed ^ xxhash.Sum64String(name) | 1}
	t.services[name] = s
	return s
}

// SetMinHealthy sets the number of endpoints of a service that ejection must
// leave.
func (t *Table) SetMinHealthy(service string, minHealthy int) {
	s := t.services[service]
	if s == nil {
		s = t.addService(service)
	}
	s.MinHealthy = minHealthy
}

func (s *Service) reindex() {
	for i, e := range s.endpoints {
		e.index = i
	}
}

// Remove removes an endpoint from the table. Attempts that still run on it keep
// their Endpoint until they end.
func (t *Table) Remove(name string) {
	e := t.endpoints[name]
	if e == nil {
		return
	}
	delete(t.endpoints, name)
	e.removed = true
	s := e.service
	s.slots -= e.Slots
	s.peerInUse -= e.peerInUse
	s.peerLong -= e.peerLong
	s.endpoints = slices.Delete(s.endpoints, e.index, e.index+1)
	s.reindex()
	if e.health.ejected {
		s.ejected--
	}
	if len(s.endpoints) == 0 && s.MinHealthy == 0 {
		delete(t.services, s.Name)
	}
}

// isRoutable reports whether new work may be sent to the endpoint at all, now or
// once it has a free slot.
func (e *Endpoint) isRoutable(now time.Duration) bool {
	return e.exclusion(now) == ExclusionNone
}

// HasRoutable reports whether the service has an endpoint that takes new work
// now or once it has a free slot.
func (s *Service) HasRoutable(now time.Duration) bool {
	for _, e := range s.endpoints {
		if e.isRoutable(now) {
			return true
		}
	}
	return false
}
