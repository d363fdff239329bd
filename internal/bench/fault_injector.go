package bench

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"github.com/balsamlb/balsamlb/internal/lab"
)

const (
	// faultPause is the time between the end of one fault and the start of the next.
	faultPause = 300 * time.Millisecond
	// The duration of a fault is random between minFault and maxFault.
	minFault = 300 * time.Millisecond
	maxFault = 2500 * time.Millisecond
)

// fault is one injected fault.
type fault struct {
	name  string
	begin func()
	end   func() error
}

// faultInjector kills and freezes the processes of a lab, partitions data centres and blackholes
// connections, sometimes with two faults at once.
type faultInjector struct {
	lab   *lab.Lab
	rng   *rand.Rand
	out   io.Writer
	count int
}

// run injects faults until ctx ends. It returns once the last faults have ended, or with an error
// when a fault can't be ended.
func (inj *faultInjector) run(ctx context.Context) error {
	for ctx.Err() == nil {
		faults := []fault{inj.randomFault()}
		if inj.rng.IntN(3) == 0 {
			faults = append(faults, inj.randomFault())
		}
		for _, f := range faults {
			fmt.Fprintf(inj.out, "fault: %s\n", f.name)
			f.begin()
			inj.count++
		}
		sleep(ctx, minFault+time.Duration(inj.rng.Int64N(int64(maxFault-minFault))))
		for _, f := range faults {
			if err := f.end(); err != nil {
				return err
			}
		}
		sleep(ctx, faultPause)
	}
	return nil
}

func (inj *faultInjector) randomFault() fault {
	i := inj.lab.Instances[inj.rng.IntN(len(inj.lab.Instances))]
	switch inj.rng.IntN(6) {
	case 0, 1:
		return killFault(i)
	case 2, 3:
		return freezeFault(i.Process)
	case 4:
		return fault{name: "partition of " + i.DataCentre, begin: func() { inj.lab.PartitionDataCentre(i.DataCentre) }, end: inj.heal}
	default:
		other := inj.lab.Instances[inj.rng.IntN(len(inj.lab.Instances))]
		return fault{
			name:  "blackholed connections between " + i.Name + " and " + other.Name,
			begin: func() { inj.lab.BlackholeConnections(i.Name, other.Name) },
			end:   func() error { return nil },
		}
	}
}

func (inj *faultInjector) heal() error {
	inj.lab.Heal()
	return nil
}

func killFault(i *lab.Instance) fault {
	return fault{name: "kill " + i.Name, begin: i.Kill, end: func() error {
		if !i.HasExited() {
			return nil
		}
		return i.Start()
	}}
}

func freezeFault(p *lab.Process) fault {
	return fault{name: "freeze " + p.Name, begin: p.Freeze, end: func() error {
		p.Thaw()
		return nil
	}}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
