package ledger

import (
	"testing"

	"github.com/matryer/is"
)

var key = Key{Workspace: "kandy", Service: "booking", Idempotency: "k"}

func begin(attempt string, digest uint64) Begin {
	return Begin{Key: key, Digest: digest, Attempt: attempt, Instance: "kandy-1"}
}

func TestOnlyTheFirstAttemptIsGranted(t *testing.T) {
	is := is.New(t)
	l := New()
	is.Equal(l.Begin(begin("a", 1)).Verdict, VerdictGranted)
	is.Equal(l.Begin(begin("a", 1)).Verdict, VerdictGranted) // sent again
	is.Equal(l.Begin(begin("b", 1)).Verdict, VerdictRunning)
	is.Equal(l.Begin(begin("b", 2)).Verdict, VerdictMismatch)
	l.Finish(Finish{Key: key, Attempt: "a", Phase: PhaseFinished, Answer: Answer{Status: 200}})
	r := l.Begin(begin("b", 1))
	is.Equal(r.Verdict, VerdictFinished)
	is.Equal(r.Record.Answer.Status, 200)
}

func TestAnAbandonedBeginIsNeverGrantedLater(t *testing.T) {
	is := is.New(t)
	l := New()
	l.Abandon(Abandon{Key: key, Attempt: "a"})
	is.Equal(l.Begin(begin("a", 1)).Verdict, VerdictAbandoned)
	is.Equal(l.Begin(begin("b", 1)).Verdict, VerdictGranted)
}

func TestOnlyTheGrantedAttemptFinishes(t *testing.T) {
	is := is.New(t)
	l := New()
	l.Begin(begin("a", 1))
	is.Equal(l.Finish(Finish{Key: key, Attempt: "b", Phase: PhaseFinished}).Verdict, VerdictMismatch)
	is.Equal(l.Begin(begin("c", 1)).Verdict, VerdictRunning)
}
