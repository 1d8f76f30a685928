package cli

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"

	"connectrpc.com/connect"
	"github.com/urfave/cli/v3"
	"go.yaml.in/yaml/v3"

	pb "laburnumdock/gen/laburnumdock/v1"
	"laburnumdock/gen/laburnumdock/v1/laburnumdockv1connect"
	"laburnumdock/internal/answer"
	"laburnumdock/internal/codec"
	"laburnumdock/internal/core/decision"
	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/core/jobs"
)

func explainCommand() *cli.Command {
	return &cli.Command{
		Name: "explain", Usage: "show where a job or a request would go now and why, without sending it",
		Commands: []*cli.Command{explainJobCommand(), explainRequestCommand()},
	}
}

func explainJobCommand() *cli.Command {
	return &cli.Command{
		Name: "job", Usage: "explain where the tasks of a job go", ArgsUsage: "NAME | URL...",
		Action: runExplainJob,
		Description: "With NAME alone, the control replicas (--control) explain a job of the resource API.\n" +
			"With --id, or with --host and --path as in a call of a client, the leader of a cell explains a job. URL is the base URL of a " +
			"replica's peer listener; any replica will do. With --file, a new job is explained as if it was submitted now.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "id", Usage: "ID of an accepted job"},
			&cli.StringFlag{Name: "host", Usage: "host name of the queue"},
			&cli.StringFlag{Name: "path", Usage: "path of the queue, and the job's ID after it if there is one"},
			&cli.StringFlag{Name: "file", Aliases: []string{"f"}, Usage: "YAML or JSON file that describes a new job"},
			&cli.StringFlag{Name: "key-file", Usage: "file with the API key of the tenant"},
		},
	}
}

// describedJob is a job in a file.
type describedJob struct {
	Steps []describedStep `yaml:"steps"`
}

type describedStep struct {
	Count          int    `yaml:"count"`
	CPUMillis      int64  `yaml:"cpuMillis"`
	MemoryMB       int64  `yaml:"memoryMb"`
	Accelerators   int64  `yaml:"accelerators"`
	EstimateMS     int64  `yaml:"estimateMs"`
	After          []int  `yaml:"after"`
	Image          string `yaml:"image"`
	Label          string `yaml:"label"`
	DataRack       string `yaml:"dataRack"`
	MaxPerExecutor int    `yaml:"maxPerExecutor"`
	Gang           bool   `yaml:"gang"`
	RackLocal      bool   `yaml:"rackLocal"`
	Checkpoints    bool   `yaml:"checkpoints"`
	LongRunning    bool   `yaml:"longRunning"`
	BestEffort     bool   `yaml:"bestEffort"`
}

func readDescribedJob(path string) (*jobs.Spec, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, usagef("job file: %s", err)
	}
	defer file.Close()
	var doc describedJob
	dec := yaml.NewDecoder(file)
	dec.KnownFields(true)
	if err := dec.Decode(&doc); err != nil {
		return nil, usagef("job file %s: %s", path, err)
	}
	spec := &jobs.Spec{}
	for _, s := range doc.Steps {
		spec.Steps = append(spec.Steps, jobs.Step{
			Count: max(s.Count, 1), Demand: jobs.Resources{CPU: s.CPUMillis, MemoryMB: s.MemoryMB, Accelerators: s.Accelerators},
			Estimate: s.EstimateMS, After: s.After, Image: s.Image, Label: s.Label, DataRack: s.DataRack, MaxPerExecutor: s.MaxPerExecutor,
			Gang: s.Gang, RackLocal: s.RackLocal, Checkpoints: s.Checkpoints, LongRunning: s.LongRunning, BestEffort: s.BestEffort,
		})
	}
	if err := spec.Check(); err != nil {
		return nil, err
	}
	return spec, nil
}

// explainRequest returns the request that the flags describe. The key itself is not sent.
func explainRequest(c *cli.Command) (*pb.ExplainRequest, error) {
	req := &pb.ExplainRequest{Host: c.String("host"), Path: c.String("path")}
	switch id := c.String("id"); {
	case (id == "") == (req.GetPath() == ""):
		return nil, usagef("either --id or --host and --path are needed")
	case id != "":
		req.Path = id
	}
	if path := c.String("file"); path != "" {
		spec, err := readDescribedJob(path)
		if err != nil {
			return nil, err
		}
		if req.Body, err = codec.EncodeJobsValue(spec); err != nil {
			return nil, err
		}
	}
	if path := c.String("key-file"); path != "" {
		key, err := os.ReadFile(path)
		if err != nil {
			return nil, usagef("key file: %s", err)
		}
		digest := sha256.Sum256([]byte(strings.TrimSpace(string(key))))
		req.KeyDigest = digest[:]
	}
	return req, nil
}

// runExplainControlJob asks the control replicas about a job of the resource API.
func runExplainControlJob(ctx context.Context, c *cli.Command) error {
	args, err := exactArgs(c, "NAME")
	if err != nil {
		return err
	}
	client, err := clientFromFlags(c)
	if err != nil {
		return err
	}
	data, err := client.do(ctx, apiCall{path: "/v1/explain/jobs/" + url.PathEscape(args[0])})
	if err != nil {
		return err
	}
	return printExplanation(c, data)
}

func runExplainJob(ctx context.Context, c *cli.Command) error {
	if c.String("id") == "" && c.String("path") == "" && c.String("file") == "" {
		return runExplainControlJob(ctx, c)
	}
	urls := c.Args().Slice()
	if len(urls) == 0 {
		return usagef("the base URL of at least one replica is needed")
	}
	req, err := explainRequest(c)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, c.Duration("timeout"))
	defer cancel()
	data, err := askLeader(ctx, urls, req)
	if err != nil {
		return err
	}
	return printExplanation(c, data)
}

