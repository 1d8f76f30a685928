package measure

import (
	"encoding/json"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"time"
)

// Run takes all measurements. A quick run uses fewer sizes, seeds and rounds.
func Run(quick bool) (*Report, error) {
	start := time.Now()
	r := &Report{Date: start.UTC(), Quick: quick, Cores: runtime.NumCPU(), LoadAverage: loadAverage()}
	steps := []func(*Report) error{measureStateMemory, measureMessages, measureReplicas, measureWatchers, measureAnnouncements, projectTwoYears, measureRollouts, measurePlanning, measureControl, measureEntry}
	recordProcessMemory(r)
	for _, step := range steps {
		if err := step(r); err != nil {
			return nil, err
		}
	}
	measureTraffic(r)
	r.Seconds = time.Since(start).Seconds()
	return r, nil
}

// loadAverage returns the load averages of the machine as the kernel reports
// them, or "unknown".
func loadAverage() string {
	data, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "unknown"
	}
	return strings.TrimSpace(string(data))
}

// Write writes the report to a file as JSON.
func (r *Report) Write(path string) error {
	data, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return err
	}
	if err := os.MkdirAll(filepath.Dir(path), 0o750); err != nil {
		return err
	}
	return os.WriteFile(path, append(data, '\n'), 0o600)
}
