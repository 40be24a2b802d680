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
	return t
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
