// Package codes numbers the results that daemons and tools report.
package codes

import (
	"errors"
	"fmt"

	"github.com/samber/oops"
)

// Code is a numbered result.
type Code int

// The results. docs/codes.md tables them.
const (
	OK              Code = 0
	BadSettings     Code = 101
	NoSettings      Code = 102
	BadHead         Code = 201
	HeadTooLarge    Code = 202
	BodyTooLarge    Code = 203
	HeadTooSlow     Code = 204
	BadBody         Code = 205
	NoRoute         Code = 206
	NotReady        Code = 207
	NoReplica       Code = 208
	QueueFull       Code = 209
	PastDeadline    Code = 210
	ReplicaBroke    Code = 211
	Leaving         Code = 212
	BadFields       Code = 213
	GraceOver       Code = 214
	ClientLeft      Code = 215
	ClientStalled   Code = 216
	IdleOver        Code = 217
	NoConnection    Code = 218
	UnknownKey      Code = 219
	OverLimit       Code = 220
	LimitUnknown    Code = 221
	NotHolder       Code = 513
	BadMethod       Code = 301
	NoCall          Code = 302
	Unreadable      Code = 303
	NoService       Code = 304
	SamePlace       Code = 305
	NoWeight        Code = 306
	NoTimeout       Code = 307
	OldVersion      Code = 308
	OtherVersion    Code = 309
	NoZone          Code = 310
	NoMajority      Code = 311
	Nothing         Code = 312
	BadItem         Code = 313
	TooOld          Code = 314
	Moved           Code = 315
	Unvouched       Code = 316
	BadRollout      Code = 317
	RolloutUnderWay Code = 318
	NoRollout       Code = 319
	MayBeRepeat     Code = 320
	SharedKey       Code = 321
	DiskRefused     Code = 401
	DiskCorrupt     Code = 402
	PeerLost        Code = 403
	NotVoting       Code = 404
	ListRefused     Code = 405
	UnknownChange   Code = 406
	OtherRelease    Code = 407
	DiskIllegible   Code = 408
	BadBatch        Code = 501
	OldEpoch        Code = 502
	BadCounts       Code = 511
	BadPlan         Code = 512
	BadSimFlags     Code = 601
	BadSimPlan      Code = 602
	SimBroken       Code = 603
)

var names = map[Code]string{
	OK: "ok", BadSettings: "settings at fault", NoSettings: "no settings file",
	BadHead: "malformed head", HeadTooLarge: "head too large", BodyTooLarge: "body too large",
	HeadTooSlow: "head too slow", BadBody: "malformed body", NoRoute: "no route", NotReady: "not ready",
	NoReplica: "no replica may be sent to", QueueFull: "queue is full", PastDeadline: "past its deadline",
	ReplicaBroke: "the replica broke off", Leaving: "leaving", BadFields: "malformed fields",
	GraceOver: "the grace period is over", ClientLeft: "the client left", ClientStalled: "the client does not read",
	IdleOver: "the idle time is over", NoConnection: "too many connections", UnknownKey: "unknown key", OverLimit: "over the tenant's limit", LimitUnknown: "the tenant's limit cannot be counted", NotHolder: "does not grant tokens",
	BadMethod: "method not allowed", NoCall: "no such call", Unreadable: "unreadable", NoService: "unknown service",
	SamePlace: "two routes share a place", NoWeight: "weights add up to 0", NoTimeout: "timeout-ms is 0",
	OldVersion: "version not above the current", OtherVersion: "another version is current",
	NoZone: "unknown zone", NoMajority: "no majority", Nothing: "nothing there yet", BadItem: "item at fault", TooOld: "older than what is remembered",
	BadRollout: "rollout at fault", RolloutUnderWay: "another rollout is under way", NoRollout: "no rollout of the service",
	MayBeRepeat: "may be the last order, sent again", SharedKey: "a key is held twice",
	Moved: "the place has moved", Unvouched: "may be an old order",
	DiskRefused: "the disk refused it", DiskCorrupt: "a record is corrupt", DiskIllegible: "a whole record cannot be decoded", PeerLost: "a daemon did not answer",
	NotVoting: "not voting", ListRefused: "the platform refused the call", UnknownChange: "unknown change",
	OtherRelease: "another release",
	BadBatch:     "malformed batch", OldEpoch: "batch of an epoch that is over",
	BadCounts: "counts unreadable", BadPlan: "plan unreadable",
	BadSimFlags: "flags at fault", BadSimPlan: "plan of a simulated day unreadable", SimBroken: "a simulated day is broken",
}

// String is what the code means, in a few words.
func (c Code) String() string { return names[c] }

// All are the numbered results.
func All() map[Code]string { return names }

// Fault is a result that is not OK.
type Fault struct {
	Code Code
	Text string
}

// Error is the code, its meaning and the details.
func (f *Fault) Error() string {
	if f.Text == "" {
		return fmt.Sprintf("%d %s", int(f.Code), f.Code)
	}
	return fmt.Sprintf("%d %s: %s", int(f.Code), f.Code, f.Text)
}

// New makes an error of a code.
func New(c Code, format string, a ...any) error {
	return oops.Code(int(c)).Wrap(&Fault{Code: c, Text: fmt.Sprintf(format, a...)})
}

// Of finds the code of an error.
func Of(err error) Code {
	if err == nil {
		return OK
	}
	var f *Fault
	if errors.As(err, &f) {
		return f.Code
	}
	return Unreadable
}
