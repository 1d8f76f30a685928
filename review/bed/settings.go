//go:build review

package bed

import (
	"fmt"
	"os"
	"regexp"
	"strings"
)

// role is a role of the deploy file.
type role struct{ run, template string }

var (
	roleHeader = regexp.MustCompile(`^\[roles\.([a-z-]+)\]`)
	roleKey    = regexp.MustCompile(`^(run|template) = "([^"]*)"`)
)

// readRoles returns the roles of the deploy file by name.
func readRoles(path string) (map[string]role, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	roles := map[string]role{}
	name := ""
	for _, line := range strings.Split(string(data), "\n") {
		if m := roleHeader.FindStringSubmatch(line); m != nil {
			name = m[1]
		}
		m := roleKey.FindStringSubmatch(line)
		if m == nil || name == "" {
			continue
		}
		r := roles[name]
		if m[1] == "run" {
			r.run = m[2]
		} else {
			r.template = m[2]
		}
		roles[name] = r
	}
	return roles, nil
}

var (
	section     = regexp.MustCompile(`(?s)\{\{#([A-Za-z_.0-9]+)\}\}(.*?)\{\{/([A-Za-z_.0-9]+)\}\}`)
	placeholder = regexp.MustCompile(`\{\{([A-Za-z_.0-9]+)\}\}`)
)

// render fills in a template of settings as DEPLOY.md tells. values holds the fields by
// their path; a field without a value is absent.
func render(template string, values map[string]string) string {
	text := section.ReplaceAllStringFunc(template, func(s string) string {
		m := section.FindStringSubmatch(s)
		if v, ok := values[m[1]]; !ok || v == "false" {
			return ""
		}
		return m[2]
	})
	return placeholder.ReplaceAllStringFunc(text, func(s string) string {
		return values[placeholder.FindStringSubmatch(s)[1]]
	})
}

// Bounds of a small deployment, as on the pages of the platform.
const (
	HeartbeatMs  = 1500
	HoldMaxMs    = 6000
	LeaseMs      = 3000
	MaintenanceS = 2.0
	VisibleMs    = 3000
	ContactMs    = 3000
	FinishS      = 14
)

// settingsOf returns the fields of the settings file of one process.
func (b *Bed) settingsOf(name, class, ip, dataDir string) map[string]string {
	v := map[string]string{
		"NodeName": name, "MachineClass": class, "Ip": ip, "Zone": "z1", "Region": "r",
		"ListenAddrs.ControlPlane": fmt.Sprintf("%s:%d", ip, b.controlPort), "ListenAddrs.FrontendAddr": fmt.Sprintf("%s:%d", ip, b.frontPort),
		"ListenAddrs.Ready": fmt.Sprintf("%s:%d", ip, b.readyPort), "InternalPortRange.0": fmt.Sprint(b.peerPort),
		"SeedNodes": strings.Join(b.ControlAddresses()[:3], ","), "Bootstrap": "true", "FaultTolerance.Machines": "2",
		"Limits.MemoryMb": "284", "DataDir": dataDir, "CloudApi.Address": b.cloudAddress, "PlacementAdvisor": b.advisorAddress,
		"HeartbeatMs": fmt.Sprint(HeartbeatMs), "Bounds.HoldMaxMs": fmt.Sprint(HoldMaxMs), "Bounds.LeaseMs": fmt.Sprint(LeaseMs),
		"Bounds.MigrationS": "1.5", "Bounds.MaintenanceS": "2", "Bounds.status_s": "120", "Bounds.GracePeriodS": "6",
	}
	return v
}
