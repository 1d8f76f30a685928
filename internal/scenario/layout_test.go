package scenario

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

// shape is a small deployment in the shape of one user's.
type shape struct {
	name    string
	pools   []string
	spare   string
	zones   []string
	weight  float64
	prefix  string
	cores   int
	perPool int
}

// shapes follow examples/, with three pools of six hosts for speed.
var shapes = map[string]shape{
	"slidecraft": {
		name: "slidecraft", pools: []string{"quotes", "cutting"}, spare: "dispatch",
		zones: []string{"kalutara", "moratuwa", "negombo"}, weight: 0.3, prefix: "sc", cores: 32, perPool: 6,
	},
	"memoria-vie": {
		name: "memoria-vie", pools: []string{"proofs", "engraving"}, spare: "ledger",
		zones: []string{"cluj", "turda", "dej"}, weight: 0.6, prefix: "mv", cores: 64, perPool: 6,
	},
}

// minHealthy and maxStops are the budget of each pool, which must also hold
// after the loss of a rack.
const (
	minHealthy = 3
	maxStops   = 2
)

func (s *shape) all() []string { return append(append([]string(nil), s.pools...), s.spare) }

// manifest declares the fleet: the hosts of a pool are spread over the zones,
// and each rack holds one host of every pool.
func (s *shape) manifest() string {
	var b strings.Builder
	for _, pool := range s.all() {
		fmt.Fprintf(&b, "metadata: {kind: pools, name: %s}\nspec: {service: %s, minHosts: 4, maxHosts: 9, rolloutWeight: %g", pool, pool, s.weight)
		if pool == s.spare {
			b.WriteString(", spare: true}\n---\n")
		} else {
			fmt.Fprintf(&b, ", spareFrom: %s}\n---\n", s.spare)
		}
		fmt.Fprintf(&b, "metadata: {kind: budgets, name: %s}\nspec: {pool: %s, minHealthy: %d, maxPlannedStops: %d, surviveRack: true}\n---\n", pool, pool, minHealthy, maxStops)
		for i := range s.perPool {
			zone := s.zones[i%len(s.zones)]
			fmt.Fprintf(&b, "metadata: {kind: hosts, name: %s-%s-%d}\nspec: {pool: %s, zone: %s, rack: %s-r%d, cores: %d, memoryMB: 65536}\n---\n",
				s.prefix, pool, i+1, pool, zone, zone, i/len(s.zones)+1, s.cores)
		}
	}
	return strings.TrimSuffix(b.String(), "---\n")
}

func (s *shape) wave() string {
	return fmt.Sprintf("metadata: {kind: waves, name: evening}\nspec: {pools: [%s], action: reboot, maxParallel: 14, stragglerLimitSeconds: 5, pauseOnFailures: 3, failureWindowSeconds: 10}\n",
		strings.Join(s.all(), ", "))
}

// Names of the processes of a deployment.
const (
	controls = 3
	entries  = 2
	operator = "operator"
	platform = "platform"
)

func controlName(i int) string { return fmt.Sprintf("control-%d", i) }
func entryName(i int) string   { return fmt.Sprintf("entry-%d", i) }

// The ports of listeners are below those that the kernel gives to connections
// and to links, so that none of them takes a port before its process listens.
const (
	firstPort = 12_000
	lastPort  = 32_000
	portStep  = 97
)

// nextPort counts the ports that this test process has tried. It starts at a
// place of its own, because other test processes may run at the same time.
var nextPort = func() *atomic.Uint32 {
	var n atomic.Uint32
	n.Store(uint32(os.Getpid()) * portStep)
	return &n
}()

// freeAddresses returns loopback addresses that are free, all different.
func freeAddresses(n int) ([]string, error) {
	var addresses []string
	for range lastPort - firstPort {
		port := firstPort + nextPort.Add(1)%(lastPort-firstPort)
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		addresses = append(addresses, l.Addr().String())
		if err := l.Close(); err != nil {
			return nil, err
		}
		if len(addresses) == n {
			return addresses, nil
		}
	}
	return nil, eris.Errorf("fewer than %d ports are free", n)
}

// layout has the addresses of all processes and the links between them.
type layout struct {
	dir string
	// api, peer and callers are the addresses that processes listen on.
	api, peer, callers map[string]string
	platform           string
	links              []*link
}

