package control

import (
	"sort"
	"sync"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/configuration"
	"spoolswitch/internal/consensus"
	"spoolswitch/internal/discovery"
	"spoolswitch/internal/feed"
	"spoolswitch/internal/ids"
	"spoolswitch/internal/pool"
	"spoolswitch/internal/settings"
)

// pools joins the balancer's duty to what the feed has.
type pools struct {
	duty *pool.Duty
	hub  *feed.Hub

	mu       sync.Mutex
	conf     ids.Place
	list     ids.Place
	table    *configuration.Table
	replicas []discovery.Replica
}

func newPools(s *settings.Settings, k *consensus.Keeper, hub *feed.Hub) *pools {
	p := &pools{hub: hub}
	p.duty = &pool.Duty{Duty: consensus.Duty{Keeper: k, Key: ids.PoolDuty, Value: hub.Value},
		Rules:  pool.Rules{Hysteresis: s.Pool.Hysteresis, Floor: s.Pool.Floor, Moves: s.Pool.Moves, Least: s.Pool.Least},
		Window: clock.Ms(s.Pool.WindowS * 1000), Services: p.services,
		Plan: func() ([]byte, ids.Place) { return hub.Value(ids.Plan) }}
	return p
}

func (p *pools) services() map[ids.Service]pool.Service {
	p.mu.Lock()
	defer p.mu.Unlock()
	if b, at := p.hub.Value(ids.Configuration); at != p.conf {
		if st, err := configuration.Decode(b); err == nil && st.Version > 0 {
			if d, errs := configuration.Read(st.JSON); len(errs) == 0 {
				p.conf, p.table = at, configuration.NewTable(d)
			}
		}
	}
	if b, at := p.hub.Value(ids.List); at != p.list {
		if rs, ok := discovery.Decode(b); ok {
			p.list, p.replicas = at, rs
		}
	}
	out := map[ids.Service]pool.Service{}
	if p.table == nil {
		return out
	}
	for _, r := range p.replicas {
		c := p.table.Services[r.Service]
		if c == nil || c.Engine == nil || !r.InService() {
			continue
		}
		v := out[r.Service]
		v.Slots = c.Engine.Slots
		v.Members = append(v.Members, pool.Member{ID: r.ID, Stage: r.Stage})
		out[r.Service] = v
	}
	return out
}

func (p *pools) report(r *consensus.Report) {
	plan, counts, moves := p.duty.Report()
	r.Moves, r.Holder = moves, p.duty.Holder()
	if plan == nil {
		return
	}
	for s, x := range plan.Splits {
		o := consensus.Pool{Service: s, Plan: plan.Num, Heavy: x.Heavy, Prefill: x.Prefill, Share: x.Share, Why: x.Why}
		if w := counts.Services[s]; w != nil {
			for _, b := range w.Buckets {
				o.Requests += b.N
				o.PromptTokens += b.Prompt
				o.OutTokens += b.Out
			}
		}
		r.Pools = append(r.Pools, o)
	}
	sort.Slice(r.Pools, func(i, j int) bool { return r.Pools[i].Service < r.Pools[j].Service })
}
