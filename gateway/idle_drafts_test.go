package gateway

import (
	"context"
	"fmt"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/balsamlb/balsamlb/layers"
	"github.com/balsamlb/balsamlb/linkcheck"
	"github.com/matryer/is"
)

// attemptOn returns an attempt whose path consists of the given servers and whose last event was
// forwarded the given idle time before now.
func attemptOn(now time.Time, idle time.Duration, servers ...string) *attempt {
	a := &attempt{lastEventAt: now.Add(-idle)}
	for _, id := range servers {
		a.path = append(a.path, layers.Part{ID: id})
	}
	return a
}

func TestServersSharedByIdleDraftsAreProbed(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	r := newRunningAttempts()
	for range minIdleDrafts {
		r.attempts[attemptOn(now, idleAfter, "head", "lost", "tail")] = struct{}{}
	}
	r.attempts[attemptOn(now, progressingWithin/2, "head", "other", "tail")] = struct{}{}
	r.attempts[attemptOn(now, idleAfter, "alone", "lost")] = struct{}{}
	is.Equal(r.probeCandidates(now), []string{"lost"})
}

func TestFewIdleDraftsCauseNoProbe(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	r := newRunningAttempts()
	for range minIdleDrafts - 1 {
		r.attempts[attemptOn(now, idleAfter, "a")] = struct{}{}
	}
	waiting := attemptOn(now, time.Second, "a")
	waiting.awaitsFirstEvent = true
	r.attempts[waiting] = struct{}{}
	is.Equal(r.probeCandidates(now), nil)
}

func TestServersAreNotProbedAgainWithinInterval(t *testing.T) {
	is := is.New(t)
	p := &probes{probedAt: make(map[string]time.Time)}
	now := time.Unix(1000, 0)
	is.Equal(p.due(now, []string{"a", "b"}), []string{"a", "b"})
	is.Equal(p.due(now.Add(minProbeInterval/2), []string{"a", "c"}), []string{"c"})
	is.Equal(p.due(now.Add(minProbeInterval), []string{"a", "c"}), []string{"a"})
}

func TestReachIgnoresTimeoutOfPausedProcess(t *testing.T) {
	refused := fmt.Errorf("dial: %w", syscall.ECONNREFUSED)
	for _, c := range []struct {
		name   string
		open   func(ctx context.Context) error
		isLost bool
		tries  int
	}{
		{"refused", func(context.Context) error { return refused }, true, 1},
		{"reached", func(context.Context) error { return nil }, false, 1},
		{"no answer", func(ctx context.Context) error { <-ctx.Done(); return ctx.Err() }, true, linkcheck.ProbeTries},
		{"this process was paused", func(ctx context.Context) error {
			time.Sleep(100 * time.Millisecond)
			return ctx.Err()
		}, false, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				tries := 0
				err := reach(t.Context(), func(ctx context.Context) error {
					tries++
					return c.open(ctx)
				})
				is.Equal(err != nil, c.isLost)
				is.Equal(tries, c.tries)
			})
		})
	}
}
