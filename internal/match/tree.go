// Package match holds the tree of matchers that calls go through.
package match

import (
	"strings"

	"spoolswitch/internal/codes"
)

// Any matches any one part of a path and hands it on.
const Any = "*"

// Tree is a node of the tree; T is what a call ends at.
type Tree[T any] struct {
	kids map[string]*Tree[T]
	ends map[string]T
}

// Add adds the end of a method and path; parts that are Any match anything.
func (t *Tree[T]) Add(method, path string, end T) *Tree[T] {
	n := t
	for _, p := range parts(path) {
		if n.kids == nil {
			n.kids = map[string]*Tree[T]{}
		}
		k := n.kids[p]
		if k == nil {
			k = &Tree[T]{}
			n.kids[p] = k
		}
		n = k
	}
	if n.ends == nil {
		n.ends = map[string]T{}
	}
	n.ends[method] = end
	return t
}

// Find finds the end of a method and path and the parts that Any stood for.
func (t *Tree[T]) Find(method, path string) (T, []string, error) {
	var none T
	n := t
	var got []string
	for _, p := range parts(path) {
		if k := n.kids[p]; k != nil && p != Any {
			n = k
			continue
		}
		k := n.kids[Any]
		if k == nil || p == "" {
			return none, nil, codes.New(codes.NoCall, "%s", path)
		}
		got = append(got, p)
		n = k
	}
	if n.ends == nil {
		return none, nil, codes.New(codes.NoCall, "%s", path)
	}
	e, ok := n.ends[method]
	if !ok {
		return none, nil, codes.New(codes.BadMethod, "%s %s", method, path)
	}
	return e, got, nil
}

func parts(path string) []string { return strings.Split(strings.Trim(path, "/"), "/") }
