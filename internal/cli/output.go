package cli

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/urfave/cli/v3"
	"go.yaml.in/yaml/v3"

	"laburnumdock/internal/core/model"
)

// Output formats.
const (
	formatTable = "table"
	formatJSON  = "json"
	formatYAML  = "yaml"
)

func outputFormat(c *cli.Command) (string, error) {
	switch format := c.String("output"); format {
	case formatTable, formatJSON, formatYAML:
		return format, nil
	default:
		return "", usagef("output %q is not table, json or yaml", format)
	}
}

// printResponse prints an API response in the selected format. The function table
// writes the table format.
func printResponse(c *cli.Command, data []byte, table func(io.Writer) error) error {
	format, err := outputFormat(c)
	if err != nil {
		return err
	}
	out := c.Root().Writer
	switch format {
	case formatJSON:
		var indented bytes.Buffer
		if err := json.Indent(&indented, bytes.TrimSpace(data), "", "  "); err != nil {
			return err
		}
		_, err = fmt.Fprintln(out, indented.String())
		return err
	case formatYAML:
		return printYAML(out, data)
	}
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	if err := table(w); err != nil {
		return err
	}
	return w.Flush()
}

// printYAML prints JSON data as YAML. As JSON is a subset of YAML, the data is
// parsed as YAML, which keeps the order of the fields.
func printYAML(out io.Writer, data []byte) error {
	var doc yaml.Node
	if err := yaml.Unmarshal(data, &doc); err != nil {
		return err
	}
	setBlockStyle(&doc)
	enc := yaml.NewEncoder(out)
	enc.SetIndent(2)
	if err := enc.Encode(&doc); err != nil {
		return err
	}
	return enc.Close()
}

func setBlockStyle(n *yaml.Node) {
	n.Style = 0
	for _, child := range n.Content {
		setBlockStyle(child)
	}
}

// writeRow writes one row of a table, with "-" for empty cells.
func writeRow(w io.Writer, cells ...any) error {
	texts := make([]string, 0, len(cells))
	for _, cell := range cells {
		text := fmt.Sprint(cell)
		if text == "" {
			text = "-"
		}
		texts = append(texts, text)
	}
	_, err := fmt.Fprintln(w, strings.Join(texts, "\t"))
	return err
}

// headings are the column headings of each kind of resource.
var headings = map[model.Kind][]any{
	model.KindPool:   {"NAME", "SERVICE", "HOSTS", "HEALTHY", "MIN", "MAX", "SPARE FROM", "VERSION"},
	model.KindHost:   {"NAME", "POOL", "ZONE", "RACK", "PHASE", "HEALTH", "IN FLIGHT", "EPOCH", "VERSION"},
	model.KindBudget: {"NAME", "POOL", "HEALTHY", "NEEDED", "STOPS", "REASON", "VERSION"},
	model.KindJob:    {"NAME", "POOL", "TEAM", "TASKS", "RUNNING", "REASON", "VERSION"},
	model.KindWave:   {"NAME", "PHASE", "DONE", "STOPPED", "WAITING", "REASON", "VERSION"},
	model.KindTeam:   {"NAME", "CORES", "MEMORY MB", "ACCELERATORS", "VERSION"},
	model.KindConfig: {"NAME", "VALUES", "VERSION"},
}

// cells returns the row of a resource in the table of its kind.
func cells(obj model.Object) []any {
	switch o := obj.(type) {
	case *model.Pool:
		return []any{o.Name, o.Spec.Service, o.Status.Hosts, o.Status.Healthy, o.Spec.MinHosts, o.Spec.MaxHosts, o.Spec.SpareFrom, o.Version}
	case *model.Host:
		return []any{o.Name, o.Spec.Pool, o.Spec.Zone, o.Spec.Rack, o.Status.Phase, o.Status.Health, o.Status.InFlight, o.Status.Epoch, o.Version}
	case *model.Budget:
		return []any{o.Name, o.Spec.Pool, o.Status.Healthy, max(o.Spec.MinHealthy, o.Status.Needed), ratio(o.Status.PlannedStops, o.Spec.MaxPlannedStops), o.Status.Reason, o.Version}
	case *model.Job:
		return []any{o.Name, o.Spec.Pool, o.Spec.Team, o.Spec.Tasks, runningTasks(o), o.Status.Reason, o.Version}
	case *model.Wave:
		return []any{o.Name, o.Status.Phase, ratio(len(o.Status.Done), o.Status.Total), len(o.Status.Stopped), len(o.Status.Waiting), o.Status.Reason, o.Version}
	case *model.Team:
		return []any{o.Name, ratio(o.Status.UsedCores, o.Spec.QuotaCores), ratio(o.Status.UsedMemoryMB, o.Spec.QuotaMemoryMB), ratio(o.Status.UsedAccelerators, o.Spec.QuotaAccelerators), o.Version}
	case *model.Config:
		return []any{o.Name, len(o.Spec.Values), o.Version}
	}
	return nil
}

func ratio(part, whole int) string { return fmt.Sprintf("%d/%d", part, whole) }

func runningTasks(j *model.Job) int {
	n := 0
	for _, task := range j.Status.Tasks {
		if task.State == model.TaskRunning {
			n++
		}
	}
	return n
}

// decodeResource decodes a resource. It returns an error if the kind is unknown.
func decodeResource(kind model.Kind, data []byte) (model.Object, error) {
	obj := model.New(kind)
	if obj == nil {
		return nil, usagef("unknown resource kind %q", kind)
	}
	return obj, decodeResponse(data, obj)
}

// printChangeResult prints the outcome of a change.
func printChangeResult(c *cli.Command, outcome string, changed ChangeResult) error {
	data, err := json.Marshal(changed)
	if err != nil {
		return err
	}
	return printResponse(c, data, func(w io.Writer) error {
		suffix := ""
		if changed.DryRun {
			suffix = ", dry run"
		}
		_, err := fmt.Fprintf(w, "%s/%s %s (version %d%s)\n", changed.Kind, changed.Name, outcome, changed.Version, suffix)
		return err
	})
}
