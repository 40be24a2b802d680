package consensus

import (
	"strings"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/codes"
	"spoolswitch/internal/deflate"
	"spoolswitch/internal/ids"
	"spoolswitch/internal/kvindex"
	"spoolswitch/internal/quota"
	"spoolswitch/internal/telemetry"
)

// Kind tells what a message asks for.
type Kind int

// The kinds of messages.
const (
	Vote Kind = iota + 1
	Accept
	Hold
	Learn
	Digest
	Fetch
	Survey
	Change
	Query
	Follow
	Join
	Trace
	Drift
	Forward
	Counts
	Fold
	Gossip
	Confirm
	RolloutCounts
	RolloutFold
	Leave
	QuotaLease
	QuotaRefill
)

var kindNames = [...]string{Vote: "vote", Accept: "accept", Hold: "hold", Learn: "learn", Digest: "digest", Fetch: "fetch",
	Survey: "survey", Change: "change", Query: "query", Follow: "follow", Join: "join", Trace: "trace", Drift: "drift",
	Forward: "forward", Counts: "counts", Fold: "fold", Gossip: "gossip", Confirm: "confirm",
	RolloutCounts: "rollout-counts", RolloutFold: "rollout-fold", Leave: "leave",
	QuotaLease: "quota-lease", QuotaRefill: "quota-refill"}

// Subject names what the message is about: its kind and, where keys differ in
// cost, the family of its key.
func (m Msg) Subject() string {
	if m.Kind <= 0 || int(m.Kind) >= len(kindNames) {
		return "unknown"
	}
	name := kindNames[m.Kind]
	switch m.Kind {
	case Learn, Fetch, Accept:
		family, _, _ := strings.Cut(string(m.Key), "/")
		return name + "." + family
	}
	return name
}

// unpack makes a compressed value whole; false if it is none.
func (m *Msg) unpack() bool {
	if !m.Packed {
		return true
	}
	val, err := deflate.Unpack(m.Val)
	if err != nil {
		telemetry.Trouble("value not legible", "key", m.Key, "from", m.From, "err", err)
		return false
	}
	m.Val, m.Packed = val, false
	return true
}

// Mark is what one keeper has of one key.
type Mark struct {
	Promised ids.Epoch
	At       ids.Place
	Known    ids.Place
}

// Item is one key's committed value in the feed, with its number there.
type Item struct {
	Key ids.Key
	At  ids.Place
	Val []byte
	Age clock.Span
	Num uint64
	// Base, if set, is the place of the value that Val is the change from.
	Base ids.Place
	// Same says that the value is the one at Base, with another place.
	Same bool
	// Packed says that Val is compressed.
	Packed bool
}

// Brief tells whether the item is news that only matters while it is new.
func (it *Item) Brief() bool {
	_, ok := it.Key.Drifted()
	return ok
}

// Order is a change or a question that a client of control brings.
type Order struct {
	Body    []byte
	Base    ids.Version
	Modify  bool
	On      bool
	Query   bool
	Joiners []ids.Node
	Gone    []ids.Node
	// If, if set, is the place that the value must have for the order to change it.
	If ids.Place
}

