//go:build race

package scenario

// raceEnabled tells whether the processes are built with the race detector.
const raceEnabled = true
