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

// Limits of the diagnostics that a failed command prints.
const (
	maxEvents       = 25
	maxAuditEntries = 15
)

// runner executes the commands of one scenario.
type runner struct {
	binaries, dir string
	sys           *system
	// rememberedPools is the pool of each host at the last command remember.
	rememberedPools map[string]string
}

type runnerKey struct{}

func (r *runner) close() {
	if r.sys != nil {
		r.sys.close()
	}
}

// command implements one command of the scripts. Its output goes to out, where the
// command stdout of testscript finds it.
type command func(r *runner, out io.Writer, args []string) error

func commands() map[string]func(*testscript.TestScript, bool, []string) {
	implementations := map[string]command{
		"deployment": runDeployment, "dockctl": runDockctl, "exitcode": runExitCode, "apply": runApply,
		"load": runLoad, "fail": runFail, "heal": runHeal, "partition": runPartition, "reconnect": runReconnect,
		"lose-answers": runLoseAnswers, "silence": runSilence, "kill-9": runKill, "shutdown": runShutdown, "start": runStart,
		"restart": runRestart, "lose-disk": runLoseDisk, "join": runJoin, "name": runName, "advance": runAdvance, "await": runAwait, "expect": runExpect,
		"change": runChange, "race": runRace, "remember": runRemember,
	}
	cmds := make(map[string]func(*testscript.TestScript, bool, []string))
	for name, run := range implementations {
		cmds[name] = func(ts *testscript.TestScript, neg bool, args []string) {
			if neg {
				ts.Fatalf("%s cannot be negated", name)
			}
			r := ts.Value(runnerKey{}).(*runner)
			if r.sys == nil && name != "deployment" {
				ts.Fatalf("the first command must be: deployment SHAPE")
			}
			if err := run(r, ts.Stdout(), args); err != nil {
				ts.Fatalf("%s\n%s", err, r.lastEvents())
			}
		}
	}
	return cmds
}

// lastEvents returns the newest audit entries and log events, oldest first.
func (r *runner) lastEvents() string {
	if r.sys == nil {
		return ""
	}
	var b strings.Builder
	b.WriteString("last audit entries:\n")
	for _, entry := range r.sys.audit(maxAuditEntries) {
		fmt.Fprintf(&b, "  %s\n", entry)
	}
	b.WriteString("last log events:\n")
	for _, line := range r.sys.log.last(maxEvents) {
		fmt.Fprintf(&b, "  %s\n", line)
	}
	return b.String()
}

