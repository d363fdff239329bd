package replica

import (
	"testing"
	"time"

	"github.com/balsamlb/balsamlb/credit"
	"github.com/balsamlb/balsamlb/ledger"
	"github.com/matryer/is"
)

func TestABookingIsCreditedOnceHoweverOftenItsFinishArrives(t *testing.T) {
	is := is.New(t)
	s := NewState()
	key := ledger.Key{Workspace: "kandy", Service: "booking", Idempotency: "k"}
	s.Apply(1, Command{Begin: &ledger.Begin{Key: key, Attempt: "a"}})
	f := &Finish{Credit: credit.Entry{Member: "m", Kind: "booking"}}
	f.Key, f.Attempt, f.Phase = key, "a", ledger.PhaseUnknown
	s.Apply(2, Command{Finish: f})
	is.Equal(len(s.Credits.Counts()), 0) // nothing was answered yet
	known := *f
	known.Phase = ledger.PhaseFinished
	for index := range uint64(3) {
		s.Apply(3+index, Command{Finish: &known})
	}
	is.Equal(s.Credits.Counts()[credit.Account{Member: "m", Kind: "booking"}], uint64(1))
}

// TestNoClockJumpMovesTheReplicatedTime lets wall clocks jump and leaders change.
func TestNoClockJumpMovesTheReplicatedTime(t *testing.T) {
	is := is.New(t)
	var c Clock
	wall := time.Unix(1_800_000_000, 0)
	at := func(source string, monotonic time.Duration, jump time.Duration) time.Duration {
		return c.advance(Timestamp{Source: source, Monotonic: monotonic, Wall: wall.Add(jump)}).Replicated
	}
	is.Equal(at("a", time.Hour, 0), time.Duration(0))
	is.Equal(at("a", time.Hour+time.Second, 10*365*24*time.Hour), time.Second)
	is.Equal(at("b", 90*time.Hour, -time.Hour), time.Second) // a new leader counts from here
	is.Equal(at("b", 90*time.Hour+time.Minute, 0), time.Minute+time.Second)
	is.Equal(at("b", 90*time.Hour, 0), time.Minute+time.Second) // overtaken in the queue
	is.Equal(at("a", 2*time.Hour, 0), time.Minute+time.Second)  // the deposed leader counts anew
}
