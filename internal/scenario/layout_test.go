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

// shape describes a small deployment modelled on that of one user.
type shape struct {
	name          string
	pools         []string
	sparePool     string
	zones         []string
	rolloutWeight float64
	hostPrefix    string
	cores         int
	hostsPerPool  int
}

// shapes are modelled on examples/, reduced to three pools of six hosts so that the
// scenarios run faster.
var shapes = map[string]shape{
	"slidecraft": {
		name: "slidecraft", pools: []string{"quotes", "cutting"}, sparePool: "dispatch",
		zones: []string{"kalutara", "moratuwa", "negombo"}, rolloutWeight: 0.3, hostPrefix: "sc", cores: 32, hostsPerPool: 6,
	},
	"memoria-vie": {
		name: "memoria-vie", pools: []string{"proofs", "engraving"}, sparePool: "ledger",
		zones: []string{"cluj", "turda", "dej"}, rolloutWeight: 0.6, hostPrefix: "mv", cores: 64, hostsPerPool: 6,
	},
}

// minHealthy and maxPlannedStops are the budget of each pool. The budget must also
// hold after the loss of a rack.
const (
	minHealthy      = 3
	maxPlannedStops = 2
)

func (s *shape) allPools() []string { return append(append([]string(nil), s.pools...), s.sparePool) }

// manifest returns the manifest of the fleet. The hosts of a pool are spread over the
// zones, and each rack holds one host of every pool.
func (s *shape) manifest() string {
	var b strings.Builder
	for _, pool := range s.allPools() {
		fmt.Fprintf(&b, "metadata: {kind: pools, name: %s}\nspec: {service: %s, minHosts: 4, maxHosts: 9, rolloutWeight: %g", pool, pool, s.rolloutWeight)
		if pool == s.sparePool {
			b.WriteString(", spare: true}\n---\n")
		} else {
			fmt.Fprintf(&b, ", spareFrom: %s}\n---\n", s.sparePool)
		}
		fmt.Fprintf(&b, "metadata: {kind: budgets, name: %s}\nspec: {pool: %s, minHealthy: %d, maxPlannedStops: %d, surviveRack: true}\n---\n", pool, pool, minHealthy, maxPlannedStops)
		for i := range s.hostsPerPool {
			zone := s.zones[i%len(s.zones)]
			fmt.Fprintf(&b, "metadata: {kind: hosts, name: %s-%s-%d}\nspec: {pool: %s, zone: %s, rack: %s-r%d, cores: %d, memoryMB: 65536}\n---\n",
				s.hostPrefix, pool, i+1, pool, zone, zone, i/len(s.zones)+1, s.cores)
		}
	}
	return strings.TrimSuffix(b.String(), "---\n")
}

// waveManifest returns the manifest of a wave that reboots all hosts.
func (s *shape) waveManifest() string {
	return fmt.Sprintf("metadata: {kind: waves, name: evening}\nspec: {pools: [%s], action: reboot, maxParallel: 14, stragglerLimitSeconds: 5, pauseOnFailures: 3, failureWindowSeconds: 10}\n",
		strings.Join(s.allPools(), ", "))
}

// Numbers of processes, and the names of link ends that are not processes.
const (
	controlCount = 3
	entryCount   = 2
	operator     = "operator"
	platform     = "platform"
)

func controlName(i int) string { return fmt.Sprintf("control-%d", i) }
func entryName(i int) string   { return fmt.Sprintf("entry-%d", i) }

// Listeners use ports below the ephemeral range of the kernel, so that no outgoing
// connection or link takes a port before its process listens on it.
const (
	firstPort = 12_000
	lastPort  = 32_000
	portStep  = 97
)

// nextPort counts the ports that this test process has tried. It starts at an
// offset derived from the process ID, because other test processes may run at the
// same time.
var nextPort = func() *atomic.Uint32 {
	var n atomic.Uint32
	n.Store(uint32(os.Getpid()) * portStep)
	return &n
}()

// freeAddresses returns n different loopback addresses with a free port.
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

