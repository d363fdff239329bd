package ledger

import (
	"testing"

	"github.com/matryer/is"
)

var key = Key{Workspace: "kandy", Service: "booking", Idempotency: "k"}

func begin(attempt string, digest byte) Begin {
	return Begin{Key: key, Digest: Digest{digest}, Attempt: attempt, Dispatcher: Dispatcher{Instance: "kandy-1"}}
}

func TestOnlyTheFirstAttemptIsGranted(t *testing.T) {
	is := is.New(t)
	l := New()
	is.Equal(l.Begin(Now{}, begin("a", 1)).Verdict, VerdictGranted)
	is.Equal(l.Begin(Now{}, begin("a", 1)).Verdict, VerdictGranted) // sent again
	is.Equal(l.Begin(Now{}, begin("b", 1)).Verdict, VerdictRunning)
	is.Equal(l.Begin(Now{}, begin("b", 2)).Verdict, VerdictMismatch)
	l.Finish(Now{}, Finish{Key: key, Attempt: "a", Phase: PhaseFinished, Answer: Answer{Status: 200}})
	r := l.Begin(Now{}, begin("b", 1))
	is.Equal(r.Verdict, VerdictFinished)
	is.Equal(r.Record.Answer.Status, 200)
}

func TestAnAbandonedBeginIsNeverGrantedLater(t *testing.T) {
	is := is.New(t)
	l := New()
	l.Abandon(Now{}, Abandon{Key: key, Attempt: "a"})
	is.Equal(l.Begin(Now{}, begin("a", 1)).Verdict, VerdictAbandoned)
	is.Equal(l.Begin(Now{}, begin("b", 1)).Verdict, VerdictGranted)
}

func TestOnlyTheGrantedAttemptFinishes(t *testing.T) {
	is := is.New(t)
	l := New()
	l.Begin(Now{}, begin("a", 1))
	is.Equal(l.Finish(Now{}, Finish{Key: key, Attempt: "b", Phase: PhaseFinished}).Verdict, VerdictStale)
	is.Equal(l.Begin(Now{}, begin("c", 1)).Verdict, VerdictRunning)
}
