package lab

import (
	"context"
	"testing"
	"time"

	"github.com/balsamlb/balsamlb/internal/load"
	"github.com/matryer/is"
)

// TestRollingRestartFailsNoRequest restarts every instance in turn while drafts and bookings
// run through a load balancer. No request may fail or be refused.
func TestRollingRestartFailsNoRequest(t *testing.T) {
	is := is.New(t)
	layout := testLayout(t)
	layout.Emulators = []Emulator{{Name: "emulator", Fleet: twoStageFleet}}
	l := startLayoutWithServers(t, layout, 5)
	for _, i := range l.Instances {
		is.NoErr(l.Wait(t.Context(), i.Name+" to be ready", func() bool { return IsReady(i) }))
	}
	b, err := l.StartBalancer(t.Context(), l.Layout.Network+".250.1:8080")
	is.NoErr(err)

	done := make(chan load.Result, 1)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { done <- runLoadUntil(ctx, b.Address()) }()
	for _, i := range l.Instances {
		i.Stop()
		is.NoErr(i.Start())
		is.NoErr(l.Wait(t.Context(), i.Name+" to be ready", func() bool { return IsReady(i) }))
		is.NoErr(l.Wait(t.Context(), "a leader", func() bool { return l.Leader() != nil }))
	}
	cancel()
	r := <-done
	is.Equal(r.Violations, nil)
	is.Equal(r.Refused, 0)
	is.True(r.Answered > 0)
	is.True(r.Booked > 0)
}

// runLoadUntil sends rounds of drafts and bookings until ctx ends, and returns the sum of their
// results. The last round is completed.
func runLoadUntil(ctx context.Context, address string) load.Result {
	var sum load.Result
	for seed := uint64(1); ctx.Err() == nil; seed++ {
		r := load.Run(context.Background(), load.Options{
			Instances: []string{address}, Workspace: "kandy", Drafts: 20, Bookings: 10, MaxTokens: 24,
			Concurrent: 8, Seed: seed, Deadline: 20 * time.Second,
		})
		sum.Answered += r.Answered
		sum.Booked += r.Booked
		sum.Refused += r.Refused
		sum.Violations = append(sum.Violations, r.Violations...)
	}
	return sum
}
