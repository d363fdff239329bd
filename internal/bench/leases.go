package bench

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/balsamlb/balsamlb/internal/emulate"
	"github.com/balsamlb/balsamlb/internal/lab"
	"github.com/balsamlb/balsamlb/operator"
	"github.com/valyala/fasthttp"
)

var leasesBench = Bench{
	Name: "leases",
	Help: "time until no instance gives work to a backend server that leaves, dies, or is out of reach",
	Run:  runLeases,
}

const (
	// leaseTarget is the time after which a server that left or died gets no new work.
	leaseTarget = 3 * time.Second
	leaseRounds = 8
	pollPause   = 5 * time.Millisecond
	// pollLimit ends a wait for something that does not come about.
	pollLimit = 20 * time.Second
)

var errNotSeen = errors.New("bench: the instances did not learn of it")

// runLeases kills the servers of one data centre, lets single servers leave, and freezes
// instances while their servers die. The figure is the longest time.
func runLeases(ctx context.Context, o Options) (Figure, error) {
	l, err := lab.Start(ctx, leasesLayout(o))
	if err != nil {
		return Figure{}, err
	}
	defer l.Close()
	rounds := leaseRounds
	if o.Short {
		rounds = leaseRounds / 2
	}
	var died, left, thawed []time.Duration
	for n := range rounds {
		if err := l.WaitServers(ctx, leaseServers); err != nil {
			return Figure{}, err
		}
		if err := leaseRound(l, n, &left, &died, &thawed); err != nil {
			return Figure{}, err
		}
		for _, e := range l.Emulators {
			e.Kill()
			if err := e.Start(); err != nil {
				return Figure{}, err
			}
		}
	}
	fmt.Fprintf(o.Out, "left: %v\ndied: %v\ndied while instances were frozen, from the kill: %v\n", left, died, thawed)
	longest := max(slices.Max(left), slices.Max(died), slices.Max(thawed))
	return Figure{
		Value: longest.Seconds(), Unit: "s", Bound: leaseTarget.Seconds(),
		Details: map[string]float64{
			"left_max_s":   slices.Max(left).Seconds(),
			"died_max_s":   slices.Max(died).Seconds(),
			"thawed_max_s": slices.Max(thawed).Seconds(),
		},
	}, nil
}

func leaseRound(l *lab.Lab, n int, left, died, thawed *[]time.Duration) error {
	start := time.Now()
	address := fmt.Sprintf("%s.1.%d:9000", l.Layout.Network, 100+n%13)
	if code, _, err := fasthttp.Post(nil, "http://"+address+emulate.PathLeave, nil); err != nil || code != fasthttp.StatusOK {
		return fmt.Errorf("bench: leave: status %d: %w", code, err)
	}
	if err := untilGone(l.Instances, fmt.Sprintf("colombo-advice-%d/", n%13)); err != nil {
		return err
	}
	*left = append(*left, time.Since(start))

	start = time.Now()
	l.Emulators["emulator-kandy"].Kill()
	if err := untilGone(l.Instances, "kandy-"); err != nil {
		return err
	}
	*died = append(*died, time.Since(start))

	galle := l.Instance("galle-1")
	galle.Freeze()
	start = time.Now()
	l.Emulators["emulator-galle"].Kill()
	time.Sleep(leaseTarget / 2)
	galle.Thaw()
	if err := untilGone(l.Instances, "galle-"); err != nil {
		return err
	}
	*thawed = append(*thawed, time.Since(start))
	return nil
}

// untilGone waits until no instance may give new work to servers whose names, ended by a
// slash, begin so.
func untilGone(instances []*lab.Instance, prefix string) error {
	for end := time.Now().Add(pollLimit); time.Now().Before(end); time.Sleep(pollPause) {
		if !slices.ContainsFunc(instances, func(i *lab.Instance) bool { return mayUse(i, prefix) }) {
			return nil
		}
	}
	return fmt.Errorf("%w: %s", errNotSeen, prefix)
}

func mayUse(i *lab.Instance, prefix string) bool {
	s, err := operator.NewClient(i.OperatorAddress()).Status()
	if err != nil {
		return true
	}
	return slices.ContainsFunc(s.Servers, func(b operator.ServerStatus) bool {
		return strings.HasPrefix(b.Name+"/", prefix) && !b.Leaving && b.LeaseMs > 0
	})
}

const leaseServers = 42

// leasesLayout is the size of today, with the servers of each data centre in one process.
func leasesLayout(o Options) lab.Layout {
	layout := standardLayout(o)
	layout.Emulators = nil
	for _, part := range strings.Split(standardFleet(), "[data_centre ")[1:] {
		name, _, _ := strings.Cut(part, "]")
		layout.Emulators = append(layout.Emulators, lab.Emulator{Name: "emulator-" + name, Fleet: "[data_centre " + part})
	}
	return layout
}
