// Package control is the face that control shows to operators.
package control

import (
	"spoolswitch/internal/codes"
	"spoolswitch/internal/configuration"
	"spoolswitch/internal/consensus"
	"spoolswitch/internal/ids"
)

// Decide makes the decision that an order asks for on a key.
func Decide(key ids.Key, o *consensus.Order) consensus.Decide {
	return func(cur []byte) ([]byte, consensus.Msg) {
		switch {
		case o == nil:
			return nil, consensus.Msg{Code: codes.NoCall}
		case o.Query:
			return nil, consensus.Msg{OK: true, Val: cur}
		case key == ids.Configuration:
			return decideConf(cur, o)
		case key == ids.Roster:
			return consensus.DecideRoster(cur, o)
		}
		if _, ok := key.Evacuated(); ok {
			if o.On {
				return []byte("on"), consensus.Msg{OK: true}
			}
			return []byte("off"), consensus.Msg{OK: true}
		}
		return nil, consensus.Msg{Code: codes.NoCall}
	}
}

func decideConf(cur []byte, o *consensus.Order) ([]byte, consensus.Msg) {
	s, err := configuration.Decode(cur)
	if err != nil {
		return nil, consensus.Msg{Code: codes.Of(err), Text: err.Error()}
	}
	n, err := s.Apply(&configuration.Order{Modify: o.Modify, Base: o.Base, Body: o.Body})
	if err != nil {
		return nil, consensus.Msg{Code: codes.Of(err), Text: err.Error()}
	}
	if n == nil {
		return nil, consensus.Msg{OK: true}
	}
	return n.Encode(), consensus.Msg{OK: true}
}
