package lab

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/balsamlb/balsamlb/config"
	"github.com/balsamlb/balsamlb/internal/load"
	"github.com/balsamlb/balsamlb/operator"
	"github.com/matryer/is"
)

func credits(l *Lab, instance, kind string) uint64 {
	counts, err := operator.NewClient(l.Instance(instance).Operators()).Credits()
	if err != nil {
		return 0
	}
	var n uint64
	for _, c := range counts {
		if c.Kind == kind {
			n += c.Count
		}
	}
	return n
}

// TestAnswersAreCreditedOnceThoughTheInstanceDies kills the instance right after the last
// byte of its answers, and the leader while bookings are sent twice.
func TestAnswersAreCreditedOnceThoughTheInstanceDies(t *testing.T) {
	is := is.New(t)
	l := start(t)
	entry := l.Instance("colombo-2")
	for round := range 5 {
		r := load.Run(context.Background(), load.Options{
			Instances: []string{entry.Callers()}, Workspace: "kandy", Drafts: 4, MaxTokens: 2,
			Concurrent: 4, Seed: uint64(round), Deadline: 20 * time.Second,
		})
		entry.Kill()
		is.Equal(r.Violations, nil)
		is.Equal(r.Answered, 4)
		is.NoErr(entry.Start())
		is.NoErr(l.WaitServers(t.Context(), 2))
	}
	r := bookings(l, 9, "colombo-2", "kandy-1")
	is.Equal(r.Violations, nil)
	is.NoErr(l.Wait(t.Context(), "the credits of 20 drafts and 20 bookings", func() bool {
		return credits(l, "kandy-1", "draft") == 20 && credits(l, "kandy-1", "booking") == 20
	}))
	is.Equal(credits(l, "kandy-1", "draft"), uint64(20))
}

// TestWithoutAQuorumBookingsAreRefusedAndDraftsGoOn cuts a data centre off and back.
func TestWithoutAQuorumBookingsAreRefusedAndDraftsGoOn(t *testing.T) {
	is := is.New(t)
	l := start(t)
	l.CutDataCentre("colombo") // the servers are there
	r := load.Run(context.Background(), load.Options{
		Instances: []string{l.Instance("colombo-2").Callers()}, Workspace: "kandy", Drafts: 4, MaxTokens: 2,
		Concurrent: 4, Seed: 1, Deadline: 20 * time.Second,
	})
	is.Equal(r.Answered, 4)
	refused := bookings(l, 2, "colombo-2")
	is.Equal(refused.Booked, 0)
	is.Equal(len(refused.Violations), 20) // each tells its refusal
	l.Heal()
	is.NoErr(l.Wait(t.Context(), "bookings again", func() bool {
		return bookings(l, uint64(time.Now().UnixNano()), "colombo-2").Booked == 20
	}))
}

// TestConfigurationNeverRevertsOverRestarts makes many changes, restarts everything and looks
// at every instance, also those without a disk.
func TestConfigurationNeverRevertsOverRestarts(t *testing.T) {
	is := is.New(t)
	l := start(t)
	const changes = 150
	client := operator.NewClient(l.Instances[0].Operators())
	text := func(n int) string { return fmt.Sprintf("%s[limits]\nmax_tokens = %d\n", base, 100+n) }
	for n := range changes {
		c := config.Change{ID: fmt.Sprint("change-", n), Expect: uint64(n + 1), Base: text(n), Author: "lab"}
		reply, err := client.Change(c)
		is.NoErr(err)
		is.True(reply.Accepted)
	}
	for _, i := range l.Instances {
		i.Kill()
	}
	for _, i := range l.Instances {
		is.NoErr(i.Start())
	}
	is.NoErr(l.WaitVersion(t.Context(), changes+1))
	for _, i := range l.Instances {
		d, err := operator.NewClient(i.Operators()).Config()
		is.NoErr(err)
		is.Equal(d.Version, uint64(changes+1))
		is.Equal(d.Base, text(changes-1))
	}
	// A change that is sent again after the restart gets its first answer.
	is.NoErr(l.Wait(t.Context(), "an answer", func() bool {
		reply, err := client.Change(config.Change{ID: "change-7", Expect: 8, Base: text(7)})
		return err == nil && reply.Accepted && reply.Version == 9
	}))
	d, err := client.Config()
	is.NoErr(err)
	is.Equal(d.Version, uint64(changes+1))
}

// TestACutOffDataCentreKeepsItsVersionAndTellsItsAge changes the configuration elsewhere.
func TestACutOffDataCentreKeepsItsVersionAndTellsItsAge(t *testing.T) {
	is := is.New(t)
	l := start(t)
	l.CutDataCentre("galle")
	text := base + "[limits]\nmax_tokens = 77\n"
	var reply operator.ChangeReply
	is.NoErr(l.Wait(t.Context(), "an accepted change", func() bool {
		var err error
		reply, err = operator.NewClient(l.Instance("kandy-1").Operators()).Change(config.Change{ID: "cut", Expect: 1, Base: text})
		return err == nil && reply.Accepted
	}))
	galle := operator.NewClient(l.Instance("galle-1").Operators())
	is.NoErr(l.Wait(t.Context(), "an age above a second", func() bool {
		s, err := galle.Status()
		return err == nil && s.ConfigAgeMs > 1000
	}))
	s, err := galle.Status()
	is.NoErr(err)
	is.Equal(s.ConfigVersion, uint64(1))
	_, err = galle.Change(config.Change{ID: "inside", Expect: 1, Base: base})
	is.True(err != nil) // no quorum there
	l.Heal()
	is.NoErr(l.WaitVersion(t.Context(), reply.Version))
	is.NoErr(l.Wait(t.Context(), "a fresh confirmation", func() bool {
		s, err := galle.Status()
		return err == nil && s.ConfigAgeMs < 1000
	}))
	d, err := galle.Config()
	is.NoErr(err)
	is.Equal(d.Base, text) // the change made inside was never accepted
}