// askLeader asks the replicas in turn for the leader, and that for the explanation.
func askLeader(ctx context.Context, urls []string, req *pb.ExplainRequest) ([]byte, error) {
	status, err := readCellStatus(ctx, urls)
	if err != nil {
		return nil, err
	}
	for _, m := range status.Members {
		if m.ID != status.Leader {
			continue
		}
		resp, err := laburnumdockv1connect.NewCellServiceClient(&http.Client{}, m.Address).Explain(ctx, connect.NewRequest(req))
		if err != nil {
			return nil, answer.RemoteError(err, fault.Unavailable)
		}
		return resp.Msg.GetExplanation(), nil
	}
	return nil, fault.New(fault.Unavailable, "the cell has no leader now")
}

func explainRequestCommand() *cli.Command {
	return &cli.Command{
		Name: "request", Usage: "ask an entry host to which endpoint it would forward a request", ArgsUsage: "URL", Action: runExplainRequest,
		Description: "URL is the base URL of the entry host.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "service", Usage: "name of the service"},
			&cli.StringFlag{Name: "work-kind", Usage: "kind of work"},
			&cli.StringFlag{Name: "caller", Usage: "name of the caller"},
			&cli.IntFlag{Name: "size", Usage: "length of the body in bytes"},
			&cli.BoolFlag{Name: "urgent", Usage: "explain an urgent request"},
			&cli.DurationFlag{Name: "deadline", Usage: "time until the request's deadline"},
		},
	}
}

func runExplainRequest(ctx context.Context, c *cli.Command) error {
	args, err := exactArgs(c, "URL")
	if err != nil {
		return err
	}
	if c.String("service") == "" {
		return usagef("--service is needed")
	}
	query := url.Values{"service": {c.String("service")}, "workKind": {c.String("work-kind")}, "caller": {c.String("caller")}}
	query.Set("sizeBytes", strconv.Itoa(c.Int("size")))
	query.Set("urgent", strconv.FormatBool(c.Bool("urgent")))
	if deadline := c.Duration("deadline"); deadline > 0 {
		query.Set("deadlineMs", strconv.FormatInt(deadline.Milliseconds(), 10))
	}
	data, err := NewClient([]string{strings.TrimSuffix(args[0], "/")}, "", c.Duration("timeout")).do(ctx, apiCall{path: "/v1/explain", query: query})
	if err != nil {
		return err
	}
	return printExplanation(c, data)
}

// printExplanation prints an explanation in the selected format.
func printExplanation(c *cli.Command, data []byte) error {
	var x decision.Explanation
	if err := json.Unmarshal(data, &x); err != nil {
		return fault.New(fault.Internal, "the explanation cannot be decoded: %v", err)
	}
	return printResponse(c, data, func(w io.Writer) error { return writeExplanation(w, x) })
}

// writeExplanation writes an explanation for people.
func writeExplanation(w io.Writer, x decision.Explanation) error {
	known := ""
	if !x.IsKnown {
		known = " (not sent)"
	}
	fmt.Fprintf(w, "%s %s%s: %s\n", x.Subject, x.Name, known, joinState(x.State, x.Reason))
	for _, v := range []decision.Value{{Name: "decided by", Value: x.Source}, {Name: "queue", Value: x.Queue}, {Name: "pool", Value: x.Pool}, {Name: "tenant", Value: x.Tenant}} {
		if v.Value != "" {
			fmt.Fprintf(w, "%s: %s\n", v.Name, v.Value)
		}
	}
	for _, l := range x.Limits {
		used := ""
		if l.Used != "" {
			used = l.Used + " of "
		}
		fmt.Fprintf(w, "limit: %s: %s%s\n", l.Name, used, l.Value)
	}
	if x.Position > 0 {
		fmt.Fprintf(w, "position in the order of start: %d of %d\n", x.Position, x.Waiting)
	}
	for _, v := range x.Order {
		fmt.Fprintf(w, "  %s: %s\n", v.Name, v.Value)
	}
	switch {
	case x.State == "ended":
	case x.EndHigh == 0:
		fmt.Fprintln(w, "expected start and end: not known")
	default:
		basis := ""
		if !x.TimesKnown {
			basis = ", from estimates alone"
		}
		fmt.Fprintf(w, "expected start in %d ms, end in %d ms, in one of ten cases after %d ms%s\n", x.ExpectedStart, x.ExpectedEnd, x.EndHigh, basis)
	}
	for _, p := range x.Parts {
		if err := writePart(w, p); err != nil {
			return err
		}
	}
	return nil
}

func joinState(state, reason string) string {
	if reason == "" {
		return state
	}
	return state + ", " + reason
}

func writePart(w io.Writer, p decision.Part) error {
	fmt.Fprintf(w, "\n%s: %s", p.Name, p.State)
	if p.Tasks > 0 {
		fmt.Fprintf(w, ", %d waiting", p.Tasks)
	}
	if len(p.Chosen) > 0 {
		fmt.Fprintf(w, ", on %s", strings.Join(p.Chosen, " "))
	}
	if p.High > 0 {
		fmt.Fprintf(w, ", expected time %d ms, in one of ten cases above %d ms", p.Median, p.High)
	}
	fmt.Fprintln(w)
	if len(p.Candidates) == 0 {
		return nil
	}
	if err := writeRow(w, "CANDIDATE", "HOST", "ZONE", "RACK", "RESULT"); err != nil {
		return err
	}
	for _, c := range p.Candidates {
		result := c.Reason
		if c.Chosen {
			result = "chosen"
		}
		if err := writeRow(w, c.Name, c.Host, c.Zone, c.Rack, result); err != nil {
			return err
		}
	}
	return nil
}
