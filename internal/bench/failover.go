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
	// failoverBound and frozenBound are the targets in seconds.
	failoverBound = 1.0
	frozenBound   = 1.5
	// faultSettle is how long bookings are watched after a fault.
	faultSettle = 1600 * time.Millisecond
	// fixedPrimaryRounds is how often the fixed primary is killed.
	fixedPrimaryRounds = 3
)

// failoverFault is one way to take the leader away and to bring it back.
type failoverFault struct {
	name  string
	begin func(*lab.Instance)
	end   func(*lab.Instance) error
}

var (
	killed = failoverFault{"killed", func(i *lab.Instance) { i.Kill() }, func(i *lab.Instance) error { return i.Start() }}
	frozen = failoverFault{"frozen", func(i *lab.Instance) { i.Freeze() }, func(i *lab.Instance) error { i.Thaw(); return nil }}
	// stopped hands the leadership on; the process ends after its balancer has noticed.
	stopped = failoverFault{"stopped", func(i *lab.Instance) { i.Stop() }, func(i *lab.Instance) error { return i.Start() }}
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
	for _, f := range []failoverFault{killed, frozen, stopped} {
		count := rounds
		if f.name == stopped.name {
			count = rounds / 3
		}
		gaps, err := failoverGaps(ctx, o, l, f, count)
		if err != nil {
			return Figure{}, err
		}
		details["p50_"+f.name+"_seconds"] = quantile(gaps, 0.5)
		details["p99_"+f.name+"_seconds"] = quantile(gaps, 0.99)
		if f.name == killed.name {
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

// fixedPrimary measures the naive version: one control instance, restarted at once after
// each kill.
func fixedPrimary(ctx context.Context, o Options) (float64, error) {
	l, err := startFailoverLab(ctx, failoverLayout(o, "primary", 1))
	if err != nil {
		return 0, err
	}
	defer l.Close()
	restarted := killed
	restarted.name = "fixed primary"
	restarted.begin = func(i *lab.Instance) {
		i.Kill()
		_ = i.Start()
	}
	restarted.end = func(*lab.Instance) error { return nil }
	gaps, err := failoverGaps(ctx, o, l, restarted, fixedPrimaryRounds)
	return quantile(gaps, 0.99), err
}

// failoverGaps takes the leader away again and again under bookings, and returns the sorted
// times without an answered booking in seconds.
func failoverGaps(ctx context.Context, o Options, l *lab.Lab, f failoverFault, rounds int) ([]float64, error) {
	var gaps []float64
	for round := range rounds {
		leader, err := waitWhole(ctx, l)
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
	wait(ctx, 200*time.Millisecond)
	fault := time.Now()
	f.begin(leader)
	wait(ctx, faultSettle-time.Since(fault))
	gap := p.gapAfter(fault).Seconds()
	stop()
	err := f.end(leader)
	<-done
	return gap, err
}

// waitWhole waits until the leader has its lease and every control instance votes with the
// whole log.
func waitWhole(ctx context.Context, l *lab.Lab) (*lab.Instance, error) {
	var leader *lab.Instance
	err := l.Wait(ctx, "a whole group", func() bool {
		if leader = l.Leader(); leader == nil {
			return false
		}
		commit := controlOf(l, leader)
		for _, i := range l.Instances {
			if i.DataFolder == "" {
				continue
			}
			s := controlOf(l, i)
			if s == nil || commit == nil || !s.Voting || !commit.Lease || s.Applied < commit.Commit {
				return false
			}
		}
		return true
	})
	return leader, err
}

func controlOf(l *lab.Lab, i *lab.Instance) *operator.ControlStatus {
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
		return nil, eris.Wrap(err, "bench: start")
	}
	return l, nil
}

// failoverLayout has a number of control instances, each in a data centre of its own, and
// two entries that are none.
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
