package sim

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"

	"github.com/valyala/fasthttp"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/concurrency"
	"spoolswitch/internal/ids"
	"spoolswitch/internal/rpc"
)

const (
	underMost  = 8
	callFor    = clock.Second
	pauseFirst = 60 * clock.Millisecond
	pauseMost  = clock.Second
	confFor    = 25 * clock.Second
)

// verdict is how an order ended.
type verdict int

const (
	unclear verdict = iota
	acknowledged
	refused
)

// pursuit is an order from its first call to its end: all its calls are the
// same, so it takes effect once or not at all.
type pursuit struct {
	o       Order
	base    ids.Version
	version ids.Version
	body    []byte
	modify  bool
	begun   clock.Span
	ended   clock.Span
	got     verdict
	status  int
	calls   int
	mark    int
	// who is the identity of the order: those that share it are the same.
	who string
}

func (d *day) first() {
	o := Order{Kind: "replace", Num: 1}
	for {
		if p := d.pursue(o, 0, confFor); p != nil && p.got == acknowledged {
			return
		}
	}
}

func (d *day) body(o Order, base ids.Version) (ids.Version, []byte) {
	v := base + 1 + ids.Version(o.Num%3)
	mark := map[string]any{"name": "mark", "authority": "a.example", "path-prefix": "/mark/", "route-class": "safe", "timeout-ms": 1000 + o.Num, "service": "s"}
	routes := []any{mark}
	doc := map[string]any{"version": v}
	if o.Kind == "modify" {
		doc["upsert"] = map[string]any{"route-table": routes}
	} else {
		for i := range d.p.Routes {
			routes = append(routes, map[string]any{"name": fmt.Sprint("r", i), "authority": "a.example", "path-prefix": fmt.Sprintf("/p%d/", i), "route-class": "safe", "timeout-ms": 3000, "service": "s"})
		}
		doc["route-table"] = routes
		doc["service-table"] = []any{map[string]any{"name": "s", "health-path": "/h", "max-connections": 9, "protocol": "h1"}}
		doc["limits"] = map[string]any{}
		if o.Kind == "invalid" {
			mark["service"] = "none"
		}
	}
	b, _ := json.Marshal(doc)
	return v, b
}

func (d *day) order(o Order) {
	if d.under >= underMost {
		return
	}
	switch o.Kind {
	case "again":
		p := d.runs[o.Num]
		if p == nil || !p.o.configures() || p.o.Kind == "read" || p.ended == 0 || p.got != acknowledged {
			return
		}
		d.send(&pursuit{o: Order{Operator: o.Operator, Kind: "again", Num: p.o.Num}, base: p.base, version: p.version, body: p.body, modify: p.modify, mark: p.mark, who: p.who}, 6*clock.Second)
		return
	case "on", "off":
		d.send(&pursuit{o: o}, ackBound)
		return
	case "read", rolloutOrder, rolloutRead:
		d.send(&pursuit{o: o}, ackBound)
		return
	}
	base := d.known[o.Operator]
	if base == 0 {
		return
	}
	p := d.pursue(o, base, confFor)
	if p.got == refused {
		q := &pursuit{o: Order{Operator: o.Operator, Kind: "read", Num: o.Num}}
		d.send(q, ackBound)
	}
}

func (d *day) pursue(o Order, base ids.Version, limit clock.Span) *pursuit {
	p := &pursuit{o: o, base: base, modify: o.Kind == "modify"}
	p.version, p.body = d.body(o, base)
	p.mark = 1000 + o.Num
	p.who = fmt.Sprint(p.modify, p.base, " ", string(p.body))
	d.runs[o.Num] = p
	d.send(p, limit)
	return p
}

// send pursues an order as an operator does.
func (d *day) send(p *pursuit, limit clock.Span) {
	d.under++
	defer func() { d.under-- }()
	p.begun = d.w.Time()
	d.hist = append(d.hist, p)
	line := d.control()
	pause := pauseFirst
	thirds := 0
	for i := 0; ; i++ {
		m := line[i%len(line)]
		st, b := d.call(m.control(), p)
		p.calls++
		d.res.Calls++
		d.say("call", "operator", p.o.Operator, "order", p.o.Num, "kind", p.o.Kind, "zone", p.o.Zone, "base", p.base, "version", p.version, "slot", m.slot, "status", st)
		switch {
		case st == 200:
			p.ended, p.got, p.status = d.w.Time(), acknowledged, st
			d.done(p, b)
			return
		case st == 400 || st == 409 || st == 412 || st == 413 || st == 422 || st == 404:
			if st == 404 {
				if thirds++; thirds < 3 {
					break
				}
			}
			p.ended, p.got, p.status = d.w.Time(), refused, st
			return
		}
		if d.w.Time()-p.begun > limit {
			p.ended, p.got = d.w.Time(), unclear
			return
		}
		clock.Sleep(pause/2 + clock.Span(concurrency.Int64N(int64(pause))))
		pause = min(pause*3/2, pauseMost)
		if (i+1)%len(line) == 0 {
			line = d.control()
		}
	}
}

