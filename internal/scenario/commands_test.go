package scenario

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/rotisserie/eris"

	"laburnumdock/internal/answer"
	"laburnumdock/internal/api"
	"laburnumdock/internal/cli"
	"laburnumdock/internal/core/fault"
)

const (
	lastEvents = 25
	lastAudit  = 15
)

// runner runs the commands of one scenario.
type runner struct {
	binaries, dir string
	sys           *system
	// before is the pool of each host when the scenario said remember.
	before map[string]string
}

type runnerKey struct{}

func (r *runner) close() {
	if r.sys != nil {
		r.sys.close()
	}
}

// step is one command of the language. Out is what `stdout` looks at.
type step func(r *runner, out io.Writer, args []string) error

func commands() map[string]func(*testscript.TestScript, bool, []string) {
	steps := map[string]step{
		"deployment": runDeployment, "dockctl": runDockctl, "exitcode": runExitCode, "apply": runApply,
		"load": runLoad, "fail": runFail, "heal": runHeal, "partition": runPartition, "reconnect": runReconnect,
		"lose-answers": runLoseAnswers, "silence": runSilence, "kill-9": runKill, "shutdown": runStop, "start": runStart,
		"restart": runRestart, "lose-disk": runLoseDisk, "join": runJoin, "name": runName, "advance": runAdvance, "await": runWait, "expect": runExpect,
		"change": runChange, "race": runRace, "remember": runRemember,
	}
	cmds := make(map[string]func(*testscript.TestScript, bool, []string))
	for name, run := range steps {
		cmds[name] = func(ts *testscript.TestScript, neg bool, args []string) {
			if neg {
				ts.Fatalf("%s cannot be negated", name)
			}
			r := ts.Value(runnerKey{}).(*runner)
			if r.sys == nil && name != "deployment" {
				ts.Fatalf("a scenario starts with: deployment SHAPE")
			}
			if err := run(r, ts.Stdout(), args); err != nil {
				ts.Fatalf("%s\n%s", err, r.lastEvents())
			}
		}
	}
	return cmds
}

// lastEvents returns the newest audit entries and log events.
func (r *runner) lastEvents() string {
	if r.sys == nil {
		return ""
	}
	var b strings.Builder
	b.WriteString("last audit entries:\n")
	for _, entry := range r.sys.audit(lastAudit) {
		fmt.Fprintf(&b, "  %s\n", entry)
	}
	b.WriteString("last log events:\n")
	for _, line := range r.sys.log.last(lastEvents) {
		fmt.Fprintf(&b, "  %s\n", line)
	}
	return b.String()
}

// audit returns the newest entries of the audit trail, oldest first.
func (s *system) audit(n int) []string {
	for name := range s.running {
		if s.api[name] == "" {
			continue
		}
		var entries []string
		since := uint64(0)
		for {
			var page api.AuditPage
			if err := getJSON(fmt.Sprintf("http://%s/v1/audit?since=%d&limit=1000", s.api[name], since), &page); err != nil {
				break
			}
			for _, e := range page.Entries {
				since = e.Version
				entries = append(entries, fmt.Sprintf("%d %s %s %s %s/%s %s", e.Version, e.Time.Format("15:04:05.000"), e.Actor, e.Action, e.Kind, e.Name, e.Outcome))
			}
			if !page.More || len(page.Entries) == 0 {
				return entries[max(0, len(entries)-n):]
			}
		}
	}
	return nil
}

// dockctl runs the operators' command line over the operator's links.
func (s *system) dockctl(out io.Writer, args ...string) int {
	var urls []string
	for i := range controls + 1 {
		name := controlName(i + 1)
		if s.running[name] == nil {
			continue
		}
		address, err := s.via(operator, name, s.api[name])
		if err != nil {
			return cli.ExitUsage
		}
		urls = append(urls, "http://"+address)
	}
	full := append([]string{"dockctl", "--control", strings.Join(urls, ","), "--timeout", "45s"}, args...)
	return cli.Run(context.Background(), full, nil, out, out)
}

