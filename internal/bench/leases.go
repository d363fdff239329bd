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
	// leaseTarget is the time after which a server that left or crashed must get no new work.
	leaseTarget       = 3 * time.Second
	leaseRounds       = 8
	leasePollInterval = 5 * time.Millisecond
	// leasePollTimeout bounds the wait until the servers get no new work.
	leasePollTimeout = 20 * time.Second
)

var errStillInUse = errors.New("bench: an instance still gives work to servers that left or crashed")

// runLeases measures how long servers keep getting new work in three cases: a single server
// leaves, all servers of a data centre crash, and servers crash while an instance of their data
// centre is frozen. The value is the longest time.
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
	var crashed, left, crashedFrozen []time.Duration
	for n := range rounds {
		if err := l.WaitServers(ctx, leaseServers); err != nil {
			return Figure{}, err
		}
		if err := leaseRound(l, n, &left, &crashed, &crashedFrozen); err != nil {
			return Figure{}, err
		}
		for _, e := range l.Emulators {
			e.Kill()
			if err := e.Start(); err != nil {
				return Figure{}, err
			}
		}
	}
	fmt.Fprintf(o.Out, "left: %v\ncrashed: %v\ncrashed while an instance was frozen, from the kill: %v\n", left, crashed, crashedFrozen)
	longest := max(slices.Max(left), slices.Max(crashed), slices.Max(crashedFrozen))
	return Figure{
		Value: longest.Seconds(), Unit: "s", Bound: leaseTarget.Seconds(),
		Details: map[string]float64{
			"left_max_s":   slices.Max(left).Seconds(),
			"died_max_s":   slices.Max(crashed).Seconds(),
			"thawed_max_s": slices.Max(crashedFrozen).Seconds(),
		},
	}, nil
}

func leaseRound(l *lab.Lab, n int, left, crashed, crashedFrozen *[]time.Duration) error {
	start := time.Now()
	address := fmt.Sprintf("%s.1.%d:9000", l.Layout.Network, 100+n%13)
	code, _, err := fasthttp.Post(nil, "http://"+address+emulate.PathLeave, nil)
	if err := leaveError(code, err); err != nil {
		return err
	}
	if err := waitUnused(l.Instances, fmt.Sprintf("colombo-advice-%d/", n%13)); err != nil {
		return err
	}
	*left = append(*left, time.Since(start))

	start = time.Now()
	l.Emulators["emulator-kandy"].Kill()
	if err := waitUnused(l.Instances, "kandy-"); err != nil {
		return err
	}
	*crashed = append(*crashed, time.Since(start))

	galle := l.Instance("galle-1")
	galle.Freeze()
	start = time.Now()
	l.Emulators["emulator-galle"].Kill()
	time.Sleep(leaseTarget / 2)
	galle.Thaw()
	if err := waitUnused(l.Instances, "galle-"); err != nil {
		return err
	}
	*crashedFrozen = append(*crashedFrozen, time.Since(start))
	return nil
}

// leaveError returns why a server did not accept the order to leave, or nil.
func leaveError(code int, err error) error {
	switch {
	case err != nil:
		return fmt.Errorf("bench: ask a server to leave: %w", err)
	case code != fasthttp.StatusOK:
		return fmt.Errorf("bench: ask a server to leave: status %d", code)
	}
	return nil
}

// waitUnused waits until no instance may give new work to a server whose name begins with the
// prefix. A slash is appended to each name before the comparison, so that a prefix that ends with a
// slash matches only a whole name.
func waitUnused(instances []*lab.Instance, prefix string) error {
	for end := time.Now().Add(leasePollTimeout); time.Now().Before(end); time.Sleep(leasePollInterval) {
		if !slices.ContainsFunc(instances, func(i *lab.Instance) bool { return hasUsableServer(i, prefix) }) {
			return nil
		}
	}
	return fmt.Errorf("%w: %s", errStillInUse, prefix)
}

func hasUsableServer(i *lab.Instance, prefix string) bool {
	s, err := operator.NewClient(i.OperatorAddress()).Status()
	if err != nil {
		return true
	}
	return slices.ContainsFunc(s.Servers, func(b operator.ServerStatus) bool {
		return strings.HasPrefix(b.Name+"/", prefix) && !b.Leaving && b.LeaseMs > 0
	})
}

const leaseServers = 42

// leasesLayout is standardLayout with the servers of each data centre in a process of their
// own.
func leasesLayout(o Options) lab.Layout {
	layout := standardLayout(o)
	layout.Emulators = nil
	for _, part := range strings.Split(standardFleet(), "[data_centre ")[1:] {
		name, _, _ := strings.Cut(part, "]")
		layout.Emulators = append(layout.Emulators, lab.Emulator{Name: "emulator-" + name, Fleet: "[data_centre " + part})
	}
	return layout
}
