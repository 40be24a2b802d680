// Package list reads the platform's list of replicas.
package list

import (
	"bytes"
	"encoding/gob"

	"spoolswitch/internal/word"
)

// Model is a model that a replica holds.
type Model struct {
	Name    string `json:"name"`
	Version int64  `json:"version"`
}

// Replica is one entry of the list.
type Replica struct {
	ID      word.Replica `json:"replica-id"`
	Service word.Service `json:"service"`
	Addr    word.Addr    `json:"address"`
	Zone    word.Zone    `json:"zone"`
	Version string       `json:"version"`
	Slots   int          `json:"capacity-slots"`
	State   string       `json:"state"`
	ColdMs  float64      `json:"cold-remaining-ms"`
	Stage   string       `json:"stage"`
	Models  []Model      `json:"models"`
}

// InService tells whether the replica may be sent to.
func (r *Replica) InService() bool { return r.State == "in_service" }

// Encode is a list as bytes.
func Encode(rs []Replica) []byte {
	var b bytes.Buffer
	if gob.NewEncoder(&b).Encode(rs) != nil {
		return nil
	}
	return b.Bytes()
}

// Decode reads a list.
func Decode(b []byte) ([]Replica, bool) {
	var rs []Replica
	err := gob.NewDecoder(bytes.NewReader(b)).Decode(&rs)
	return rs, err == nil
}
