package replica

import (
	"testing"
	"time"

	"github.com/balsamlb/balsamlb/credit"
	"github.com/balsamlb/balsamlb/ledger"
	"github.com/matryer/is"
)

func TestRepeatedFinishIsCreditedOnce(t *testing.T) {
	is := is.New(t)
	s := NewState()
	key := ledger.Key{Workspace: "kandy", Service: "booking", Idempotency: "k"}
	s.Apply(1, Command{Begin: &ledger.Begin{Key: key, Attempt: "a"}})
	f := &Finish{Credit: credit.Entry{Member: "m", Kind: "booking"}}
	f.Key, f.Attempt, f.Phase = key, "a", ledger.PhaseUnknown
	s.Apply(2, Command{Finish: f})
	is.Equal(len(s.Credits.Counts()), 0) // the outcome is unknown, so nothing is credited yet
	known := *f
	known.Phase = ledger.PhaseFinished
	for index := range uint64(3) {
		s.Apply(3+index, Command{Finish: &known})
	}
	is.Equal(s.Credits.Counts()[credit.Account{Member: "m", Kind: "booking"}], uint64(1))
}

// TestWallClockJumpsDoNotMoveReplicatedTime checks that replicated time follows only the
// monotonic clock of one leader when wall clocks jump and leaders change.
func TestWallClockJumpsDoNotMoveReplicatedTime(t *testing.T) {
	is := is.New(t)
	var c Clock
	wall := time.Unix(1_800_000_000, 0)
	at := func(source string, monotonic time.Duration, jump time.Duration) time.Duration {
		return c.advance(Timestamp{Source: source, Monotonic: monotonic, Wall: wall.Add(jump)}).Replicated
	}
	is.Equal(at("a", time.Hour, 0), time.Duration(0))
	is.Equal(at("a", time.Hour+time.Second, 10*365*24*time.Hour), time.Second)
	is.Equal(at("b", 90*time.Hour, -time.Hour), time.Second) // the new leader's first timestamp only sets the origin
	is.Equal(at("b", 90*time.Hour+time.Minute, 0), time.Minute+time.Second)
	is.Equal(at("b", 90*time.Hour, 0), time.Minute+time.Second) // an older timestamp is ignored
	is.Equal(at("a", 2*time.Hour, 0), time.Minute+time.Second)  // the time without leadership is not counted
}
