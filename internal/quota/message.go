package quota

import (
	"spoolswitch/internal/clock"
	"spoolswitch/internal/ids"
)

// Request is how a client of an issuer settles what it has, and asks for more. Its counts are those since the
// client's life began, so that one that is lost or comes twice does no harm.
type Request struct {
	Client ids.Node
	// Life names one life of a client at an issuer: a lease that ended begins another.
	Life uint64
	// Seq numbers the requests of a life from 1 on.
	Seq     uint64
	Entries []Entry
}

// Entry is what a request says of one tenant.
type Entry struct {
	Tenant ids.Tenant
	// Spent and Returned are how many tokens of this life were spent and given back unspent.
	Spent, Returned int64
	// Need is how many requests wait for a token, and Want how many tokens are asked for, Need among them.
	Need, Want int64
}

// Answer is what an issuer says to a request.
type Answer struct {
	// Renew says that the issuer does not know this life of the client, and granted nothing.
	Renew bool
	// Lease is how long tokens of this life may be spent, counted from the sending of the request.
	Lease  clock.Span
	Grants []Grant
	// Loose are tokens that nobody accounts for any more: they are left of an earlier life of the issuer, and their
	// leases are not renewed.
	Loose []Loose
}

// Loose are tokens of one tenant that may be spent for a time, counted from the sending of the request.
type Loose struct {
	Tenant ids.Tenant
	Tokens int64
	Lease  clock.Span
}

// Grant is what an answer says of one tenant.
type Grant struct {
	Tenant ids.Tenant
	// Granted is how many tokens were granted in this life of the client.
	Granted int64
	// Dry says that the tenant is at its limit: more is not to be had for a moment.
	Dry bool
}
