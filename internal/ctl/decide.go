// Package ctl is the face that control shows to operators.
package ctl

import (
	"spoolswitch/internal/code"
	"spoolswitch/internal/conf"
	"spoolswitch/internal/keep"
	"spoolswitch/internal/word"
)

// Decide makes the decision that an order asks for on a key.
func Decide(key word.Key, o *keep.Order) keep.Decide {
	return func(cur []byte) ([]byte, keep.Msg) {
		switch {
		case o == nil:
			return nil, keep.Msg{Code: code.NoCall}
		case o.Query:
			return nil, keep.Msg{OK: true, Val: cur}
		case key == word.Configuration:
			return decideConf(cur, o)
		case key == word.Roster:
			return keep.DecideRoster(cur, o)
		}
		if _, ok := key.Evacuated(); ok {
			if o.On {
				return []byte("on"), keep.Msg{OK: true}
			}
			return []byte("off"), keep.Msg{OK: true}
		}
		return nil, keep.Msg{Code: code.NoCall}
	}
}

func decideConf(cur []byte, o *keep.Order) ([]byte, keep.Msg) {
	s, err := conf.Decode(cur)
	if err != nil {
		return nil, keep.Msg{Code: code.Of(err), Text: err.Error()}
	}
	n, err := s.Apply(&conf.Order{Modify: o.Modify, Base: o.Base, Body: o.Body})
	if err != nil {
		return nil, keep.Msg{Code: code.Of(err), Text: err.Error()}
	}
	if n == nil {
		return nil, keep.Msg{OK: true}
	}
	return n.Encode(), keep.Msg{OK: true}
}
