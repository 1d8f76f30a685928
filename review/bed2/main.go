//go:build review

package main

import (
	"flag"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// outcome codes of a case.
const (
	held     = 0
	brokenBy = 1
	notRun   = 2
)

var cases = map[string]func(*bed){"crashes": crashes, "waiting": waiting, "pending": pending, "budget": budget, "upkeep": upkeep, "listing": listing, "added": added, "odd": odd, "storm": storm}

func main() {
	name := flag.String("case", "", "name of the case")
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	keep := flag.String("keep", "", "folder for the logs and data of the processes; empty: a temporary one")
	flag.Parse()
	os.Exit(runCase(*name, *record, *keep))
}

func runCase(name, record, keep string) int {
	play, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", name)
		return notRun
	}
	out, err := os.Create(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer out.Close()
	dir := keep
	if dir == "" {
		if dir, err = os.MkdirTemp("", "review-bed"); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return notRun
		}
		defer os.RemoveAll(dir)
	}
	b := &bed{
		dir: dir, record: out, started: time.Now(), jobs: map[string]*job{}, tasks: map[string]*task{}, wave: map[string]int64{}, begun: map[string]bool{}, maxFails: 1 << 30, trouble: os.Getenv("TROUBLE") != "0",
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
	}
	if b.net, err = findNetwork(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer func() {
		for _, p := range b.processes {
			p.kill()
		}
	}()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	done := make(chan struct{})
	go func() {
		play(b)
		close(done)
	}()
	select {
	case <-done:
	case <-stop:
		b.broken("the case was interrupted")
	case <-time.After(115 * time.Second):
		b.broken("the case took too long")
	}
	return b.verdict()
}

// verdict writes the result and returns the exit code.
func (b *bed) verdict() int {
	for _, p := range b.processes {
		if p.hasEnded() {
			b.broken("%s has ended by itself", p.name)
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case len(b.breaches) > 0:
		b.write("RESULT: broken, %d times", len(b.breaches))
		fmt.Printf("broken, %d times; first: %s\n", len(b.breaches), b.breaches[0])
		return brokenBy
	case b.failure != "":
		b.write("RESULT: not run: %s", b.failure)
		fmt.Println("not run:", b.failure)
		return notRun
	default:
		b.write("RESULT: held")
		fmt.Println("held")
		return held
	}
}

// begin starts the system, the platform and the executors, and sends the first
// configuration. machines names the number of machines of each pool.
func (b *bed) begin(room resources, machines map[string]int, routes ...map[string]any) bool {
	b.room = room
	n := 0
	for _, pool := range append(append([]string{}, b.pools...), b.standby) {
		for range machines[pool] {
			n++
			b.machines = append(b.machines, &machine{
				bed: b, name: fmt.Sprintf("m-%02d", n), rack: fmt.Sprintf("r-%d", n/4), zone: zones[n%len(zones)], pool: pool, state: "up", addr: b.net.host(1, n),
			})
		}
	}
	if _, err := startCloud(b, at(b.net.host(0, 250), cloudPort)); err != nil {
		b.broken("the platform cannot listen: %v", err)
		return false
	}
	if err := b.startSystem(); err != nil {
		b.broken("the system cannot start: %v", err)
		return false
	}
	if !b.configure(1, routes...) {
		b.broken("the first configuration is not acknowledged")
		return false
	}
	for _, m := range b.machines {
		if m.pool != b.standby {
			m.boot()
		}
	}
	if !b.waitReady(20 * time.Second) {
		b.broken("the entry hosts are not ready")
		return false
	}
	time.Sleep(4 * time.Second)
	return true
}
