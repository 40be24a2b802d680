//go:build race

package relay

// The detector makes each order some eight times as dear.
const mostFaults = 2
