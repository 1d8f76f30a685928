package measure

import (
	"encoding/json"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"time"
)

// Run takes all figures.
func Run(quick bool) (*Report, error) {
	began := time.Now()
	r := &Report{Date: began.UTC(), Quick: quick, Cores: runtime.NumCPU(), LoadAverage: loadAverage()}
	steps := []func(*Report) error{stateSlopes, messageSlopes, replicaSlopes, watchSlopes, announcementSlopes, projectTwoYears, measureRollouts, measurePlanning, measureControl, measureEntry}
	baseMemory(r)
	for _, step := range steps {
		if err := step(r); err != nil {
			return nil, err
		}
	}
	measureTraffic(r)
	r.Seconds = time.Since(began).Seconds()
	return r, nil
}

// loadAverage tells how busy the machine was when the run began.
func loadAverage() string {
	data, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "unknown"
	}
	return strings.TrimSpace(string(data))
}

// Write stores the report as JSON.
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
