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

// creditCount returns the number of credits of the kind, or 0 if the instance does not answer.
func creditCount(l *Lab, instance, kind string) uint64 {
	counts, err := operator.NewClient(l.Instance(instance).OperatorAddress()).Credits()
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

// TestCreditsAreCountedOnceAfterInstanceCrash kills the instance right after the last byte of
// its answers, five times, and then sends bookings, each of them twice. Every answered draft and
// every booking must be credited exactly once.
func TestCreditsAreCountedOnceAfterInstanceCrash(t *testing.T) {
	is := is.New(t)
	l := startLab(t)
	entry := l.Instance("colombo-2")
	for round := range 5 {
		r := load.Run(context.Background(), load.Options{
			Instances: []string{entry.CallerAddress()}, Workspace: "kandy", Drafts: 4, MaxTokens: 2,
			Concurrent: 4, Seed: uint64(round), Deadline: 20 * time.Second,
		})
		entry.Kill()
		is.Equal(r.Violations, nil)
		is.Equal(r.Answered, 4)
		is.NoErr(entry.Start())
		is.NoErr(l.WaitServers(t.Context(), 2))
	}
	r := runBookings(l, 9, "colombo-2", "kandy-1")
	is.Equal(r.Violations, nil)
	is.NoErr(l.Wait(t.Context(), "the credits of 20 drafts and 20 bookings", func() bool {
		return creditCount(l, "kandy-1", "draft") == 20 && creditCount(l, "kandy-1", "booking") == 20
	}))
	is.Equal(creditCount(l, "kandy-1", "draft"), uint64(20))
}

// TestBookingsRefusedAndDraftsServedWithoutQuorum partitions the data centre of the backend
// servers from the quorum and heals the partition. Drafts need no quorum; bookings do.
func TestBookingsRefusedAndDraftsServedWithoutQuorum(t *testing.T) {
	is := is.New(t)
	l := startLab(t)
	l.PartitionDataCentre("colombo") // the data centre of the backend servers
	r := load.Run(context.Background(), load.Options{
		Instances: []string{l.Instance("colombo-2").CallerAddress()}, Workspace: "kandy", Drafts: 4, MaxTokens: 2,
		Concurrent: 4, Seed: 1, Deadline: 20 * time.Second,
	})
	is.Equal(r.Answered, 4)
	refused := runBookings(l, 2, "colombo-2")
	is.Equal(refused.Booked, 0)
	is.Equal(len(refused.Violations), 20) // each booking is reported as refused
	l.Heal()
	is.NoErr(l.Wait(t.Context(), "bookings to succeed after healing", func() bool {
		return runBookings(l, uint64(time.Now().UnixNano()), "colombo-2").Booked == 20
	}))
}

// TestConfigurationSurvivesRestarts makes many changes, kills and restarts all instances, and
// checks that every instance has the last version, including those without a data folder.
func TestConfigurationSurvivesRestarts(t *testing.T) {
	is := is.New(t)
	l := startLab(t)
	const changes = 150
	client := operator.NewClient(l.Instances[0].OperatorAddress())
	text := func(n int) string { return fmt.Sprintf("%s[limits]\nmax_tokens = %d\n", baseConfig, 100+n) }
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
		d, err := operator.NewClient(i.OperatorAddress()).Config()
		is.NoErr(err)
		is.Equal(d.Version, uint64(changes+1))
		is.Equal(d.Base, text(changes-1))
	}
	// A change that is sent again after the restart gets its original answer.
	is.NoErr(l.Wait(t.Context(), "the original answer to a repeated change", func() bool {
		reply, err := client.Change(config.Change{ID: "change-7", Expect: 8, Base: text(7)})
		return err == nil && reply.Accepted && reply.Version == 9
	}))
	d, err := client.Config()
	is.NoErr(err)
	is.Equal(d.Version, uint64(changes+1))
}

// TestPartitionedDataCentreKeepsConfigAndReportsItsAge changes the configuration while a data
// centre is partitioned. That data centre must keep its version, report a growing age, refuse
// changes, and catch up after healing.
func TestPartitionedDataCentreKeepsConfigAndReportsItsAge(t *testing.T) {
	is := is.New(t)
	l := startLab(t)
	l.PartitionDataCentre("galle")
	text := baseConfig + "[limits]\nmax_tokens = 77\n"
	var reply operator.ChangeReply
	is.NoErr(l.Wait(t.Context(), "the majority to accept a change", func() bool {
		var err error
		reply, err = operator.NewClient(l.Instance("kandy-1").OperatorAddress()).Change(config.Change{ID: "cut", Expect: 1, Base: text})
		return err == nil && reply.Accepted
	}))
	galle := operator.NewClient(l.Instance("galle-1").OperatorAddress())
	is.NoErr(l.Wait(t.Context(), "a configuration age above a second", func() bool {
		s, err := galle.Status()
		return err == nil && s.ConfigAgeMs > 1000
	}))
	s, err := galle.Status()
	is.NoErr(err)
	is.Equal(s.ConfigVersion, uint64(1))
	_, err = galle.Change(config.Change{ID: "inside", Expect: 1, Base: baseConfig})
	is.True(err != nil) // the instance is without quorum
	l.Heal()
	is.NoErr(l.WaitVersion(t.Context(), reply.Version))
	is.NoErr(l.Wait(t.Context(), "a configuration age below a second", func() bool {
		s, err := galle.Status()
		return err == nil && s.ConfigAgeMs < 1000
	}))
	d, err := galle.Config()
	is.NoErr(err)
	is.Equal(d.Base, text) // the change sent to the partitioned instance was never accepted
}
