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
	// disturbPause is between the end of one fault and the start of the next.
	disturbPause = 300 * time.Millisecond
	// A fault lasts between minFault and maxFault.
	minFault = 300 * time.Millisecond
	maxFault = 2500 * time.Millisecond
)

// disturbance is one fault and its end.
type disturbance struct {
	name  string
	begin func()
	end   func() error
}

// disturber kills, freezes, cuts and silences the processes of a lab, sometimes two at once.
type disturber struct {
	lab   *lab.Lab
	rng   *rand.Rand
	out   io.Writer
	count int
}

// run makes faults until ctx ends, and ends them all.
func (d *disturber) run(ctx context.Context) error {
	for ctx.Err() == nil {
		faults := []disturbance{d.draw()}
		if d.rng.IntN(3) == 0 {
			faults = append(faults, d.draw())
		}
		for _, f := range faults {
			fmt.Fprintf(d.out, "fault: %s\n", f.name)
			f.begin()
			d.count++
		}
		wait(ctx, minFault+time.Duration(d.rng.Int64N(int64(maxFault-minFault))))
		for _, f := range faults {
			if err := f.end(); err != nil {
				return err
			}
		}
		wait(ctx, disturbPause)
	}
	return nil
}

func (d *disturber) draw() disturbance {
	i := d.lab.Instances[d.rng.IntN(len(d.lab.Instances))]
	switch d.rng.IntN(6) {
	case 0, 1:
		return killing(i)
	case 2, 3:
		return freezing(i.Process)
	case 4:
		return disturbance{name: "cut off " + i.DataCentre, begin: func() { d.lab.PartitionDataCentre(i.DataCentre) }, end: d.heal}
	default:
		other := d.lab.Instances[d.rng.IntN(len(d.lab.Instances))]
		return disturbance{
			name:  "silence between " + i.Name + " and " + other.Name,
			begin: func() { d.lab.BlackholeConnections(i.Name, other.Name) },
			end:   func() error { return nil },
		}
	}
}

func (d *disturber) heal() error {
	d.lab.Heal()
	return nil
}

func killing(i *lab.Instance) disturbance {
	return disturbance{name: "kill " + i.Name, begin: i.Kill, end: func() error {
		if !i.HasExited() {
			return nil
		}
		return i.Start()
	}}
}

func freezing(p *lab.Process) disturbance {
	return disturbance{name: "freeze " + p.Name, begin: p.Freeze, end: func() error {
		p.Thaw()
		return nil
	}}
}

func wait(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
