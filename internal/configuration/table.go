package configuration

import (
	"strings"

	"spoolswitch/internal/ids"
)

// Table is a configuration as relays use it.
type Table struct {
	Version  ids.Version
	Limits   Limits
	Routes   []*Route
	Services map[ids.Service]*Service
	places   map[string]*Route
	hosts    map[string]bool
	// Keyed says that requests need the key of a tenant, but on keyless routes.
	Keyed bool
	// Limited says that some tenant has a limit.
	Limited bool
	holders map[KeyDigest]*Tenant
}

// NewTable makes the table of a document that has been checked.
func NewTable(d *Doc) *Table {
	t := &Table{Version: d.Version, Limits: d.Limits.Whole(), Routes: d.Routes,
		Services: map[ids.Service]*Service{}, places: map[string]*Route{}, hosts: map[string]bool{}}
	for _, s := range d.Services {
		t.Services[s.Name] = s
	}
	for _, r := range d.Routes {
		h := strings.ToLower(r.Authority)
		t.places[h+r.Prefix] = r
		t.hosts[h] = true
	}
	t.addTenants(d)
	return t
}

// addTenants enters who holds which key.
func (t *Table) addTenants(d *Doc) {
	t.Keyed = d.Tenants != nil
	t.holders = map[KeyDigest]*Tenant{}
	for _, tenant := range d.Tenants {
		t.Limited = t.Limited || tenant.Limited()
		for _, key := range tenant.Credentials {
			if !d.digested {
				t.holders[DigestOf([]byte(key))] = tenant
			} else if digest, err := readDigest(key); err == nil {
				t.holders[digest] = tenant
			}
		}
	}
}

// Holder is the tenant that holds a key, nil if nobody does. Keys are looked up by their digests, so that
// the time that takes tells nothing of a key.
func (t *Table) Holder(key []byte) *Tenant {
	if len(key) == 0 {
		return nil
	}
	return t.holders[DigestOf(key)]
}

// Match finds the route of a host and a path: the longest prefix wins.
func (t *Table) Match(host, path string) *Route {
	host = strings.ToLower(host)
	if !t.hosts[host] {
		i := strings.LastIndexByte(host, ':')
		if i < 0 || !t.hosts[host[:i]] {
			return nil
		}
		host = host[:i]
	}
	if i := strings.IndexAny(path, "?#"); i >= 0 {
		path = path[:i]
	}
	for i := len(path); i > 0; {
		i = strings.LastIndexByte(path[:i], '/')
		if i < 0 {
			return nil
		}
		if r := t.places[host+path[:i+1]]; r != nil {
			return r
		}
	}
	return nil
}
