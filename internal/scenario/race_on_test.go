//go:build race

package scenario

// raceEnabled reports whether the processes are built with the race detector.
const raceEnabled = true
