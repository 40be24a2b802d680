package rpc

import (
	"fmt"
	"hash/fnv"
	"io"
	"reflect"
	"sync"
)

// protocol counts the changes of what messages mean that their form does not show.
const protocol = 1

var forms sync.Map

// Form tells messages of releases apart: a sum over the names and types of all
// fields of M, and over the protocol's number.
func Form[M any]() uint64 {
	t := reflect.TypeFor[M]()
	if f, ok := forms.Load(t); ok {
		return f.(uint64)
	}
	h := fnv.New64a()
	fmt.Fprint(h, protocol)
	describe(h, t, map[reflect.Type]bool{})
	f := h.Sum64() | 1
	forms.Store(t, f)
	return f
}

func describe(w io.Writer, t reflect.Type, seen map[reflect.Type]bool) {
	fmt.Fprint(w, "(", t.Kind())
	defer fmt.Fprint(w, ")")
	switch t.Kind() {
	case reflect.Pointer, reflect.Slice:
		describe(w, t.Elem(), seen)
	case reflect.Array:
		fmt.Fprint(w, t.Len())
		describe(w, t.Elem(), seen)
	case reflect.Map:
		describe(w, t.Key(), seen)
		describe(w, t.Elem(), seen)
	case reflect.Struct:
		if seen[t] {
			fmt.Fprint(w, t.Name())
			return
		}
		seen[t] = true
		for i := range t.NumField() {
			if f := t.Field(i); f.IsExported() {
				fmt.Fprint(w, f.Name, " ")
				describe(w, f.Type, seen)
			}
		}
	}
}