func runDeployment(r *runner, _ io.Writer, args []string) error {
	s, found := shapes[args[0]]
	if !found {
		return eris.Errorf("there is no shape %q", args[0])
	}
	binaries := ""
	var overrides []string
	for _, arg := range args[1:] {
		if arg == "processes" {
			binaries = r.binaries
			continue
		}
		overrides = append(overrides, arg)
	}
	var err error
	r.sys, err = newSystem(r.dir, s, binaries, overrides)
	return err
}

func runDockctl(r *runner, out io.Writer, args []string) error {
	return r.exitCode(out, cli.ExitOK, args)
}

func runExitCode(r *runner, out io.Writer, args []string) error {
	code, err := strconv.Atoi(args[0])
	if err != nil {
		return err
	}
	return r.exitCode(out, code, args[1:])
}

func (r *runner) exitCode(out io.Writer, want int, args []string) error {
	var text bytes.Buffer
	code := r.sys.dockctl(io.MultiWriter(out, &text), r.expand(args)...)
	if code != want {
		return &unmet{expected: fmt.Sprintf("exit code %d", want), seen: fmt.Sprintf("%d: %s", code, text.String())}
	}
	return nil
}

// expand replaces names that the scenario gave, and the URL of a replica's peer
// listener as PEER:NAME.
func (r *runner) expand(args []string) []string {
	var out []string
	for _, arg := range args {
		if name, found := strings.CutPrefix(arg, "PEER:"); found {
			arg = "http://" + r.sys.peer[name]
		}
		if name, found := strings.CutPrefix(arg, "ID:"); found {
			if known, ok := r.sys.names[name]; ok {
				name = known
			}
			arg = strings.TrimPrefix(name, "control-")
		}
		out = append(out, arg)
	}
	return out
}

func runApply(r *runner, out io.Writer, args []string) error {
	return r.exitCode(out, cli.ExitOK, []string{"apply", "--file", r.dir + "/" + args[0]})
}

func runLoad(r *runner, _ io.Writer, args []string) error {
	if len(args) == 1 && args[0] == "end" {
		r.sys.caller.end()
		return nil
	}
	return r.sys.startCallers(args)
}

// runFail breaks something of the fleet.
func runFail(r *runner, _ io.Writer, args []string) error { return r.setFailed(args, true) }

func runHeal(r *runner, _ io.Writer, args []string) error { return r.setFailed(args, false) }

func (r *runner) setFailed(args []string, failed bool) error {
	fleet := r.sys.fleet
	switch args[0] {
	case "hosts":
		for _, host := range args[1:] {
			r.crash(host, failed)
		}
	case "rack", "zone":
		for _, host := range r.hostsOf(args[0], args[1]) {
			r.crash(host, failed)
		}
	case "tasks":
		fleet.Platform.SetTasksFailing(args[1], failed)
	case "platform":
		fleet.Platform.SetDown(failed)
	default:
		return eris.Errorf("there is no %q to fail", args[0])
	}
	return nil
}

func (r *runner) crash(host string, failed bool) {
	if failed {
		r.sys.fleet.Crash(host)
		return
	}
	r.sys.fleet.Heal(host)
}

func (r *runner) hostsOf(kind, name string) []string {
	s := r.sys.shape
	var hosts []string
	for _, pool := range s.all() {
		for i := range s.perPool {
			zone := s.zones[i%len(s.zones)]
			rack := fmt.Sprintf("%s-r%d", zone, i/len(s.zones)+1)
			if (kind == "zone" && zone == name) || (kind == "rack" && rack == name) {
				hosts = append(hosts, fmt.Sprintf("%s-%s-%d", s.prefix, pool, i+1))
			}
		}
	}
	return hosts
}

func (r *runner) setLinks(name string, mode linkMode) error {
	process, err := r.sys.resolve(name)
	if err != nil {
		return err
	}
	for _, k := range r.sys.links {
		if k.touches(process) {
			k.set(mode)
		}
	}
	return nil
}

