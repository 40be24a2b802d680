// Package configuration reads, checks and changes the operators' configuration.
package configuration

import "spoolswitch/internal/ids"

// Class states what of a route may be repeated.
type Class string

// The classes of routes.
const (
	Safe      Class = "safe"
	Unsafe    Class = "unsafe"
	Streaming Class = "streaming"
)

// Share is one service's part of a route.
type Share struct {
	Service ids.Service `json:"service" validate:"required"`
	Weight  float64     `json:"weight" validate:"gte=0"`
}

// Route is one route of a configuration.
type Route struct {
	Name        string      `json:"name" validate:"required"`
	Authority   string      `json:"authority" validate:"required"`
	Prefix      string      `json:"path-prefix" validate:"required,startswith=/,endswith=/"`
	Class       Class       `json:"route-class" validate:"oneof=safe unsafe streaming"`
	TimeoutMs   float64     `json:"timeout-ms" validate:"gte=0"`
	TargetMs    float64     `json:"target-ms" validate:"gte=0"`
	Priority    int         `json:"priority"`
	Service     ids.Service `json:"service"`
	Shares      []Share     `json:"distribution" validate:"dive"`
	MaxAttempts int         `json:"max-attempts" validate:"gte=0"`
	Affinity    bool        `json:"session-affinity"`
	Resumption  bool        `json:"stream-resumption"`
	GapTargetMs float64     `json:"gap-target-ms" validate:"gte=0"`
	// Keyless says that requests need no key of a tenant.
	Keyless bool `json:"keyless"`
}

// Repeatable tells whether a request on r may run more than once.
func (r *Route) Repeatable() bool {
	return r.Class == Safe || (r.Class == Streaming && r.Resumption)
}

// Attempts is the largest number of replicas for one try.
func (r *Route) Attempts() int { return max(1, r.MaxAttempts) }

// Choose names the service for a draw in [0, 1).
func (r *Route) Choose(draw float64) ids.Service {
	var sum float64
	for _, s := range r.Shares {
		sum += s.Weight
	}
	if sum <= 0 {
		return r.Service
	}
	at := draw * sum
	for _, s := range r.Shares {
		if s.Weight <= 0 {
			continue
		}
		if at < s.Weight {
			return s.Service
		}
		at -= s.Weight
	}
	for i := len(r.Shares) - 1; i >= 0; i-- {
		if r.Shares[i].Weight > 0 {
			return r.Shares[i].Service
		}
	}
	return r.Service
}