// Msg is a message between daemons; which fields count depends on Kind.
type Msg struct {
	Kind   Kind
	From   ids.Node
	Key    ids.Key
	Epoch  ids.Epoch
	At     ids.Place
	Val    []byte
	Roster Roster
	OK     bool
	Code   codes.Code
	Text   string
	Order  *Order
	// Held says that the receiver has the value on its disk, and gets no other.
	Held bool
	// Base, if set, is the place of the value that Val is the change from.
	Base ids.Place
	// Packed says that Val is compressed.
	Packed bool
	// Stray says that a relay has not yet looked for a keeper of its own zone, and
	// Greeting that the answer names the keepers and feeds nothing.
	Stray, Greeting bool
	// Places are those of the values that a relay has been fed already.
	Places map[ids.Key]ids.Place
	// Left is how long the sender waits, from the sending on.
	Left  clock.Span
	Marks map[ids.Key]Mark
	Cells map[ids.Key]Cell
	// Sum stands for a digest's marks, roster and relays: in a question for those
	// that the asker has, in an answer for those that count. Same says that they
	// are the ones that the asker has, and left out.
	Sum  uint64
	Same bool

	Life     uint64
	Num      uint64
	Items    []Item
	Snapshot bool
	Fresh    bool
	ListAge  clock.Span
	Relays   []ids.Node
	Count    int
	Disk     bool
	// Unvoted says that the sender's disk is of the first start and never voted.
	Unvoted     bool
	Zone        ids.Zone
	KeeperZones map[ids.Node]ids.Zone
	SeatZones   map[ids.Node]ids.Zone
	Addr        ids.Addr
	Report      *Report
	// Quota asks for tokens of tenants, Tokens grants them.
	Quota  *quota.Request
	Tokens *quota.Answer
}

// Report is what a daemon tells of itself when it is asked for a trace.
type Report struct {
	Node   ids.Node
	Role   string
	Zone   ids.Zone
	Voting bool
	Sure   bool
	// Confirmed is how long ago the round began with which a majority last
	// confirmed this keeper; negative if none has.
	Confirmed clock.Span
	// Answers tells whether orders are answered here: by the keeper itself, or by
	// a seat that it hands them to.
	Answers bool
	// Seeds are the keepers that the settings name now, and Others those without
	// a seat that this one exchanges rosters with.
	Seeds  []ids.Node
	Others []ids.Node
	Roster Roster
	Owners map[ids.Key]ids.Place
	// Copies are the seats that have the newest value of each key on their disks.
	Copies  map[ids.Key][]ids.Node
	Feed    uint64
	Keeper  ids.Addr
	Relays  map[ids.Node]ids.Addr
	Steps   []Step
	Applied map[string]clock.Span
	Version ids.Version
	Counts  map[string]int64
	Gauges  map[string]float64
	Streams []Stream
	Pools   []Pool
	Moves   []string
	Holder  ids.Node
	// Rollouts are those that the keeper knows of.
	Rollouts []Rollout
	// Tenants are those with a limit; only the holder of the quota duty knows their tokens.
	Tenants []Tenant
}

// Tenant is how the limit of one tenant stands.
type Tenant struct {
	quota.Account
	// Holder has the duty of granting tokens; Leases are the keepers that it granted some to.
	Holder ids.Node
	Leases []quota.Leased
}

// Rollout is how the rollout of one service stands.
type Rollout struct {
	Service ids.Service
	Number  uint64
	Target  ids.Software
	Status  string
	Step    int
	Steps   []string
	Weight  int
	Elapsed clock.Span
	Within  clock.Span
	Reason  string
	// Holder takes it through its steps; Routes is what that keeper has counted, by route.
	Holder ids.Node
	Routes []RolloutRoute
	// Moves are the last steps that the holder took, and why.
	Moves []string
}

// RolloutRoute is what was counted on one route of a rollout's service.
type RolloutRoute struct {
	Route                                     string
	Stable, StableFailed, StableSlow          int64
	Candidate, CandidateFailed, CandidateSlow int64
	CandidateRefused                          int64
}

// Pool is how the replicas of one service are divided, and what was counted last.
type Pool struct {
	Service                           ids.Service
	Plan                              uint64
	Heavy                             int64
	Prefill                           []ids.Replica
	Share                             float64
	Why                               string
	Requests, PromptTokens, OutTokens int64
}

// Fail answers with an error's code.
func Fail(err error) Msg { return Msg{Code: codes.Of(err), Text: err.Error()} }

// Stream is how a relay's view of one replica stands, and the oldest batch that
// could be replayed.
type Stream struct {
	kvindex.Status
	Oldest kvindex.Seq
}

// Step is one step of a change as a daemon saw it.
type Step struct {
	Label string
	Key   ids.Key
	At    ids.Place
	What  string
	Node  ids.Node
	Ago   clock.Span
}