func runPartition(r *runner, _ io.Writer, args []string) error { return r.setLinks(args[0], linkStall) }

func runReconnect(r *runner, _ io.Writer, args []string) error { return r.setLinks(args[0], linkPass) }

// runLoseAnswers loses the answers that a control replica gives operators.
func runLoseAnswers(r *runner, _ io.Writer, args []string) error {
	process, err := r.sys.resolve(args[0])
	if err != nil {
		return err
	}
	if _, err := r.sys.via(operator, process, r.sys.api[process]); err != nil {
		return err
	}
	for _, k := range r.sys.links {
		if k.from == operator && k.to == process {
			k.set(linkLoseAnswers)
		}
	}
	return nil
}

// runSilence makes the open connections of a process, or of all endpoints,
// silent; new ones work.
func runSilence(r *runner, _ io.Writer, args []string) error {
	if args[0] == "endpoints" {
		for host := range r.sys.fleet.Pools() {
			if e := r.sys.fleet.Endpoint(host); e != nil {
				e.SilenceConnections()
			}
		}
		return nil
	}
	process, err := r.sys.resolve(args[0])
	if err != nil {
		return err
	}
	for _, k := range r.sys.links {
		if k.touches(process) {
			k.silence()
		}
	}
	return nil
}

func runKill(r *runner, _ io.Writer, args []string) error {
	name, err := r.sys.resolve(args[0])
	if err != nil {
		return err
	}
	p := r.sys.running[name]
	if p == nil || p.kill == nil {
		return eris.Errorf("%s is no running process", name)
	}
	delete(r.sys.running, name)
	p.kill()
	<-p.ended
	return nil
}

func runStop(r *runner, _ io.Writer, args []string) error {
	name, err := r.sys.resolve(args[0])
	if err != nil {
		return err
	}
	return r.sys.stop(name)
}

func runStart(r *runner, _ io.Writer, args []string) error {
	name, err := r.sys.resolve(args[0])
	if err != nil {
		return err
	}
	return r.sys.start(name)
}

// runRestart restarts gracefully and waits until the process is ready.
func runRestart(r *runner, _ io.Writer, args []string) error {
	name, err := r.sys.resolve(args[0])
	if err != nil {
		return err
	}
	if err := r.sys.stop(name); err != nil {
		return err
	}
	if err := r.sys.start(name); err != nil {
		return err
	}
	return r.sys.waitReady(name)
}

func (s *system) waitReady(name string) error {
	address := s.api[name]
	if address == "" {
		address = s.callers[name]
	}
	return s.until(name+" is ready", func() string {
		var ready struct{ Ready bool }
		if err := getJSON("http://"+address+"/readyz", &ready); err != nil {
			return err.Error()
		}
		return ""
	})
}

// runLoseDisk removes the data folder of a control replica that does not run.
func runLoseDisk(r *runner, _ io.Writer, args []string) error {
	name, err := r.sys.resolve(args[0])
	if err != nil {
		return err
	}
	if r.sys.running[name] != nil {
		return eris.Errorf("%s still runs", name)
	}
	return os.RemoveAll(filepath.Join(r.dir, name))
}

// runJoin prepares a replica that joins the cluster and starts it.
func runJoin(r *runner, _ io.Writer, args []string) error {
	if err := r.sys.initialize(args[0], "init-join"); err != nil {
		return err
	}
	return r.sys.start(args[0])
}

// runName names the process that leads or follows now.
func runName(r *runner, _ io.Writer, args []string) error {
	name, err := r.sys.resolve(args[1])
	if err != nil {
		return err
	}
	r.sys.names[args[0]] = name
	return nil
}

// runAdvance lets time pass. No verdict depends on it: it gives a fault time to
// do harm.
func runAdvance(_ *runner, _ io.Writer, args []string) error {
	d, err := time.ParseDuration(args[0])
	if err != nil {
		return err
	}
	time.Sleep(d)
	return nil
}

