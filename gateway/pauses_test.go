package gateway

import (
	"context"
	"fmt"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/balsamlb/balsamlb/layers"
	"github.com/matryer/is"
)

// draftOn returns a draft on a path of servers that had its last event the time idle ago.
func draftOn(now time.Time, silence time.Duration, servers ...string) *draft {
	d := &draft{lastAt: now.Add(-silence)}
	for _, id := range servers {
		d.path = append(d.path, layers.Part{ID: id})
	}
	return d
}

func TestDraftsThatPauseTogetherPointToTheServersThatTheyShare(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	r := newRunning()
	for range pausedTogether {
		r.drafts[draftOn(now, pausedAfter, "head", "lost", "tail")] = struct{}{}
	}
	r.drafts[draftOn(now, flowsWithin/2, "head", "other", "tail")] = struct{}{}
	r.drafts[draftOn(now, pausedAfter, "alone", "lost")] = struct{}{}
	is.Equal(r.mayBeLost(now), []string{"lost"})
}

func TestFewPausesOrFirstEventsPointToNobody(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	r := newRunning()
	for range pausedTogether - 1 {
		r.drafts[draftOn(now, pausedAfter, "a")] = struct{}{}
	}
	waiting := draftOn(now, time.Second, "a")
	waiting.isWaiting = true
	r.drafts[waiting] = struct{}{}
	is.Equal(r.mayBeLost(now), nil)
}

func TestReachedServersAreNotTriedAgainAtOnce(t *testing.T) {
	is := is.New(t)
	p := &probes{tried: make(map[string]time.Time)}
	now := time.Unix(1000, 0)
	is.Equal(p.due(now, []string{"a", "b"}), []string{"a", "b"})
	is.Equal(p.due(now.Add(probeFreshFor/2), []string{"a", "c"}), []string{"c"})
	is.Equal(p.due(now.Add(probeFreshFor), []string{"a", "c"}), []string{"a"})
}

func TestProbeIsSureOnlyOfRefusalsAndOfSilenceWhileItRan(t *testing.T) {
	refused := fmt.Errorf("dial: %w", syscall.ECONNREFUSED)
	for _, c := range []struct {
		name   string
		open   func(ctx context.Context) error
		isLost bool
		tries  int
	}{
		{"refused", func(context.Context) error { return refused }, true, 1},
		{"reached", func(context.Context) error { return nil }, false, 1},
		{"no answer", func(ctx context.Context) error { <-ctx.Done(); return ctx.Err() }, true, probeTries},
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
