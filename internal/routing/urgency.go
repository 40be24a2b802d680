package routing

import (
	"sync"

	"spoolswitch/internal/ids"
)

// Sizes follows how large the requests for each service are, so that urgency
// can go by size: the short before the long, which hold up all that runs
// beside them.
type Sizes struct {
	mu   sync.Mutex
	mean map[ids.Service]float64
}

const (
	sizeWeight = 0.02
	urgencyMid = 5
)

// Urgency takes a size in and names the class of urgency for it.
func (s *Sizes) Urgency(svc ids.Service, tokens int64) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mean == nil {
		s.mean = map[ids.Service]float64{}
	}
	m, x := s.mean[svc], float64(tokens)
	if m == 0 {
		m = x
	}
	s.mean[svc] = m + (x-m)*sizeWeight
	switch {
	case x < m:
		return urgencyMid - 1
	case x < 2*m:
		return urgencyMid
	case x < 4*m:
		return urgencyMid + 1
	}
	return urgencyMid + 2
}
