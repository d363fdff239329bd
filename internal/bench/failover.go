package bench

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/balsamlb/balsamlb/internal/lab"
	"github.com/balsamlb/balsamlb/operator"
	"github.com/rotisserie/eris"
)

var failoverBench = Bench{
	Name: "failover",
	Help: "seconds without bookings when the control leader is killed, p99; beside frozen and asked to stop, and a fixed primary that is restarted at once",
	Run:  runFailover,
}

const (
	failoverRoundsShort = 7
	failoverRoundsLong  = 40
	// failoverBound and frozenBound are the targets, in seconds, for a killed and for a frozen
	// leader.
	failoverBound = 1.0
	frozenBound   = 1.5
	// faultWatchTime is how long bookings are observed after a fault.
	faultWatchTime = 1600 * time.Millisecond
	// fixedPrimaryRounds is the number of times that the fixed primary, the naive version, is
	// killed.
	fixedPrimaryRounds = 3
)

// failoverFault is one way to make the leader fail and to restore it.
type failoverFault struct {
	name  string
	begin func(*lab.Instance)
	end   func(*lab.Instance) error
}

var (
	leaderKilled = failoverFault{"killed", func(i *lab.Instance) { i.Kill() }, func(i *lab.Instance) error { return i.Start() }}
	leaderFrozen = failoverFault{"frozen", func(i *lab.Instance) { i.Freeze() }, func(i *lab.Instance) error { i.Thaw(); return nil }}
	// leaderStopped asks the leader to stop. The leader transfers the leadership, and its process
	// ends after the load balancer in front of it has noticed the stop.
	leaderStopped = failoverFault{"stopped", func(i *lab.Instance) { i.Stop() }, func(i *lab.Instance) error { return i.Start() }}
)

func runFailover(ctx context.Context, o Options) (Figure, error) {
	rounds := failoverRoundsLong
	if o.Short {
		rounds = failoverRoundsShort
	}
	details := make(map[string]float64)
	l, err := startFailoverLab(ctx, failoverLayout(o, "group", 3))
	if err != nil {
		return Figure{}, err
	}
	defer l.Close()
	var value float64
	for _, f := range []failoverFault{leaderKilled, leaderFrozen, leaderStopped} {
		count := rounds
		if f.name == leaderStopped.name {
			count = rounds / 3
		}
		gaps, err := failoverGaps(ctx, o, l, f, count)
		if err != nil {
			return Figure{}, err
		}
		details["p50_"+f.name+"_seconds"] = quantile(gaps, 0.5)
		details["p99_"+f.name+"_seconds"] = quantile(gaps, 0.99)
		if f.name == leaderKilled.name {
			value = quantile(gaps, 0.99)
		}
	}
	l.Close()
	details["bound_frozen_seconds"] = frozenBound
	details["rounds"] = float64(rounds)
	baseline, err := fixedPrimary(ctx, o)
	if err != nil {
		return Figure{}, err
	}
	return Figure{Value: value, Unit: "s", Bound: failoverBound, Baseline: &baseline, Details: details}, nil
}

// fixedPrimary measures the naive version, a single control instance that is restarted
// immediately after each kill. It returns the p99 time without an answered booking in seconds.
func fixedPrimary(ctx context.Context, o Options) (float64, error) {
	l, err := startFailoverLab(ctx, failoverLayout(o, "primary", 1))
	if err != nil {
		return 0, err
	}
	defer l.Close()
	killAndRestart := leaderKilled
	killAndRestart.name = "fixed primary"
	killAndRestart.begin = func(i *lab.Instance) {
		i.Kill()
		_ = i.Start()
	}
	killAndRestart.end = func(*lab.Instance) error { return nil }
	gaps, err := failoverGaps(ctx, o, l, killAndRestart, fixedPrimaryRounds)
	return quantile(gaps, 0.99), err
}

// failoverGaps injects the fault at the current leader once per round while bookings are sent.
// It returns the sorted times without an answered booking, in seconds.
func failoverGaps(ctx context.Context, o Options, l *lab.Lab, f failoverFault, rounds int) ([]float64, error) {
	var gaps []float64
	for round := range rounds {
		leader, err := waitVotersCaughtUp(ctx, l)
		if err != nil {
			return nil, err
		}
		gap, err := failoverRound(ctx, l, leader, f, o.Seed<<16|uint64(round))
		if err != nil {
			return nil, err
		}
		fmt.Fprintf(o.Out, "%s %s: %.3f s without bookings\n", leader.Name, f.name, gap)
		gaps = append(gaps, gap)
	}
	slices.Sort(gaps)
	return gaps, nil
}

func failoverRound(ctx context.Context, l *lab.Lab, leader *lab.Instance, f failoverFault, seed uint64) (float64, error) {
	var entries []string
	for _, i := range l.Instances {
		if i.DataFolder == "" {
			entries = append(entries, i.CallerAddress())
		}
	}
	p := newProber(entries, seed)
	probeCtx, stop := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		p.run(probeCtx)
		close(done)
	}()
	sleep(ctx, 200*time.Millisecond)
	faultAt := time.Now()
	f.begin(leader)
	sleep(ctx, faultWatchTime-time.Since(faultAt))
	gap := p.gapAfter(faultAt).Seconds()
	stop()
	err := f.end(leader)
	<-done
	return gap, err
}

// waitVotersCaughtUp waits until the leader holds its lease and every control instance is a
// voter that has applied the log up to the leader's commit index. It returns the leader.
func waitVotersCaughtUp(ctx context.Context, l *lab.Lab) (*lab.Instance, error) {
	var leader *lab.Instance
	err := l.Wait(ctx, "group of caught-up voters", func() bool {
		if leader = l.Leader(); leader == nil {
			return false
		}
		leaderStatus := controlStatus(l, leader)
		for _, i := range l.Instances {
			if i.DataFolder == "" {
				continue
			}
			s := controlStatus(l, i)
			if s == nil || leaderStatus == nil || !s.Voting || !leaderStatus.Lease || s.Applied < leaderStatus.Commit {
				return false
			}
		}
		return true
	})
	return leader, err
}

func controlStatus(l *lab.Lab, i *lab.Instance) *operator.ControlStatus {
	s, err := l.Operator(i).Status()
	if err != nil {
		return nil
	}
	return s.Control
}

func startFailoverLab(ctx context.Context, layout lab.Layout) (*lab.Lab, error) {
	l, err := lab.Start(ctx, layout)
	if err != nil {
		return nil, err
	}
	if err := l.WaitServers(ctx, 1); err != nil {
		l.Close()
		return nil, eris.Wrap(err, "bench: wait for the backend server")
	}
	return l, nil
}

// failoverLayout has the given number of control instances, each in a data centre of its own,
// and two entry instances that are not control instances.
func failoverLayout(o Options, name string, voters int) lab.Layout {
	layout := lab.Layout{
		Folder:      o.Folder + "/" + name,
		BinFolder:   o.Bin,
		DataCentres: []lab.DataCentre{{Name: "entry", Instances: 2}},
		Emulators:   []lab.Emulator{{Name: "emulator", Fleet: failoverFleet}},
		Base:        "[service booking]\nidempotent = false\n[workspace kandy]\n",
	}
	for v := range voters {
		layout.DataCentres = append(layout.DataCentres, lab.DataCentre{Name: fmt.Sprintf("voter%d", v), Instances: 1, Control: true})
	}
	return layout
}

const failoverFleet = `
[data_centre entry]
announce = $ANNOUNCE(entry)
[server ordering]
address = $NET.1.200:9000
data_centre = entry
services = booking
`