// resource reads one resource from a replica, without the operator's links.
func (s *system) resource(kind, name string) (map[string]any, error) {
	err := eris.New("no control replica runs")
	for process := range s.running {
		if s.api[process] == "" {
			continue
		}
		var object map[string]any
		if err = getJSON("http://"+s.api[process]+"/v1/"+kind+"/"+name, &object); err == nil {
			return object, nil
		}
	}
	return nil, err
}

// field returns the value at a path; "length" is that of a list.
func field(object any, path string) string {
	for part := range strings.SplitSeq(path, ".") {
		switch v := object.(type) {
		case map[string]any:
			object = v[part]
		case []any:
			index, err := strconv.Atoi(part)
			switch {
			case part == "length":
				object = float64(len(v))
			case err == nil && index < len(v):
				object = v[index]
			default:
				object = nil
			}
		case nil:
			if part == "length" {
				return "0"
			}
			return ""
		}
	}
	switch v := object.(type) {
	case nil:
		return ""
	case string:
		return v
	}
	data, err := json.Marshal(object)
	if err != nil {
		return err.Error()
	}
	return string(data)
}

// matches compares a value with one of the wanted ones, separated by "|". A
// number may be wanted as >=N or <=N.
func matches(value, wanted string) bool {
	for one := range strings.SplitSeq(wanted, "|") {
		for _, op := range []string{">=", "<="} {
			bound, found := strings.CutPrefix(one, op)
			if !found {
				continue
			}
			limit, err1 := strconv.ParseFloat(bound, 64)
			number, err2 := strconv.ParseFloat(value, 64)
			if err1 == nil && err2 == nil && ((op == ">=" && number >= limit) || (op == "<=" && number <= limit)) {
				return true
			}
		}
		if one == value || (one == "none" && value == "") || (one == "some" && value != "") {
			return true
		}
	}
	return false
}

// seenResource returns "" if a field has the wanted value: KIND NAME PATH VALUE.
func (s *system) seenResource(args []string) string {
	object, err := s.resource(args[0], args[1])
	if err != nil {
		return err.Error()
	}
	value := field(object, args[2])
	if matches(value, args[3]) {
		return ""
	}
	status, _ := json.Marshal(object["status"])
	return fmt.Sprintf("%q; status %s", value, status)
}

func (s *system) seenCluster(args []string) string {
	status, err := s.cluster()
	if err != nil {
		return err.Error()
	}
	data, err := json.Marshal(status)
	if err != nil {
		return err.Error()
	}
	var object map[string]any
	if err := json.Unmarshal(data, &object); err != nil {
		return err.Error()
	}
	if args[0] == "applied-by" {
		return s.seenApplied(args[1], status.Commit)
	}
	if args[0] == "led-by" {
		name, err := s.resolve(args[1])
		if err != nil {
			return err.Error()
		}
		if name == controlName(int(status.Leader)) {
			return ""
		}
		return fmt.Sprintf("control-%d leads, status %s", status.Leader, data)
	}
	if value := field(object, args[0]); !matches(value, args[1]) {
		return fmt.Sprintf("%q; status %s", value, data)
	}
	return ""
}

// seenApplied returns "" if a replica has applied what was committed.
func (s *system) seenApplied(name string, commit uint64) string {
	name, err := s.resolve(name)
	if err != nil {
		return err.Error()
	}
	var own api.ClusterStatus
	if err := getJSON("http://"+s.api[name]+"/v1/cluster", &own); err != nil {
		return err.Error()
	}
	if own.Applied >= commit {
		return ""
	}
	return fmt.Sprintf("%s has applied %d of %d", name, own.Applied, commit)
}

