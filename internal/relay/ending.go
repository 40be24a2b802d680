package relay

import (
	"errors"
	"os"

	"spoolswitch/internal/clk"
	"spoolswitch/internal/code"
	"spoolswitch/internal/conf"
	"spoolswitch/internal/evidence"
	"spoolswitch/internal/head"
	"spoolswitch/internal/link"
	"spoolswitch/internal/pick"
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
	// The request was not sent, or part of it never left.
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
	// Ended by the relay: at the request's deadline, or after its client.
	pastDeadline
	deserted
)

type rule struct {
	proof   proof
	over    bool
	reuse   bool
	outcome pick.Outcome
}

var endings = [...]rule{
	answered:     {hasRun, true, true, pick.Fine},
	failed:       {hasRun, true, true, pick.Failed},
	turnedAway:   {notRun, false, true, pick.Refused},
	misdirected:  {notRun, false, true, pick.Stranger},
	unsent:       {notRun, false, false, pick.Unreached},
	tooLate:      {notRun, true, false, pick.CutByClient},
	malformed:    {mayHaveRun, false, false, pick.Broke},
	cutShort:     {mayHaveRun, false, false, pick.Broke},
	mistaken:     {mayHaveRun, false, false, pick.Broke},
	unbacked:     {mayHaveRun, false, false, pick.Failed},
	unheard:      {mayHaveRun, false, false, pick.Silent},
	pastDeadline: {mayHaveRun, true, false, pick.CutByClient},
	deserted:     {mayHaveRun, true, false, pick.CutByClient},
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
	var f *code.Fault
	switch {
	case n.deserted():
		return deserted
	case errors.Is(err, os.ErrDeadlineExceeded) || clk.Now() >= n.deadline:
		return pastDeadline
	case link.Unheard(err):
		return unheard
	case errors.Is(err, link.ErrMistaken):
		return mistaken
	case errors.As(err, &f):
		return malformed
	}
	return cutShort
}

// sort tells what an answer's head says; a body that must follow may change it.
func (n *Request) sort(a *head.Response) ending {
	ok := a.Status/100 == 2
	switch {
	case a.Status == 421:
		return misdirected
	case a.None && !a.UntilClose:
		return malformed
	case len(a.Field(head.NotExecuted)) > 0:
		return turnedAway
	case ok && len(a.Field(head.Seal)) == 0:
		return malformed
	case n.first && !n.streams(a):
		return malformed
	case promises(a.Status) && !n.route.Repeatable():
		return unbacked
	case a.Status >= 500 && a.Status != 504:
		return failed
	}
	return answered
}

// streams tells whether an answer is passed on event by event.
func (n *Request) streams(a *head.Response) bool {
	return n.route.Class == conf.Streaming && a.Status/100 == 2 && a.Status != 204 && n.Head.Method != "HEAD"
}

// promises tells whether a status promises a client that nothing ran.
func promises(status int) bool {
	return status == 429 || status == 503 || status == 408 || status == 421
}
