package configuration

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"maps"
	"reflect"
	"sort"
	"strings"

	"github.com/go-playground/validator/v10"

	"spoolswitch/internal/codes"
	"spoolswitch/internal/ids"
)

const (
	routesField   = "route-table"
	servicesField = "service-table"
	versionField  = "version"
)

// Doc is a configuration, both as it was sent and as it was read.
type Doc struct {
	Version  ids.Version
	Routes   []*Route
	Services []*Service
	Limits   Limits
	// Tenants are the subscribers, nil if the configuration has none.
	Tenants []*Tenant
	raw     fields
	// digested says that digests stand in the place of the tenants' keys.
	digested bool
}

// fields are the fields of a document, not yet read.
type fields map[string]json.RawMessage

var check = func() *validator.Validate {
	v := validator.New()
	v.RegisterTagNameFunc(func(f reflect.StructField) string {
		n, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		return n
	})
	return v
}()

// Read reads and checks a whole configuration; every fault is returned.
func Read(b []byte) (*Doc, []error) {
	if err := Whole(b); err != nil {
		return nil, []error{codes.New(codes.Unreadable, "%v", err)}
	}
	raw := fields{}
	if err := json.Unmarshal(b, &raw); err != nil {
		return nil, []error{codes.New(codes.Unreadable, "%v", err)}
	}
	return build(raw, false)
}

// ReadBrief reads what Brief made of a configuration.
func ReadBrief(b []byte) (*Doc, []error) {
	d, errs := Read(b)
	if d != nil {
		d.digested = true
	}
	return d, errs
}

// Legible tells the faults of a configuration or a change of one that hang on
// nothing but its text: it cannot be read whole, or has no version.
func Legible(b []byte) error {
	if err := Whole(b); err != nil {
		return codes.New(codes.Unreadable, "%v", err)
	}
	var v struct {
		Version *ids.Version `json:"version"`
	}
	if err := json.Unmarshal(b, &v); err != nil {
		return codes.New(codes.Unreadable, "%v", err)
	}
	if v.Version == nil {
		return codes.New(codes.Unreadable, "no version")
	}
	return nil
}

// JSON is the document whole, as relays and operators get it.
func (d *Doc) JSON() []byte {
	b, err := json.Marshal(d.raw)
	if err != nil {
		return nil
	}
	return b
}

func build(raw fields, digested bool) (*Doc, []error) {
	d := &Doc{raw: raw, digested: digested}
	for k, v := range map[string]any{versionField: &d.Version, routesField: &d.Routes, servicesField: &d.Services, "limits": &d.Limits, tenantsField: &d.Tenants} {
		b, ok := raw[k]
		if !ok {
			continue
		}
		if err := json.Unmarshal(b, v); err != nil {
			return nil, []error{codes.New(codes.Unreadable, "%s: %v", k, err)}
		}
	}
	return d, d.faults()
}

func (d *Doc) faults() []error {
	var out []error
	add := func(c codes.Code, f string, a ...any) { out = append(out, codes.New(c, f, a...)) }
	if d.Version <= 0 {
		add(codes.OldVersion, "version %d", d.Version)
	}
	tags := func(what string, v any) {
		err := check.Struct(v)
		var ve validator.ValidationErrors
		if errors.As(err, &ve) {
			for _, f := range ve {
				add(codes.BadItem, "%s: %s does not hold %s", what, f.Field(), f.ActualTag())
			}
		}
	}
	tags("limits", d.Limits)
	names := map[ids.Service]bool{}
	for _, s := range d.Services {
		if s == nil {
			add(codes.BadItem, "a service is null")
			continue
		}
		tags("service "+string(s.Name), s)
		if names[s.Name] {
			add(codes.SamePlace, "two services are named %s", s.Name)
		}
		names[s.Name] = true
	}
	d.tenantFaults(tags, add)
	routes, places := map[string]bool{}, map[string]string{}
	for _, r := range d.Routes {
		if r == nil {
			add(codes.BadItem, "a route is null")
			continue
		}
		tags("route "+r.Name, r)
		if routes[r.Name] {
			add(codes.SamePlace, "two routes are named %s", r.Name)
		}
		routes[r.Name] = true
		p := strings.ToLower(r.Authority) + r.Prefix
		if o, ok := places[p]; ok {
			add(codes.SamePlace, "%s and %s share %s", o, r.Name, p)
		}
		places[p] = r.Name
		if r.TimeoutMs == 0 {
			add(codes.NoTimeout, "route %s", r.Name)
		}
		if r.Service == "" && len(r.Shares) == 0 {
			add(codes.NoService, "route %s names none", r.Name)
		}
		if r.Service != "" && !names[r.Service] {
			add(codes.NoService, "route %s: %s", r.Name, r.Service)
		}
		var sum float64
		for _, s := range r.Shares {
			sum += s.Weight
			if !names[s.Service] {
				add(codes.NoService, "route %s: %s", r.Name, s.Service)
			}
		}
		if r.Shares != nil && sum <= 0 {
			add(codes.NoWeight, "route %s", r.Name)
		}
	}
	return out
}

// Whole tells the fault of a text that is to be one JSON value, without a field twice.
func Whole(b []byte) error {
	d := json.NewDecoder(bytes.NewReader(b))
	if err := value(d, 0); err != nil {
		return err
	}
	if _, err := d.Token(); err != io.EOF {
		return errors.New("more follows the value")
	}
	return nil
}

