package pool

import (
	"bytes"
	"encoding/gob"
	"slices"

	"spoolswitch/internal/codes"
	"spoolswitch/internal/ids"
)

// Split is how the replicas of one service are divided.
type Split struct {
	// Heavy is the weight from which a request belongs to the prefill pool.
	Heavy int64
	// Prefill names the replicas of that pool; all others are the decode pool.
	Prefill []ids.Replica
	// Share is the part of the work that heavy requests were when this was planned.
	Share float64
	// Why tells what the last move was made for.
	Why string
}

// Has tells whether a replica is in the prefill pool.
func (s *Split) Has(r ids.Replica) bool { return slices.Contains(s.Prefill, r) }

// Plan divides the replicas of services. Num rises with each plan of a duty.
type Plan struct {
	Num    uint64
	Splits map[ids.Service]Split
}

// Encode is the plan as bytes.
func (p *Plan) Encode() []byte {
	var b bytes.Buffer
	if gob.NewEncoder(&b).Encode(p) != nil {
		return nil
	}
	return b.Bytes()
}

const planMost = 1 << 20

// DecodePlan reads and checks a plan.
func DecodePlan(b []byte) (*Plan, error) {
	p := &Plan{}
	if len(b) > planMost {
		return nil, codes.New(codes.BadPlan, "%d bytes", len(b))
	}
	if err := gob.NewDecoder(bytes.NewReader(b)).Decode(p); err != nil {
		return nil, codes.New(codes.BadPlan, "%v", err)
	}
	if p.Num == 0 {
		return nil, codes.New(codes.BadPlan, "without a number")
	}
	for s, x := range p.Splits {
		if s == "" || x.Heavy <= 0 || !(x.Share >= 0 && x.Share <= 1) || slices.Contains(x.Prefill, "") {
			return nil, codes.New(codes.BadPlan, "service %q", s)
		}
	}
	return p, nil
}