func newLayout(dir string) (*layout, error) {
	l := &layout{dir: dir, api: map[string]string{}, peer: map[string]string{}, callers: map[string]string{}}
	// One more control replica than there are at first can join.
	free, err := freeAddresses(2*(controls+1) + 2*entries + 1)
	if err != nil {
		return nil, err
	}
	next := func() string {
		a := free[0]
		free = free[1:]
		return a
	}
	for i := range controls + 1 {
		l.api[controlName(i+1)], l.peer[controlName(i+1)] = next(), next()
	}
	for i := range entries {
		l.callers[entryName(i+1)], l.peer[entryName(i+1)] = next(), next()
	}
	l.platform = next()
	return l, nil
}

// via returns the address at which from reaches target, the address of to.
func (l *layout) via(from, to, target string) (string, error) {
	for _, k := range l.links {
		if k.from == from && k.to == to && k.target == target {
			return k.address(), nil
		}
	}
	k, err := newLink(from, to, target)
	if err != nil {
		return "", err
	}
	l.links = append(l.links, k)
	return k.address(), nil
}

// voters lists the first control replicas as one of them reaches them. With
// no name it lists the addresses themselves.
func (l *layout) voters(from string) (string, error) {
	var list []string
	for i := range controls {
		name := controlName(i + 1)
		address := l.peer[name]
		if from != "" && from != name {
			var err error
			if address, err = l.via(from, name, address); err != nil {
				return "", err
			}
		}
		list = append(list, fmt.Sprintf("%d=%s", i+1, address))
	}
	return strings.Join(list, ", "), nil
}

func (l *layout) file(name string) string { return filepath.Join(l.dir, name+".ini") }

func (l *layout) writeControl(id int, zone string) error {
	name := controlName(id)
	voters, err := l.voters(name)
	if err != nil {
		return err
	}
	url, err := l.via(name, platform, l.platform)
	if err != nil {
		return err
	}
	return os.WriteFile(l.file(name), fmt.Appendf(nil, `[process]
name = %s
zone = %s
[control]
cluster-id = scenario
id = %d
data-dir = %s
voters = %s
snapshot-entries = 200
[api]
listen = %s
[peer]
listen = %s
[platform]
url = http://%s
`, name, zone, id, filepath.Join(l.dir, name), voters, l.api[name], l.peer[name], url), 0o600)
}

func (l *layout) writeEntry(number int, zone string) error {
	name := entryName(number)
	var control, peers []string
	for i := range controls {
		address, err := l.via(name, controlName(i+1), l.peer[controlName(i+1)])
		if err != nil {
			return err
		}
		control = append(control, address)
	}
	for i := range entries {
		if other := entryName(i + 1); other != name {
			address, err := l.via(name, other, l.peer[other])
			if err != nil {
				return err
			}
			peers = append(peers, address)
		}
	}
	return os.WriteFile(l.file(name), fmt.Appendf(nil, `[process]
name = %s
zone = %s
[callers]
listen = %s
[peer]
listen = %s
[entry]
control = %s
peers = %s
balancer-delay = 2s
`, name, zone, l.callers[name], l.peer[name], strings.Join(control, ", "), strings.Join(peers, ", ")), 0o600)
}

func (l *layout) writeStandin(zone string) error {
	var announced []string
	for i := range entries {
		address, err := l.via("endpoints", entryName(i+1), l.callers[entryName(i+1)])
		if err != nil {
			return err
		}
		announced = append(announced, address)
	}
	return os.WriteFile(l.file("standin"), fmt.Appendf(nil, `[process]
name = standin
zone = %s
[platform]
listen = %s
[standin]
manifest = %s
entry-hosts = %s
slots = 8
reboot-time = 1s
report-lag = 200ms
short-run = 10ms
long-run = 500ms
`, zone, l.platform, filepath.Join(l.dir, "fleet.yaml"), strings.Join(announced, ", ")), 0o600)
}

// write writes the settings and manifests of a deployment.
func (l *layout) write(s shape) error {
	for i := range controls + 1 {
		if err := l.writeControl(i+1, s.zones[i%len(s.zones)]); err != nil {
			return err
		}
	}
	for i := range entries {
		if err := l.writeEntry(i+1, s.zones[i]); err != nil {
			return err
		}
	}
	if err := l.writeStandin(s.zones[0]); err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(l.dir, "fleet.yaml"), []byte(s.manifest()), 0o600); err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(l.dir, "wave.yaml"), []byte(s.wave()), 0o600)
}
