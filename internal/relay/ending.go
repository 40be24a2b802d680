package relay

import (
	"errors"
	"os"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/codes"
	"spoolswitch/internal/configuration"
	"spoolswitch/internal/evidence"
	"spoolswitch/internal/httpmessage"
	"spoolswitch/internal/routing"
	"spoolswitch/internal/upstream"
)

// proof is what an ending proves of the request at the replica.
type proof int

const (
	notRun proof = iota
	mayHaveRun
	hasRun
)

// ending is how a request that was given to a replica ended. What follows from
// it is decided here and nowhere else; docs/hardening/calls.md has the table.
type ending int

const (
	// A whole answer of this try was passed on, a failure of the replica's or not.
	answered ending = iota
	failed
	// The replica says that it did not run the request, or is another one.
	turnedAway
	misdirected
	// The request was not sent, or part of its head never left.
	unsent
	tooLate
	// The answer is no answer, is cut short, answers other tries, or bears a
	// status that promises what the replica did not say.
	malformed
	cutShort
	mistaken
	unbacked
	// The replica's machine took no notice.
	unheard
	// Ended by the relay: at the request's deadline, after its client, or at the end
	// of the grace period.
	pastDeadline
	deserted
	graceOver
)

type rule struct {
	proof   proof
	over    bool
	reuse   bool
	outcome routing.Outcome
}

var endings = [...]rule{
	answered:     {hasRun, true, true, routing.Fine},
	failed:       {hasRun, true, true, routing.Failed},
	turnedAway:   {notRun, false, true, routing.Refused},
	misdirected:  {notRun, false, true, routing.Stranger},
	unsent:       {notRun, false, false, routing.Unreached},
	tooLate:      {notRun, true, false, routing.CutByClient},
	malformed:    {mayHaveRun, false, false, routing.Broke},
	cutShort:     {mayHaveRun, false, false, routing.Broke},
	mistaken:     {mayHaveRun, false, false, routing.Broke},
	unbacked:     {mayHaveRun, false, false, routing.Failed},
	unheard:      {mayHaveRun, false, false, routing.Silent},
	pastDeadline: {mayHaveRun, true, false, routing.CutByClient},
	deserted:     {mayHaveRun, true, false, routing.CutByClient},
	graceOver:    {mayHaveRun, true, false, routing.CutByClient},
}

func (e ending) rule() rule { return endings[e] }

// seen is what an ending says of what the replica keeps, where its answer has
// not said so.
func (e ending) seen() evidence.Outcome {
	if e.rule().proof == notRun {
		return evidence.NotRun
	}
	return evidence.Unseen
}

// broke is the ending that an error of the replica's connection means.
func (n *Request) broke(err error) ending {
	var f *codes.Fault
	switch {
	case n.givenUp():
		return n.stopped()
	case errors.Is(err, os.ErrDeadlineExceeded) || clock.Now() >= n.deadline:
		return pastDeadline
	case upstream.Unheard(err):
		return unheard
	case errors.Is(err, upstream.ErrMistaken):
		return mistaken
	case errors.As(err, &f):
		return malformed
	}
	return cutShort
}

// sort tells what an answer's head says; a body that must follow may change it.
func (n *Request) sort(a *httpmessage.Response) ending {
	ok := a.Status/100 == 2
	switch {
	case a.Status == 421:
		return misdirected
	case a.None && !a.UntilClose:
		return malformed
	case len(a.Field(httpmessage.NotExecuted)) > 0:
		return turnedAway
	case ok && len(a.Field(httpmessage.Seal)) == 0:
		return malformed
	case n.answerBegun && !n.streams(a):
		return malformed
	case promises(a.Status) && !n.route.Repeatable():
		return unbacked
	case a.Status >= 500 && a.Status != 504:
		return failed
	}
	return answered
}

// streams tells whether an answer is passed on event by event.
func (n *Request) streams(a *httpmessage.Response) bool {
	return n.route.Class == configuration.Streaming && a.Status/100 == 2 && a.Status != 204 && n.Head.Method != "HEAD"
}

// promises tells whether a status promises a client that nothing ran.
func promises(status int) bool {
	return status == 429 || status == 503 || status == 408 || status == 421
}