// layout holds the addresses of all processes and the links between them, and writes
// their settings files.
type layout struct {
	dir string
	// These map a process to the address of its listener.
	apiAddresses, peerAddresses, callerAddresses map[string]string
	platformAddress                              string
	links                                        []*link
}

func newLayout(dir string) (*layout, error) {
	l := &layout{dir: dir, apiAddresses: map[string]string{}, peerAddresses: map[string]string{}, callerAddresses: map[string]string{}}
	// One spare control replica can join in addition to the initial ones.
	addresses, err := freeAddresses(2*(controlCount+1) + 2*entryCount + 1)
	if err != nil {
		return nil, err
	}
	next := func() string {
		a := addresses[0]
		addresses = addresses[1:]
		return a
	}
	for i := range controlCount + 1 {
		l.apiAddresses[controlName(i+1)], l.peerAddresses[controlName(i+1)] = next(), next()
	}
	for i := range entryCount {
		l.callerAddresses[entryName(i+1)], l.peerAddresses[entryName(i+1)] = next(), next()
	}
	l.platformAddress = next()
	return l, nil
}

// linkAddress returns the address of the link over which from reaches target, an
// address of to. It creates the link if there is none.
func (l *layout) linkAddress(from, to, target string) (string, error) {
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

// votersSetting returns the setting control.voters with the initial control
// replicas. Their addresses are those of the links from the replica from, or the
// listener addresses if from is empty.
func (l *layout) votersSetting(from string) (string, error) {
	var list []string
	for i := range controlCount {
		name := controlName(i + 1)
		address := l.peerAddresses[name]
		if from != "" && from != name {
			var err error
			if address, err = l.linkAddress(from, name, address); err != nil {
				return "", err
			}
		}
		list = append(list, fmt.Sprintf("%d=%s", i+1, address))
	}
	return strings.Join(list, ", "), nil
}

func (l *layout) settingsFile(name string) string { return filepath.Join(l.dir, name+".ini") }

func (l *layout) writeControl(id int, zone string) error {
	name := controlName(id)
	voters, err := l.votersSetting(name)
	if err != nil {
		return err
	}
	url, err := l.linkAddress(name, platform, l.platformAddress)
	if err != nil {
		return err
	}
	return os.WriteFile(l.settingsFile(name), fmt.Appendf(nil, `[process]
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
`, name, zone, id, filepath.Join(l.dir, name), voters, l.apiAddresses[name], l.peerAddresses[name], url), 0o600)
}

func (l *layout) writeEntry(number int, zone string) error {
	name := entryName(number)
	var control, peers []string
	for i := range controlCount {
		address, err := l.linkAddress(name, controlName(i+1), l.peerAddresses[controlName(i+1)])
		if err != nil {
			return err
		}
		control = append(control, address)
	}
	for i := range entryCount {
		if other := entryName(i + 1); other != name {
			address, err := l.linkAddress(name, other, l.peerAddresses[other])
			if err != nil {
				return err
			}
			peers = append(peers, address)
		}
	}
	return os.WriteFile(l.settingsFile(name), fmt.Appendf(nil, `[process]
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
`, name, zone, l.callerAddresses[name], l.peerAddresses[name], strings.Join(control, ", "), strings.Join(peers, ", ")), 0o600)
}

func (l *layout) writeStandin(zone string) error {
	var entryHosts []string
	for i := range entryCount {
		address, err := l.linkAddress("endpoints", entryName(i+1), l.callerAddresses[entryName(i+1)])
		if err != nil {
			return err
		}
		entryHosts = append(entryHosts, address)
	}
	return os.WriteFile(l.settingsFile("standin"), fmt.Appendf(nil, `[process]
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
`, zone, l.platformAddress, filepath.Join(l.dir, "fleet.yaml"), strings.Join(entryHosts, ", ")), 0o600)
}

// writeFiles writes the settings and manifests of a deployment.
func (l *layout) writeFiles(s shape) error {
	for i := range controlCount + 1 {
		if err := l.writeControl(i+1, s.zones[i%len(s.zones)]); err != nil {
			return err
		}
	}
	for i := range entryCount {
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
	return os.WriteFile(filepath.Join(l.dir, "wave.yaml"), []byte(s.waveManifest()), 0o600)
}