// audit returns the newest entries of the audit trail, oldest first.
func (s *system) audit(n int) []string {
	for name := range s.running {
		if s.apiAddresses[name] == "" {
			continue
		}
		var entries []string
		since := uint64(0)
		for {
			var page api.AuditPage
			if err := getJSON(fmt.Sprintf("http://%s/v1/audit?since=%d&limit=1000", s.apiAddresses[name], since), &page); err != nil {
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

// dockctl runs the dockctl command line over the operator's links and returns its
// exit code.
func (s *system) dockctl(out io.Writer, args ...string) int {
	var urls []string
	for i := range controlCount + 1 {
		name := controlName(i + 1)
		if s.running[name] == nil {
			continue
		}
		address, err := s.linkAddress(operator, name, s.apiAddresses[name])
		if err != nil {
			return cli.ExitUsage
		}
		urls = append(urls, "http://"+address)
	}
	commandLine := append([]string{"dockctl", "--control", strings.Join(urls, ","), "--timeout", "45s"}, args...)
	return cli.Run(context.Background(), commandLine, nil, out, out)
}

func runDeployment(r *runner, _ io.Writer, args []string) error {
	s, found := shapes[args[0]]
	if !found {
		return eris.Errorf("unknown shape %q", args[0])
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
		return &expectationError{expected: fmt.Sprintf("exit code %d", want), actual: fmt.Sprintf("%d: %s", code, text.String())}
	}
	return nil
}

// expand replaces PEER:NAME with the URL of a replica's peer listener, and ID:NAME
// with the ID of a replica, whose name may be an alias.
func (r *runner) expand(args []string) []string {
	var out []string
	for _, arg := range args {
		if name, found := strings.CutPrefix(arg, "PEER:"); found {
			arg = "http://" + r.sys.peerAddresses[name]
		}
		if name, found := strings.CutPrefix(arg, "ID:"); found {
			if process, ok := r.sys.names[name]; ok {
				name = process
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
		r.sys.load.stop()
		return nil
	}
	return r.sys.startLoad(args)
}

// runFail injects a failure of hosts, a rack, a zone, tasks or the platform.
func runFail(r *runner, _ io.Writer, args []string) error { return r.setFailed(args, true) }

// runHeal reverts runFail.
func runHeal(r *runner, _ io.Writer, args []string) error { return r.setFailed(args, false) }

func (r *runner) setFailed(args []string, failed bool) error {
	fleet := r.sys.fleet
	switch args[0] {
	case "hosts":
		for _, host := range args[1:] {
			r.setHostFailed(host, failed)
		}
	case "rack", "zone":
		for _, host := range r.hostsIn(args[0], args[1]) {
			r.setHostFailed(host, failed)
		}
	case "tasks":
		fleet.Platform.SetTasksFailing(args[1], failed)
	case "platform":
		fleet.Platform.SetDown(failed)
	default:
		return eris.Errorf("unknown fault target %q", args[0])
	}
	return nil
}

func (r *runner) setHostFailed(host string, failed bool) {
	if failed {
		r.sys.fleet.Crash(host)
		return
	}
	r.sys.fleet.Heal(host)
}

func (r *runner) hostsIn(kind, name string) []string {
	s := r.sys.shape
	var hosts []string
	for _, pool := range s.allPools() {
		for i := range s.hostsPerPool {
			zone := s.zones[i%len(s.zones)]
			rack := fmt.Sprintf("%s-r%d", zone, i/len(s.zones)+1)
			if (kind == "zone" && zone == name) || (kind == "rack" && rack == name) {
				hosts = append(hosts, fmt.Sprintf("%s-%s-%d", s.hostPrefix, pool, i+1))
			}
		}
	}
	return hosts
}

func (r *runner) setLinkMode(name string, mode linkMode) error {
	process, err := r.sys.resolve(name)
	if err != nil {
		return err
	}
	for _, k := range r.sys.links {
		if k.connects(process) {
			k.setMode(mode)
		}
	}
	return nil
}

func runPartition(r *runner, _ io.Writer, args []string) error {
	return r.setLinkMode(args[0], linkStall)
}

func runReconnect(r *runner, _ io.Writer, args []string) error {
	return r.setLinkMode(args[0], linkPass)
}

// runLoseAnswers discards the responses of a control replica to operators.
func runLoseAnswers(r *runner, _ io.Writer, args []string) error {
	process, err := r.sys.resolve(args[0])
	if err != nil {
		return err
	}
	if _, err := r.sys.linkAddress(operator, process, r.sys.apiAddresses[process]); err != nil {
		return err
	}
	for _, k := range r.sys.links {
		if k.from == operator && k.to == process {
			k.setMode(linkDropResponses)
		}
	}
	return nil
}

// runSilence makes the open connections of a process, or of all endpoints, silent.
// New connections work.
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
		if k.connects(process) {
			k.stallOpen()
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
		return eris.Errorf("%s is not a running process", name)
	}
	delete(r.sys.running, name)
	p.kill()
	<-p.ended
	return nil
}

func runShutdown(r *runner, _ io.Writer, args []string) error {
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

// runRestart restarts a process gracefully and waits until it is ready.
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
	address := s.apiAddresses[name]
	if address == "" {
		address = s.callerAddresses[name]
	}
	return s.waitUntil(name+" is ready", func() string {
		var ready struct{ Ready bool }
		if err := getJSON("http://"+address+"/readyz", &ready); err != nil {
			return err.Error()
		}
		return ""
	})
}

// runLoseDisk removes the data directory of a stopped control replica.
func runLoseDisk(r *runner, _ io.Writer, args []string) error {
	name, err := r.sys.resolve(args[0])
	if err != nil {
		return err
	}
	if r.sys.running[name] != nil {
		return eris.Errorf("%s is still running", name)
	}
	return os.RemoveAll(filepath.Join(r.dir, name))
}

// runJoin initializes and starts a replica that joins the cluster.
func runJoin(r *runner, _ io.Writer, args []string) error {
	if err := r.sys.initialize(args[0], "init-join"); err != nil {
		return err
	}
	return r.sys.start(args[0])
}

// runName defines an alias for a process, such as the current leader or a follower.
func runName(r *runner, _ io.Writer, args []string) error {
	name, err := r.sys.resolve(args[1])
	if err != nil {
		return err
	}
	r.sys.names[args[0]] = name
	return nil
}

// runAdvance sleeps, so that a fault has time to take effect. No check depends on the
// length.
func runAdvance(_ *runner, _ io.Writer, args []string) error {
	d, err := time.ParseDuration(args[0])
	if err != nil {
		return err
	}
	time.Sleep(d)
	return nil
}

// getResource reads a resource from a replica, bypassing the operator's links.
func (s *system) getResource(kind, name string) (map[string]any, error) {
	err := eris.New("no control replica is running")
	for process := range s.running {
		if s.apiAddresses[process] == "" {
			continue
		}
		var object map[string]any
		if err = getJSON("http://"+s.apiAddresses[process]+"/v1/"+kind+"/"+name, &object); err == nil {
			return object, nil
		}
	}
	return nil, err
}

// fieldValue returns the value at a dotted path as text, or "" if there is none. The
// path element length selects the length of a list.
func fieldValue(object any, path string) string {
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

// matches reports whether value matches one of the alternatives in pattern, which
// are separated by "|". An alternative is a literal value, a bound >=N or <=N, none
// or some.
func matches(value, pattern string) bool {
	for alternative := range strings.SplitSeq(pattern, "|") {
		for _, op := range []string{">=", "<="} {
			bound, found := strings.CutPrefix(alternative, op)
			if !found {
				continue
			}
			limit, err1 := strconv.ParseFloat(bound, 64)
			number, err2 := strconv.ParseFloat(value, 64)
			if err1 == nil && err2 == nil && ((op == ">=" && number >= limit) || (op == "<=" && number <= limit)) {
				return true
			}
		}
		if alternative == value || (alternative == "none" && value == "") || (alternative == "some" && value != "") {
			return true
		}
	}
	return false
}

// resourceMismatch returns "" if a field of a resource matches a pattern. The
// arguments are KIND NAME PATH PATTERN.
func (s *system) resourceMismatch(args []string) string {
	object, err := s.getResource(args[0], args[1])
	if err != nil {
		return err.Error()
	}
	value := fieldValue(object, args[2])
	if matches(value, args[3]) {
		return ""
	}
	status, _ := json.Marshal(object["status"])
	return fmt.Sprintf("%q; status %s", value, status)
}

// clusterMismatch returns "" if the cluster status matches. The arguments are
// applied-by PROCESS, led-by PROCESS, or PATH PATTERN.
func (s *system) clusterMismatch(args []string) string {
	status, err := s.clusterStatus()
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
		return s.appliedMismatch(args[1], status.Commit)
	}
	if args[0] == "led-by" {
		name, err := s.resolve(args[1])
		if err != nil {
			return err.Error()
		}
		if name == controlName(int(status.Leader)) {
			return ""
		}
		return fmt.Sprintf("control-%d is leader, status %s", status.Leader, data)
	}
	if value := fieldValue(object, args[0]); !matches(value, args[1]) {
		return fmt.Sprintf("%q; status %s", value, data)
	}
	return ""
}

// appliedMismatch returns "" if a replica has applied the commit index.
func (s *system) appliedMismatch(name string, commit uint64) string {
	name, err := s.resolve(name)
	if err != nil {
		return err.Error()
	}
	var status api.ClusterStatus
	if err := getJSON("http://"+s.apiAddresses[name]+"/v1/cluster", &status); err != nil {
		return err.Error()
	}
	if status.Applied >= commit {
		return ""
	}
	return fmt.Sprintf("%s has applied %d of %d", name, status.Applied, commit)
}

// condition returns the condition that the arguments of await and expect describe.
// The condition returns "" if it holds and otherwise the actual state.
func (r *runner) condition(args []string) (func() string, error) {
	switch {
	case args[0] == "cluster" && len(args) == 3:
		return func() string { return r.sys.clusterMismatch(args[1:]) }, nil
	case args[0] == "serving" && len(args) == 1:
		return r.sys.servingMismatch, nil
	case args[0] == "available" && len(args) == 3:
		return func() string {
			n := strconv.Itoa(r.sys.fleet.Platform.AvailableHosts()[args[1]])
			if matches(n, args[2]) {
				return ""
			}
			return n + " hosts are available"
		}, nil
	case args[0] == "ready" && len(args) == 2:
		return nil, errReadyCondition
	case len(args) == 4:
		return func() string { return r.sys.resourceMismatch(args) }, nil
	}
	return nil, eris.Errorf("unknown condition %v", args)
}

// errReadyCondition is returned for the condition ready, which runAwait handles.
var errReadyCondition = errors.New("ready cannot be expected, only awaited")

func runAwait(r *runner, _ io.Writer, args []string) error {
	condition, err := r.condition(args)
	if errors.Is(err, errReadyCondition) {
		name, err := r.sys.resolve(args[1])
		if err != nil {
			return err
		}
		return r.sys.waitReady(name)
	}
	if err != nil {
		return err
	}
	return r.sys.waitUntil(strings.Join(args, " "), condition)
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
	condition, err := r.condition(args)
	if err != nil {
		return err
	}
	if actual := condition(); actual != "" {
		return &expectationError{expected: strings.Join(args, " "), actual: actual}
	}
	return nil
}

// runRemember records the pool of each host and, as the alias remembered, the leader
// and its term.
func runRemember(r *runner, _ io.Writer, _ []string) error {
	r.rememberedPools = r.sys.hostPools()
	status, err := r.sys.clusterStatus()
	if err != nil {
		return err
	}
	r.sys.names["remembered"] = fmt.Sprintf("control-%d in term %d", status.Leader, status.Term)
	return nil
}

// checkMoves checks that exactly the listed hosts have changed their pool since the
// command remember.
func (r *runner) checkMoves(want []string) error {
	var moved []string
	for host, pool := range r.sys.hostPools() {
		if r.rememberedPools[host] != pool {
			moved = append(moved, host)
		}
	}
	slices.Sort(moved)
	if len(want) == 1 && want[0] == "none" {
		want = nil
	}
	if !slices.Equal(moved, want) {
		return &expectationError{expected: fmt.Sprintf("moved hosts %v", want), actual: fmt.Sprint(moved)}
	}
	return nil
}

// checkLeader checks that the leader and the term are those recorded by remember.
func (r *runner) checkLeader(want string) error {
	if want != "undisturbed" {
		return eris.Errorf("unknown expectation of the leader: %q", want)
	}
	status, err := r.sys.clusterStatus()
	if err != nil {
		return err
	}
	if current := fmt.Sprintf("control-%d in term %d", status.Leader, status.Term); current != r.sys.names["remembered"] {
		return &expectationError{expected: "leader " + r.sys.names["remembered"], actual: current}
	}
	return nil
}

// checkRefusesReads checks that a replica refuses a read.
func (r *runner) checkRefusesReads(process string) error {
	name, err := r.sys.resolve(process)
	if err != nil {
		return err
	}
	var list any
	if err := getJSON("http://"+r.sys.apiAddresses[name]+"/v1/pools", &list); err == nil {
		return &expectationError{expected: name + " refuses reads", actual: "the read succeeded"}
	}
	return nil
}

// checkAudit checks that the number of audit entries by operators for a resource
// matches a pattern.
func (r *runner) checkAudit(key, pattern string) error {
	var found []string
	for _, entry := range r.sys.audit(math.MaxInt32) {
		if strings.Contains(entry, " "+key+" ") && !strings.Contains(entry, " planner ") {
			found = append(found, entry)
		}
	}
	if !matches(strconv.Itoa(len(found)), pattern) {
		return &expectationError{expected: fmt.Sprintf("%s audit entries of %s", pattern, key), actual: strings.Join(found, "\n          ")}
	}
	return nil
}

// runChange changes a configuration a given number of times.
func runChange(r *runner, _ io.Writer, args []string) error {
	n, err := strconv.Atoi(args[1])
	if err != nil {
		return err
	}
	for i := range n {
		if err := r.forceConfig(args[0], i+1); err != nil {
			return err
		}
	}
	return nil
}

// forceConfig sets the value n of a configuration, whatever its version is.
func (r *runner) forceConfig(name string, n int) error {
	return r.sys.submitChange(configChange{name: name, value: strconv.Itoa(n), force: true}, int(r.sys.preferredReplica.Load()))
}

// configChange is one change of a configuration.
type configChange struct {
	name, value string
	version     uint64
	force       bool
}

// submitChange sends a change to the replicas in turn, starting with the replica at
// index first, until the outcome is known. As operators do, it uses one change ID for
// all attempts.
func (s *system) submitChange(c configChange, first int) error {
	id := fmt.Sprintf("%s-%s-%d", c.name, c.value, time.Now().UnixNano())
	issued := time.Now().UTC().Format(time.RFC3339Nano)
	replica := first
	var refused error
	err := s.waitUntil("a replica reports the outcome of change "+id, func() string {
		name := controlName(replica%controlCount + 1)
		replica++
		var retryable bool
		if retryable, refused = s.trySubmit(name, c, id, issued); retryable {
			return refused.Error()
		}
		s.preferredReplica.Store(int64(replica-1) % controlCount)
		return ""
	})
	if err != nil {
		return err
	}
	return refused
}

// trySubmit sends a change to one replica. The result retryable reports that the
// outcome is unknown or that another replica may accept the change.
func (s *system) trySubmit(process string, c configChange, id, issued string) (retryable bool, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	body := fmt.Sprintf(`{"metadata":{"version":%d},"spec":{"values":{"n":%q}}}`, c.version, c.value)
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, fmt.Sprintf("http://%s/v1/configs/%s?force=%t", s.apiAddresses[process], c.name, c.force), strings.NewReader(body))
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

// runRace has several operators change one configuration from the same version at
// the same time, each starting with a different replica, and checks that exactly one
// succeeds and the others are refused with conflict.
func runRace(r *runner, _ io.Writer, args []string) error {
	n, err := strconv.Atoi(args[1])
	if err != nil {
		return err
	}
	object, err := r.sys.getResource("configs", args[0])
	if err != nil {
		return err
	}
	version, err := strconv.ParseFloat(fieldValue(object, "metadata.version"), 64)
	if err != nil {
		return err
	}
	results := make(chan error, n)
	for i := range n {
		// The value differs in every race, because a put of the stored value changes
		// nothing and is accepted.
		value := fmt.Sprintf("operator-%d-from-%d", i, uint64(version))
		go func() {
			results <- r.sys.submitChange(configChange{name: args[0], value: value, version: uint64(version)}, i)
		}()
	}
	accepted := 0
	var otherErrors []string
	for range n {
		switch err := <-results; {
		case err == nil:
			accepted++
		case fault.KindOf(err) == fault.Conflict:
		default:
			otherErrors = append(otherErrors, err.Error())
		}
	}
	if accepted != 1 || len(otherErrors) > 0 {
		return &expectationError{expected: "one change accepted, the others refused with conflict", actual: fmt.Sprintf("%d accepted, other errors: %v", accepted, otherErrors)}
	}
	return nil
}
