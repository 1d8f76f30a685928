// Package evaluate compares the traffic policies of entry hosts on generated
// traces. A discrete-event simulation of one service runs the production
// dispatchers. It is deterministic and does no input or output.
package evaluate

import (
	"math/rand/v2"
	"strconv"
	"time"
)

// Deployment is the shape of one service of a user.
type Deployment struct {
	Name       string
	Endpoints  int
	Slots      int
	EntryHosts int
	Zones      int
	// LocalDelay and ZoneDelay are the one-way delays within a zone and between
	// zones.
	LocalDelay, ZoneDelay time.Duration
	// ShortRun is the mean run time of short work.
	ShortRun time.Duration
	// Slack is the reserve for short work that the deployment configures; a
	// nonzero slack of a policy overrides it.
	Slack float64
}

// Deployments returns the services of the two users, as on the design page.
func Deployments() []Deployment {
	return []Deployment{
		{Name: "slidecraft", Endpoints: 10, Slots: 8, EntryHosts: 7, Zones: 3, LocalDelay: 100 * time.Microsecond, ZoneDelay: 500 * time.Microsecond, ShortRun: 4 * time.Millisecond, Slack: 2.2},
		{Name: "memoria-vie", Endpoints: 10, Slots: 8, EntryHosts: 7, Zones: 3, LocalDelay: 100 * time.Microsecond, ZoneDelay: 1500 * time.Microsecond, ShortRun: 8 * time.Millisecond, Slack: 1.5},
	}
}

// Load describes the arrivals of a trace.
type Load struct {
	// SurgeLoad is the work that arrives in a surge, as a share of all slots.
	SurgeLoad float64
	// Surge and Lull are the durations of the two phases of a cycle. Surges at 5
	// times and lulls at 1/20 of the mean rate average to the mean rate.
	Surge, Lull time.Duration
	Cycles      int
	// LongShare is the share of requests that run LongFactor times as long as
	// short work. KnownLongShare is the share of these that work kind and size
	// identify as long.
	LongShare      float64
	LongFactor     int
	KnownLongShare float64
	// NoLongWork gives every request the run time of short work.
	NoLongWork bool
	// SingleEntryHost sends all requests to one entry host.
	SingleEntryHost bool
}

// DefaultLoad returns the load of the design page: surges at 5 times the mean rate
// for 3 seconds, which exceed the capacity of the pool, then 1/20 of the mean
// rate; 5% of the requests run 50 times as long.
func DefaultLoad() Load {
	return Load{SurgeLoad: 1.2, Surge: 3 * time.Second, Lull: 12600 * time.Millisecond, Cycles: 4, LongShare: 0.05, LongFactor: 50, KnownLongShare: 0.8}
}

// lullRatio is the rate in a lull divided by the rate in a surge: 1/20 by 5.
const lullRatio = 1.0 / 100

// Arrival is one request of a trace.
type Arrival struct {
	At        time.Duration
	RunTime   time.Duration
	EntryHost int
	Caller    string
	WorkKind  string
	SizeBytes int
	Long      bool
	Surge     bool
	// Learning is set in the first cycle, which isn't measured: the dispatchers
	// learn run times in it.
	Learning bool
}

// GenerateTrace draws the arrivals of a load. The same seed gives the same
// arrivals for every policy, with or without long work.
func GenerateTrace(d Deployment, l Load, seed uint64) []Arrival {
	random := rand.New(rand.NewPCG(seed, 7))
	mean := d.ShortRun.Seconds() * (1 - l.LongShare + l.LongShare*float64(l.LongFactor))
	surgeRate := l.SurgeLoad * float64(d.Endpoints*d.Slots) / mean
	var list []Arrival
	cycle := l.Surge + l.Lull
	at := time.Duration(0)
	for {
		rate := surgeRate
		if at%cycle >= l.Surge {
			rate *= lullRatio
		}
		next := at + time.Duration(random.ExpFloat64()/rate*float64(time.Second))
		if boundary := at - at%cycle + l.Surge; at < boundary && next > boundary {
			at = boundary
			continue
		}
		if boundary := at - at%cycle + cycle; next > boundary {
			next = boundary
		}
		at = next
		if at >= cycle*time.Duration(l.Cycles) {
			return list
		}
		a := drawRequest(random, d, l)
		a.At = at
		a.Surge = at%cycle < l.Surge
		a.Learning = at < cycle
		list = append(list, a)
	}
}

// drawRequest draws a request. It draws the same random values whatever the
// options of the load, so that these don't change other arrivals.
func drawRequest(random *rand.Rand, d Deployment, l Load) Arrival {
	a := Arrival{
		RunTime:   time.Duration(random.ExpFloat64()*float64(d.ShortRun)) + 100*time.Microsecond,
		EntryHost: random.IntN(d.EntryHosts), Caller: "caller-" + strconv.Itoa(random.IntN(20)),
		WorkKind: "quote", SizeBytes: 500 + random.IntN(3000), Long: random.Float64() < l.LongShare,
	}
	if random.Float64() < l.KnownLongShare && a.Long {
		a.WorkKind = "batch"
		a.SizeBytes = 64000
	}
	if l.SingleEntryHost {
		a.EntryHost = 0
	}
	if a.Long && !l.NoLongWork {
		a.RunTime *= time.Duration(l.LongFactor)
	}
	return a
}
