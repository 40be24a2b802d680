//go:build !race

package relay

const mostFaults = 3
