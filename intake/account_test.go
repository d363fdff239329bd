package intake

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(0, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

// open opens a connection and lets it enter a stage.
func open(t *testing.T, a *Account, now time.Time, bytes int64, s Stage) *Conn {
	t.Helper()
	c, out := a.Open(now, bytes)
	if c == nil || len(out.Close) > 0 {
		t.Fatalf("no room for a connection of %d bytes: %d of them used", bytes, a.Used())
	}
	a.Enter(now, c, s)
	return c
}

func TestBodiesThatNeverEndMakeWayForOneThatArrives(t *testing.T) {
	is := is.New(t)
	a := New(Limits{Bytes: 1000})
	var crowd []*Conn
	for range 10 {
		crowd = append(crowd, open(t, a, start, 100, Arriving))
	}
	c, out := a.Open(at(2*time.Second), 50)
	is.Equal(out.Close, crowd[:1]) // the oldest
	a.Enter(at(2*time.Second), c, Arriving)
	out = a.Reserve(at(2*time.Second), c, 200)
	is.Equal(out.Close, crowd[1:3])
	is.Equal(len(out.Granted), 0) // what is being closed still holds its memory
	is.Equal(len(a.Closed(at(2*time.Second), crowd[0]).Granted), 0)
	is.Equal(len(a.Closed(at(2*time.Second), crowd[1]).Granted), 0)
	is.Equal(a.Closed(at(2*time.Second), crowd[2]).Granted, []*Conn{c})
	is.Equal(a.Used(), int64(950))
}

func TestWhatCostsOrdinaryClientsLeastMakesWayFirst(t *testing.T) {
	is := is.New(t)
	a := New(Limits{Connections: 5})
	working := open(t, a, start, 1, Working)
	unread := open(t, a, start, 1, Unread)
	stale := open(t, a, start, 1, Arriving)
	idle := open(t, a, start, 1, Idle)
	fresh := open(t, a, at(1900*time.Millisecond), 1, Arriving)
	now := at(2 * time.Second)
	for _, next := range []*Conn{stale, idle, unread, fresh} {
		c, out := a.Open(now, 1)
		is.Equal(out.Close, []*Conn{next})
		is.Equal(next.Stage(), Closing)
		a.Enter(now, c, Working)
		a.Closed(now, next)
	}
	c, out := a.Open(now, 1)
	is.True(c == nil) // no request that is worked on makes way
	is.Equal(len(out.Close), 0)
	is.Equal(working.Stage(), Working)
}

func TestRequestForWhichNobodyMakesWayIsRefused(t *testing.T) {
	is := is.New(t)
	a := New(Limits{Bytes: 100})
	open(t, a, start, 80, Working)
	c := open(t, a, start, 10, Arriving)
	out := a.Reserve(start, c, 50)
	is.Equal(out.Refused, []*Conn{c})
	is.Equal(len(out.Close), 0) // its client is told
	is.Equal(a.Reserve(start, c, 10).Granted, []*Conn{c})
}

func TestConnectionThatIsClosedWhileItWaitsIsRefused(t *testing.T) {
	is := is.New(t)
	a := New(Limits{Bytes: 100})
	old := open(t, a, start, 60, Arriving)
	c := open(t, a, at(time.Second), 10, Working)
	is.Equal(a.Reserve(at(2*time.Second), c, 50).Close, []*Conn{old})
	is.Equal(a.Closed(at(2*time.Second), c).Refused, []*Conn{c})
	a.Closed(at(2*time.Second), old)
	is.Equal(a.Used(), int64(0))
	is.Equal(a.Connections(), 0)
}

// Guards against an account that loses track, exceeds its limit, or leaves somebody waiting.
func TestAccountHoldsInAnyOrderOfEvents(t *testing.T) {
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 1))
		a := New(Limits{Bytes: 10_000, Connections: 40})
		now := start
		var open, closing []*Conn
		waiting := make(map[*Conn]bool)
		handle := func(out Outcome) {
			for _, c := range append(out.Granted, out.Refused...) {
				if !waiting[c] {
					t.Fatalf("seed %d: decided for a connection that doesn't wait", seed)
				}
				delete(waiting, c)
			}
			for _, c := range out.Close {
				if c.From() == Working {
					t.Fatalf("seed %d: a request that is worked on makes way", seed)
				}
				closing = append(closing, c)
			}
		}
		for range 5000 {
			now = now.Add(time.Duration(rng.IntN(200)) * time.Millisecond)
			switch k := rng.IntN(8); {
			case k < 2 || len(open) == 0:
				c, out := a.Open(now, 50)
				handle(out)
				if c != nil {
					open = append(open, c)
				}
			case k == 2 && len(closing) > 0:
				c := closing[0]
				closing = closing[1:]
				handle(a.Closed(now, c))
			default:
				i := rng.IntN(len(open))
				c := open[i]
				switch {
				case c.Stage() == Closed:
					open = append(open[:i], open[i+1:]...)
				case waiting[c]:
				case k < 5:
					n := rng.Int64N(2000)
					if !a.TryReserve(c, n) {
						waiting[c] = true
						handle(a.Reserve(now, c, n))
					}
				case k == 5:
					handle(a.Release(now, c, rng.Int64N(c.Bytes()+1)))
				case k == 6:
					a.Enter(now, c, Stage(rng.IntN(4)))
				default:
					handle(a.Closed(now, c))
				}
			}
			sum := int64(0)
			for _, c := range open {
				sum += c.Bytes()
			}
			if sum != a.Used() || a.Used()-a.closing > 10_000 || a.Used() > 11_250 || a.Connections() > 45 {
				t.Fatalf("seed %d: %d bytes held, %d charged, %d connections", seed, sum, a.Used(), a.Connections())
			}
			if len(waiting) > 0 && a.counts[Closing] == 0 {
				t.Fatalf("seed %d: %d connections wait, and none is being closed", seed, len(waiting))
			}
		}
	}
}