// seen returns the check that wait and expect have in common.
func (r *runner) seen(args []string) (func() string, error) {
	switch {
	case args[0] == "cluster" && len(args) == 3:
		return func() string { return r.sys.seenCluster(args[1:]) }, nil
	case args[0] == "serving" && len(args) == 1:
		return r.sys.isReady, nil
	case args[0] == "available" && len(args) == 3:
		return func() string {
			n := strconv.Itoa(r.sys.fleet.Platform.AvailableHosts()[args[1]])
			if matches(n, args[2]) {
				return ""
			}
			return n + " hosts are available"
		}, nil
	case args[0] == "ready" && len(args) == 2:
		return nil, errWaitsItself
	case len(args) == 4:
		return func() string { return r.sys.seenResource(args) }, nil
	}
	return nil, eris.Errorf("%v cannot be looked at", args)
}

var errWaitsItself = errors.New("waits by itself")

func runWait(r *runner, _ io.Writer, args []string) error {
	seen, err := r.seen(args)
	if errors.Is(err, errWaitsItself) {
		name, err := r.sys.resolve(args[1])
		if err != nil {
			return err
		}
		return r.sys.waitReady(name)
	}
	if err != nil {
		return err
	}
	return r.sys.until(strings.Join(args, " "), seen)
}

func runExpect(r *runner, _ io.Writer, args []string) error {
	switch args[0] {
	case "callers":
		return r.sys.checkCallers(args[1])
	case "budgets":
		return r.sys.budget.check()
	case "moves":
		return r.checkMoves(args[1:])
	case "leader":
		return r.checkLeader(args[1])
	case "refuses-reads":
		return r.checkRefusesReads(args[1])
	case "audit":
		return r.checkAudit(args[1], args[2])
	}
	seen, err := r.seen(args)
	if err != nil {
		return err
	}
	if text := seen(); text != "" {
		return &unmet{expected: strings.Join(args, " "), seen: text}
	}
	return nil
}

// runRemember notes where hosts are and, as a name, who leads in which term.
func runRemember(r *runner, _ io.Writer, _ []string) error {
	r.before = r.sys.pools()
	status, err := r.sys.cluster()
	if err != nil {
		return err
	}
	r.sys.names["remembered"] = fmt.Sprintf("control-%d in term %d", status.Leader, status.Term)
	return nil
}

// checkMoves compares the hosts that have moved since remember with those
// listed.
func (r *runner) checkMoves(want []string) error {
	var moved []string
	for host, pool := range r.sys.pools() {
		if r.before[host] != pool {
			moved = append(moved, host)
		}
	}
	slices.Sort(moved)
	if len(want) == 1 && want[0] == "none" {
		want = nil
	}
	if !slices.Equal(moved, want) {
		return &unmet{expected: fmt.Sprintf("moved hosts %v", want), seen: fmt.Sprint(moved)}
	}
	return nil
}

// checkLeader expects the leader and the term that remember saw.
func (r *runner) checkLeader(want string) error {
	if want != "undisturbed" {
		return eris.Errorf("a leader cannot be expected to be %q", want)
	}
	status, err := r.sys.cluster()
	if err != nil {
		return err
	}
	if now := fmt.Sprintf("control-%d in term %d", status.Leader, status.Term); now != r.sys.names["remembered"] {
		return &unmet{expected: "leader " + r.sys.names["remembered"], seen: now}
	}
	return nil
}

// checkRefusesReads expects that a replica answers no read.
func (r *runner) checkRefusesReads(process string) error {
	name, err := r.sys.resolve(process)
	if err != nil {
		return err
	}
	var list any
	if err := getJSON("http://"+r.sys.api[name]+"/v1/pools", &list); err == nil {
		return &unmet{expected: name + " refuses reads", seen: "it answered"}
	}
	return nil
}

// checkAudit expects that the audit trail has N entries of operators for a
// resource.
func (r *runner) checkAudit(key, wanted string) error {
	var found []string
	for _, entry := range r.sys.audit(math.MaxInt32) {
		if strings.Contains(entry, " "+key+" ") && !strings.Contains(entry, " planner ") {
			found = append(found, entry)
		}
	}
	if !matches(strconv.Itoa(len(found)), wanted) {
		return &unmet{expected: fmt.Sprintf("%s audit entries of %s", wanted, key), seen: strings.Join(found, "\n          ")}
	}
	return nil
}