func value(d *json.Decoder, depth int) error {
	t, err := d.Token()
	if err != nil {
		if err == io.EOF {
			return io.ErrUnexpectedEOF
		}
		return err
	}
	o, ok := t.(json.Delim)
	if !ok {
		return nil
	}
	if depth > 64 {
		return errors.New("too deep")
	}
	seen := map[string]bool{}
	for d.More() {
		if o == '{' {
			k, err := d.Token()
			if err != nil {
				return err
			}
			s, _ := k.(string)
			if seen[s] {
				return errors.New("field " + s + " stands twice")
			}
			seen[s] = true
		}
		if err := value(d, depth+1); err != nil {
			return err
		}
	}
	_, err = d.Token()
	return err
}

type change struct {
	Version *ids.Version        `json:"version"`
	Upsert  fields              `json:"upsert"`
	Remove  map[string][]string `json:"remove"`
}

// Modify makes the document that the change b turns d into.
func (d *Doc) Modify(b []byte) (*Doc, []error) {
	if err := Whole(b); err != nil {
		return nil, []error{codes.New(codes.Unreadable, "%v", err)}
	}
	var c change
	if err := json.Unmarshal(b, &c); err != nil {
		return nil, []error{codes.New(codes.Unreadable, "%v", err)}
	}
	if c.Version == nil {
		return nil, []error{codes.New(codes.Unreadable, "no version")}
	}
	raw, err := c.apply(d.raw)
	if err != nil {
		return nil, []error{err}
	}
	return build(raw, d.digested)
}

// apply makes the fields that the change turns others into. It does not check
// what they say.
func (c *change) apply(to fields) (fields, error) {
	raw := maps.Clone(to)
	version, err := json.Marshal(*c.Version)
	if err != nil {
		return nil, codes.New(codes.Unreadable, "%v", err)
	}
	raw[versionField] = version
	for k, v := range c.Upsert {
		if n := bytes.TrimSpace(v); len(n) == 0 || n[0] != '[' {
			raw[k] = v
			continue
		}
		if raw[k], err = merge(raw[k], v, nil); err != nil {
			return nil, codes.New(codes.Unreadable, "%s: %v", k, err)
		}
	}
	for k, names := range c.Remove {
		if raw[k], err = merge(raw[k], nil, names); err != nil {
			return nil, codes.New(codes.Unreadable, "%s: %v", k, err)
		}
	}
	return raw, nil
}

type named struct {
	Name string `json:"name"`
}

func merge(old, up json.RawMessage, drop []string) (json.RawMessage, error) {
	var have, put []json.RawMessage
	if len(old) > 0 {
		if err := json.Unmarshal(old, &have); err != nil {
			return nil, err
		}
	}
	if len(up) > 0 {
		if err := json.Unmarshal(up, &put); err != nil {
			return nil, err
		}
	}
	at, gone := map[string]int{}, map[string]bool{}
	for _, n := range drop {
		gone[n] = true
	}
	kept := []json.RawMessage{}
	for _, it := range have {
		var n named
		if err := json.Unmarshal(it, &n); err != nil {
			return nil, err
		}
		if gone[n.Name] {
			continue
		}
		at[n.Name] = len(kept)
		kept = append(kept, it)
	}
	fresh := map[string]bool{}
	for _, it := range put {
		var n named
		if err := json.Unmarshal(it, &n); err != nil {
			return nil, err
		}
		if fresh[n.Name] {
			return nil, errors.New("two items are named " + n.Name)
		}
		fresh[n.Name] = true
		if i, ok := at[n.Name]; ok {
			kept[i] = it
			continue
		}
		at[n.Name] = len(kept)
		kept = append(kept, it)
	}
	return json.Marshal(kept)
}

// Diff lists what stands in d and e differently, by field and name; digests stand in the place of keys.
func (d *Doc) Diff(e *Doc) []string {
	var out []string
	old, _ := d.raw.withoutKeys()
	fresh, _ := e.raw.withoutKeys()
	for _, f := range []string{routesField, servicesField, tenantsField} {
		a, b := byName(old[f]), byName(fresh[f])
		for n, v := range a {
			if w, ok := b[n]; !ok {
				out = append(out, "- "+f+" "+n)
			} else if v != w {
				out = append(out, "~ "+f+" "+n+" "+w)
			}
		}
		for n, w := range b {
			if _, ok := a[n]; !ok {
				out = append(out, "+ "+f+" "+n+" "+w)
			}
		}
	}
	if flat(d.raw["limits"]) != flat(e.raw["limits"]) {
		out = append(out, "~ limits "+flat(e.raw["limits"]))
	}
	sort.Strings(out)
	return out
}

func byName(b json.RawMessage) map[string]string {
	var items []json.RawMessage
	out := map[string]string{}
	if json.Unmarshal(b, &items) != nil {
		return out
	}
	for _, it := range items {
		var n named
		if json.Unmarshal(it, &n) == nil {
			out[n.Name] = flat(it)
		}
	}
	return out
}

func flat(b json.RawMessage) string {
	var v any
	if json.Unmarshal(b, &v) != nil {
		return string(b)
	}
	o, err := json.Marshal(v)
	if err != nil {
		return string(b)
	}
	return string(o)
}
