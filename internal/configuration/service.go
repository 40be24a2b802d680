package configuration

import "spoolswitch/internal/ids"

// Engine tells what the replicas of a service are made of, if they are engines.
type Engine struct {
	Slots    int   `json:"capacity-slots" validate:"gte=0"`
	KVTokens int64 `json:"kv-capacity-tokens" validate:"gte=0"`
	StepSize int   `json:"step-size" validate:"gte=0"`
}

// Service is one service of a configuration.
type Service struct {
	Name     ids.Service `json:"name" validate:"required"`
	Health   string      `json:"health-path"`
	MaxConns int         `json:"max-connections" validate:"gte=0"`
	Protocol string      `json:"protocol"`
	TLS      bool        `json:"tls"`
	ColdS    float64     `json:"cold-start-s" validate:"gte=0"`
	ColdPerS float64     `json:"cold-per-s" validate:"gte=0"`
	Engine   *Engine     `json:"inference-engine"`
}

// Limits bound what a client may send and how long it may take.
type Limits struct {
	HeadBytes int     `json:"max-header-bytes" validate:"gte=0"`
	BodyBytes int     `json:"max-body-bytes" validate:"gte=0"`
	HeadMs    float64 `json:"header-timeout-ms" validate:"gte=0"`
	IdleMs    float64 `json:"idle-timeout-ms" validate:"gte=0"`
}

// Whole fills what l leaves open with defaults.
func (l Limits) Whole() Limits {
	if l.HeadBytes == 0 {
		l.HeadBytes = 32 << 10
	}
	if l.BodyBytes == 0 {
		l.BodyBytes = 4 << 20
	}
	if l.HeadMs == 0 {
		l.HeadMs = 5000
	}
	if l.IdleMs == 0 {
		l.IdleMs = 30000
	}
	return l
}