// runChange changes a configuration N times.
func runChange(r *runner, _ io.Writer, args []string) error {
	n, err := strconv.Atoi(args[1])
	if err != nil {
		return err
	}
	for i := range n {
		if err := r.putConfig(args[0], i+1); err != nil {
			return err
		}
	}
	return nil
}

// putConfig sets the value n of a configuration by force.
func (r *runner) putConfig(name string, n int) error {
	return r.sys.put(config{name: name, value: strconv.Itoa(n), force: true}, int(r.sys.answered.Load()))
}

// config is one change of a configuration.
type config struct {
	name, value string
	version     uint64
	force       bool
}

// put sends a change to the replicas in turn, from the one with the index
// first, under one change ID until it knows the outcome, as operators do.
func (s *system) put(c config, first int) error {
	id := fmt.Sprintf("%s-%s-%d", c.name, c.value, time.Now().UnixNano())
	issued := time.Now().UTC().Format(time.RFC3339Nano)
	try := first
	var refused error
	err := s.until("a replica tells the outcome of change "+id, func() string {
		name := controlName(try%controls + 1)
		try++
		var again bool
		if again, refused = s.putOnce(name, c, id, issued); again {
			return refused.Error()
		}
		s.answered.Store(int64(try-1) % controls)
		return ""
	})
	if err != nil {
		return err
	}
	return refused
}

// putOnce sends a change to one replica. Again tells that the outcome is not
// known or that another replica may carry it out.
func (s *system) putOnce(process string, c config, id, issued string) (again bool, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), answerLimit)
	defer cancel()
	body := fmt.Sprintf(`{"metadata":{"version":%d},"spec":{"values":{"n":%q}}}`, c.version, c.value)
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, fmt.Sprintf("http://%s/v1/configs/%s?force=%t", s.api[process], c.name, c.force), strings.NewReader(body))
	if err != nil {
		return false, err
	}
	req.Header.Set(api.ChangeIDHeader, id)
	req.Header.Set(api.IssuedAtHeader, issued)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return true, err
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	if err != nil {
		return true, err
	}
	if res.StatusCode == http.StatusOK {
		return false, nil
	}
	var refusal answer.ErrorBody
	if err := json.Unmarshal(data, &refusal); err != nil || refusal.Error == nil {
		return true, eris.Errorf("%s: %s", res.Status, data)
	}
	switch refusal.Error.Kind {
	case fault.OutcomeUnknown, fault.Unavailable, fault.NotLeader, fault.Overloaded, fault.Stopping:
		return true, refusal.Error
	default:
		return false, refusal.Error
	}
}

// runRace lets N operators change one configuration from the same version, each
// at another replica, and expects that exactly one succeeds.
func runRace(r *runner, _ io.Writer, args []string) error {
	n, err := strconv.Atoi(args[1])
	if err != nil {
		return err
	}
	object, err := r.sys.resource("configs", args[0])
	if err != nil {
		return err
	}
	version, err := strconv.ParseFloat(field(object, "metadata.version"), 64)
	if err != nil {
		return err
	}
	results := make(chan error, n)
	for i := range n {
		// The value differs in every race: a put of what is stored already
		// changes nothing and is accepted.
		value := fmt.Sprintf("operator-%d-from-%d", i, uint64(version))
		go func() { results <- r.sys.put(config{name: args[0], value: value, version: uint64(version)}, i) }()
	}
	won := 0
	var others []string
	for range n {
		switch err := <-results; {
		case err == nil:
			won++
		case fault.KindOf(err) == fault.Conflict:
		default:
			others = append(others, err.Error())
		}
	}
	if won != 1 || len(others) > 0 {
		return &unmet{expected: "one change accepted, the others refused with conflict", seen: fmt.Sprintf("%d accepted, refused otherwise: %v", won, others)}
	}
	return nil
}
