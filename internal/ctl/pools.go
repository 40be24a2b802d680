package ctl

import (
	"sort"
	"sync"

	"spoolswitch/internal/boot"
	"spoolswitch/internal/clk"
	"spoolswitch/internal/conf"
	"spoolswitch/internal/feed"
	"spoolswitch/internal/keep"
	"spoolswitch/internal/list"
	"spoolswitch/internal/pool"
	"spoolswitch/internal/word"
)

// pools joins the balancer's duty to what the feed has.
type pools struct {
	duty *pool.Duty
	hub  *feed.Hub

	mu       sync.Mutex
	conf     word.Place
	list     word.Place
	table    *conf.Table
	replicas []list.Replica
}

func newPools(s *boot.Settings, k *keep.Keeper, hub *feed.Hub) *pools {
	p := &pools{hub: hub}
	p.duty = &pool.Duty{Duty: keep.Duty{Keeper: k, Key: word.PoolDuty, Value: hub.Value},
		Rules:  pool.Rules{Hysteresis: s.Pool.Hysteresis, Floor: s.Pool.Floor, Moves: s.Pool.Moves, Least: s.Pool.Least},
		Window: clk.Ms(s.Pool.WindowS * 1000), Services: p.services,
		Plan: func() ([]byte, word.Place) { return hub.Value(word.Plan) }}
	return p
}

func (p *pools) services() map[word.Service]pool.Service {
	p.mu.Lock()
	defer p.mu.Unlock()
	if b, at := p.hub.Value(word.Configuration); at != p.conf {
		if st, err := conf.Decode(b); err == nil && st.Version > 0 {
			if d, errs := conf.Read(st.JSON); len(errs) == 0 {
				p.conf, p.table = at, conf.NewTable(d)
			}
		}
	}
	if b, at := p.hub.Value(word.List); at != p.list {
		if rs, ok := list.Decode(b); ok {
			p.list, p.replicas = at, rs
		}
	}
	out := map[word.Service]pool.Service{}
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

func (p *pools) report(r *keep.Report) {
	plan, counts, moves := p.duty.Report()
	r.Moves, r.Holder = moves, p.duty.Holder()
	if plan == nil {
		return
	}
	for s, x := range plan.Splits {
		o := keep.Pool{Service: s, Plan: plan.Num, Heavy: x.Heavy, Prefill: x.Prefill, Share: x.Share, Why: x.Why}
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
