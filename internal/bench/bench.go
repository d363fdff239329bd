// Package bench measures the system against its targets, with real processes and emulated
// backend servers. Where there is a naive baseline, it is measured in the same run.
package bench

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
)

// ErrUnknown means that no benchmark has the given name.
var ErrUnknown = errors.New("bench: no such benchmark")

// Options describe one run.
type Options struct {
	// Short keeps the run under 50 s.
	Short bool
	Seed  uint64
	// Bin is the folder that holds the binaries balsamd and balsamctl.
	Bin string
	// Folder holds the run's settings, logs and data.
	Folder string
	// Net holds the first two octets of the loopback addresses to use, such as 127.0.
	Net string
	// Out receives intermediate results as lines of text, and the figure as a line of JSON.
	Out io.Writer
}

// Figure is the result of a run.
type Figure struct {
	Bench string  `json:"bench"`
	Value float64 `json:"value"`
	Unit  string  `json:"unit"`
	// Bound is the target, or the highest value that the hardware allows, in the unit of Value.
	Bound float64 `json:"bound"`
	// Ratio is Value over Bound.
	Ratio float64 `json:"ratio"`
	Seed  uint64  `json:"seed"`
	// Baseline is the value of the naive version in the same run, nil if there is none.
	Baseline *float64 `json:"baseline,omitempty"`
	// Details holds further values by name; the unit is part of the name.
	Details map[string]float64 `json:"details,omitempty"`
}

// Bench is one benchmark.
type Bench struct {
	Name string
	Help string
	Run  func(ctx context.Context, o Options) (Figure, error)
}

// All returns all benchmarks, in the order in which they run.
func All() []Bench {
	return []Bench{
		bookingsBench,
		throughputBench,
		overloadBench,
		throughputUnseenBench,
		overloadUnseenBench,
		atMostOnceBench,
		controlBench,
		leasesBench,
		membershipBench,
		configBench,
		failoverBench,
		restartBench,
		votersBench,
		recoveryBench,
		latencyBench,
		scalingBench,
	}
}

// Run runs the named benchmark and writes its figure to o.Out as one line of JSON.
func Run(ctx context.Context, name string, o Options) (Figure, error) {
	all := All()
	i := slices.IndexFunc(all, func(b Bench) bool { return b.Name == name })
	if i < 0 {
		return Figure{}, fmt.Errorf("%w: %s", ErrUnknown, name)
	}
	f, err := all[i].Run(ctx, o)
	if err != nil {
		return Figure{}, err
	}
	f.Bench = name
	f.Seed = o.Seed
	if f.Bound != 0 {
		f.Ratio = f.Value / f.Bound
	}
	line, err := json.Marshal(f)
	if err != nil {
		return Figure{}, err
	}
	_, err = fmt.Fprintf(o.Out, "%s\n", line)
	return f, err
}
