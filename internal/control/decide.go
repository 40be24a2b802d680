// Package control is the face that control shows to operators.
package control

import (
	"spoolswitch/internal/clock"
	"spoolswitch/internal/codes"
	"spoolswitch/internal/configuration"
	"spoolswitch/internal/consensus"
	"spoolswitch/internal/feed"
	"spoolswitch/internal/ids"
	"spoolswitch/internal/rollout"
)

// deciderWith makes the decisions of a keeper. An order for a rollout may be sent again within repeats.
func deciderWith(k *consensus.Keeper, hub *feed.Hub, repeats clock.Span) func(ids.Key, *consensus.Order) consensus.Decide {
	return func(key ids.Key, o *consensus.Order) consensus.Decide {
		if _, ok := key.RolledOut(); !ok || o == nil || o.Query {
			return Decide(key, o)
		}
		return func(cur []byte) ([]byte, consensus.Msg) { return decideRollout(cur, o, ageOf(k, hub, key, repeats)) }
	}
}

// ageOf is what a keeper knows of the age of a rollout's state.
func ageOf(k *consensus.Keeper, hub *feed.Hub, key ids.Key, repeats clock.Span) rollout.Age {
	standing := hub.Age(key)
	return rollout.Age{Standing: standing, Exact: k.Witnessed(clock.Now().Add(-standing)), Repeats: repeats}
}

// decideRollout makes the decision on a command for a service's rollout.
func decideRollout(cur []byte, o *consensus.Order, age rollout.Age) ([]byte, consensus.Msg) {
	state, err := rollout.Decode(cur)
	if err != nil {
		return nil, consensus.Fail(err)
	}
	command, err := rollout.DecodeCommand(o.Body)
	if err != nil {
		return nil, consensus.Fail(err)
	}
	next, err := state.Apply(command, age)
	if err != nil {
		return nil, consensus.Fail(err)
	}
	if next == nil {
		return nil, consensus.Msg{OK: true}
	}
	return next.Encode(), consensus.Msg{OK: true}
}

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