// control is the list of those that serve control, as it was a while ago, in
// any order.
func (d *day) control() []*machine {
	var out []*machine
	for _, m := range d.slots {
		if m.lives == 0 && d.w.Time() > seedLag || m.gone && d.w.Time()-m.born > seedLag {
			continue
		}
		out = append(out, m)
	}
	for i := range out {
		j := i + concurrency.IntN(len(out)-i)
		out[i], out[j] = out[j], out[i]
	}
	return out
}

func (d *day) done(p *pursuit, b []byte) {
	d.res.Acked++
	k := &d.known[p.o.Operator]
	switch p.o.Kind {
	case "read":
		r := struct {
			Version ids.Version `json:"version"`
			Routes  []struct {
				Name    string  `json:"name"`
				Timeout float64 `json:"timeout-ms"`
			} `json:"route-table"`
		}{}
		if json.Unmarshal(b, &r) != nil {
			d.broke("linear", "a reading is no document: "+string(b))
		}
		p.version = r.Version
		for _, x := range r.Routes {
			if x.Name == "mark" {
				p.mark = int(x.Timeout)
			}
		}
		*k = max(*k, r.Version)
	case "on", "off":
	case rolloutOrder:
		d.rollouts.ordered(p.o)
	case rolloutRead:
		d.rollouts.read(d, b)
	default:
		*k = max(*k, p.version)
		d.acked = append(d.acked, ack{d.w.Time(), p.version})
		if p.o.Kind == "replace" && p.o.Num == 1 {
			for i := range d.known {
				d.known[i] = max(d.known[i], p.version)
			}
		}
	}
	d.say("acknowledged", "order", p.o.Num, "kind", p.o.Kind, "zone", p.o.Zone, "version", p.version, "mark", p.mark)
}

// call makes one call; status 0 is no clear answer.
func (d *day) call(a ids.Addr, p *pursuit) (int, []byte) {
	till := clock.Now().Add(callFor)
	c, err := rpc.Dial(a, callFor)
	if err != nil {
		return 0, nil
	}
	defer c.Close()
	_ = c.SetDeadline(till.Deadline())
	var q fasthttp.Request
	q.Header.SetMethod("POST")
	q.Header.SetHost(string(a))
	q.SetConnectionClose()
	switch p.o.Kind {
	case "read":
		q.Header.SetMethod("GET")
		q.SetRequestURI("/-/configuration/retrieve")
	case rolloutRead:
		q.Header.SetMethod("GET")
		q.SetRequestURI("/-/rollouts/" + rolledService + "/retrieve")
	case rolloutOrder:
		q.SetRequestURI("/-/rollouts/initiate")
		q.Header.SetContentType("application/json")
		q.SetBody(fmt.Appendf(nil, `{"service":%q,"target-version":%q,"within-s":%d}`, rolledService, targetOf(p.o), rolloutWithinS))
	case "on":
		q.SetRequestURI("/-/evacuation/" + p.o.Zone + "/initiate")
	case "off":
		q.SetRequestURI("/-/evacuation/" + p.o.Zone + "/terminate")
	default:
		what := "replace"
		if p.modify {
			what = "modify"
		}
		q.SetRequestURI("/-/configuration/" + what)
		q.Header.Set("Base-Version", strconv.FormatInt(int64(p.base), 10))
		q.Header.SetContentType("application/json")
		q.SetBody(p.body)
	}
	w := bufio.NewWriter(c)
	if q.Write(w) != nil || w.Flush() != nil {
		return 0, nil
	}
	var r fasthttp.Response
	if r.ReadLimitBody(bufio.NewReader(c), 16<<20) != nil {
		return 0, nil
	}
	return r.StatusCode(), bytes.Clone(r.Body())
}
