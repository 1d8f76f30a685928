//go:build review

package main

import (
	"errors"
	"fmt"
	"math/rand"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"
)

const (
	cells       = 5
	entries     = 3
	peerPort    = 17060
	controlPort = 18623
	frontPort   = 18624
	readyPort   = 18622
	execPort    = 18080
	cloudPort   = 18621
)

// process is a program of the project, started with the command of the deploy file.
type process struct {
	name     string
	command  string
	settings string
	log      *os.File
	cmd      *exec.Cmd
	// ended is closed once the process has ended.
	ended chan struct{}
}

func (p *process) start() error {
	words := strings.Fields(p.command)
	p.cmd = exec.Command(words[0], words[1:]...)
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LABURNUMDOCK_BOOT=" + p.settings}
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	if err := p.cmd.Start(); err != nil {
		return err
	}
	p.ended = make(chan struct{})
	go func(cmd *exec.Cmd, ended chan struct{}) {
		_ = cmd.Wait()
		close(ended)
	}(p.cmd, p.ended)
	return nil
}

// kill ends the process and waits until it has ended.
func (p *process) kill() {
	if p.ended == nil {
		return
	}
	_ = p.cmd.Process.Signal(syscall.SIGKILL)
	<-p.ended
	p.ended = nil
}

// hasEnded reports whether the process has ended by itself.
func (p *process) hasEnded() bool {
	if p.ended == nil {
		return false
	}
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// network is the range of loopback addresses of a run.
type network struct{ a, b int }

func (n network) host(block, i int) string { return fmt.Sprintf("127.%d.%d.%d", n.a, n.b+block, i) }

func (n network) cell(i int) string { return n.host(0, 1+i) }

func (n network) entry(i int) string { return n.host(0, 101+i) }

func at(host string, port int) string { return fmt.Sprintf("%s:%d", host, port) }

// findNetwork draws a range of loopback addresses whose ports are free.
func findNetwork() (network, error) {
	for range 50 {
		n := network{20 + rand.Intn(200), 2 * rand.Intn(120)}
		if n.isFree() {
			return n, nil
		}
	}
	return network{}, errors.New("no free ports")
}

func (n network) isFree() bool {
	for _, address := range []string{at(n.cell(0), peerPort), at(n.cell(0), controlPort), at(n.entry(0), frontPort), at(n.host(1, 1), execPort), at(n.host(0, 250), cloudPort)} {
		l, err := net.Listen("tcp", address)
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

// role is a role of the deploy file.
type role struct{ run, template string }

// readRoles reads the commands and the templates from the deploy file.
func readRoles() (map[string]role, error) {
	data, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return nil, err
	}
	roles := map[string]role{}
	name := ""
	section := regexp.MustCompile(`^\[roles\.(\w+)\]`)
	value := regexp.MustCompile(`^(run|template) = "(.*)"`)
	for _, line := range strings.Split(string(data), "\n") {
		if m := section.FindStringSubmatch(line); m != nil {
			name = m[1]
		}
		if m := value.FindStringSubmatch(line); m != nil && name != "" {
			r := roles[name]
			if m[1] == "run" {
				r.run = m[2]
			} else {
				r.template = m[2]
			}
			roles[name] = r
		}
	}
	return roles, nil
}

var (
	sectionPattern = regexp.MustCompile(`(?s)\{\{#([\w.]+)\}\}(.*?)\{\{/[\w.]+\}\}`)
	valuePattern   = regexp.MustCompile(`\{\{([\w.]+)\}\}`)
)

// fill fills in a template of settings. The fields are named by their whole path; the
// templates of the project use no lists but as values.
func fill(template string, fields map[string]string) string {
	text := sectionPattern.ReplaceAllStringFunc(template, func(s string) string {
		m := sectionPattern.FindStringSubmatch(s)
		if fields[m[1]] == "" {
			return ""
		}
		return m[2]
	})
	return valuePattern.ReplaceAllStringFunc(text, func(s string) string { return fields[strings.Trim(s, "{}")] })
}

// startSystem starts the processes of a small deployment.
func (b *bed) startSystem() error {
	roles, err := readRoles()
	if err != nil {
		return err
	}
	seeds := []string{}
	for i := range 3 {
		seeds = append(seeds, at(b.net.cell(i), controlPort))
	}
	common := map[string]string{
		"SeedNodes": strings.Join(seeds, ","), "InternalPortRange.0": fmt.Sprint(peerPort), "HeartbeatMs": "1500", "Bootstrap": "true",
		"FaultTolerance.Machines": "2", "PlacementAdvisor": at(b.net.host(0, 251), cloudPort), "CloudApi.Address": at(b.net.host(0, 250), cloudPort),
		"Bounds.HoldMaxMs": "6000", "Bounds.LeaseMs": "3000", "Bounds.MigrationS": "1.5", "Bounds.MaintenanceS": "2", "Bounds.status_s": "120", "Bounds.GracePeriodS": "6",
	}
	for i := range cells {
		fields := map[string]string{
			"NodeName": fmt.Sprintf("core-%d", i), "Zone": zones[i%len(zones)], "Ip": b.net.cell(i), "ListenAddrs.ControlPlane": at(b.net.cell(i), controlPort),
			"DataDir": filepath.Join(b.dir, fmt.Sprintf("core-%d", i)), "Limits.MemoryMb": "280",
		}
		if err := os.MkdirAll(fields["DataDir"], 0o700); err != nil {
			return err
		}
		if err := b.startProcess(roles["cell"], common, fields); err != nil {
			return err
		}
	}
	for i := range entries {
		fields := map[string]string{
			"NodeName": fmt.Sprintf("frontend-%d", i), "Zone": zones[i%len(zones)], "Ip": b.net.entry(i), "ListenAddrs.FrontendAddr": at(b.net.entry(i), frontPort),
			"ListenAddrs.Ready": at(b.net.entry(i), readyPort), "Limits.MemoryMb": "284",
		}
		if err := b.startProcess(roles["jobs"], common, fields); err != nil {
			return err
		}
	}
	return nil
}

func (b *bed) startProcess(r role, common, own map[string]string) error {
	template, err := os.ReadFile(r.template)
	if err != nil {
		return err
	}
	fields := map[string]string{}
	for _, list := range []map[string]string{common, own} {
		for name, value := range list {
			fields[name] = value
		}
	}
	name := own["NodeName"]
	p := &process{name: name, command: r.run, settings: filepath.Join(b.dir, name+".ini")}
	if err := os.WriteFile(p.settings, []byte(fill(string(template), fields)), 0o600); err != nil {
		return err
	}
	if p.log, err = os.Create(filepath.Join(b.dir, name+".log")); err != nil {
		return err
	}
	b.processes = append(b.processes, p)
	return p.start()
}

// waitReady waits until all entry hosts are ready.
func (b *bed) waitReady(limit time.Duration) bool {
	deadline := time.Now().Add(limit)
	for time.Now().Before(deadline) {
		ready := 0
		for i := range entries {
			if status, _ := b.call("GET", "http://"+at(b.net.entry(i), readyPort)+"/readyz", "", "", time.Second); status == 200 {
				ready++
			}
		}
		if ready == entries {
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}
