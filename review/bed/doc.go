//go:build review

// Package bed starts the programs of the deploy file on loopback addresses and
// provides the stand-ins that the cases under review/ need: executors, the platform's
// interface for machines, clients and an operator. They follow the pages of the
// users' platform. Everything that crosses a socket of a stand-in is written to a
// record.
package bed
