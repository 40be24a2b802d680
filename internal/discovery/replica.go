// Package discovery reads the platform's list of replicas.
package discovery

import (
	"bytes"
	"encoding/gob"

	"spoolswitch/internal/ids"
)

// Model is a model that a replica holds.
type Model struct {
	Name    string `json:"name"`
	Version int64  `json:"version"`
}

// Replica is one entry of the list.
type Replica struct {
	ID      ids.Replica `json:"replica-id"`
	Service ids.Service `json:"service"`
	Addr    ids.Addr    `json:"address"`
	Zone    ids.Zone    `json:"zone"`
	Version string      `json:"version"`
	Slots   int         `json:"capacity-slots"`
	State   string      `json:"state"`
	ColdMs  float64     `json:"cold-remaining-ms"`
	Stage   string      `json:"stage"`
	Models  []Model     `json:"models"`
}

// InService tells whether the replica may be sent to.
func (r *Replica) InService() bool { return r.State == "in_service" }

// Reading is when a list was read, in milliseconds on the clock of its reader.
// Times of different clocks cannot be compared.
type Reading struct {
	Clock uint64
	AtMs  float64
}

// since is how many milliseconds after another reading this one was; false if
// nobody can tell.
func (r Reading) since(earlier Reading) (float64, bool) {
	return r.AtMs - earlier.AtMs, r.Clock != 0 && r.Clock == earlier.Clock && r.AtMs >= earlier.AtMs
}

// encoded is a list as daemons tell it to each other.
type encoded struct {
	Read     Reading
	Replicas []Replica
}

// Encode is a list as bytes, read at an unknown time.
func Encode(rs []Replica) []byte { return EncodeRead(rs, Reading{}) }

// EncodeRead is a list as bytes, with when it was read.
func EncodeRead(rs []Replica, read Reading) []byte {
	var b bytes.Buffer
	if gob.NewEncoder(&b).Encode(encoded{read, rs}) != nil {
		return nil
	}
	return b.Bytes()
}

// Decode reads a list; false if the bytes are none.
func Decode(b []byte) ([]Replica, bool) {
	l, ok := decode(b)
	return l.Replicas, ok
}

func decode(b []byte) (l encoded, ok bool) {
	err := gob.NewDecoder(bytes.NewReader(b)).Decode(&l)
	return l, err == nil
}
