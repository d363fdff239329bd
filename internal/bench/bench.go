// Package bench measures the system against its targets, on real processes and emulated
// backend servers, and beside a naive baseline in the same run.
package bench

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
)

// ErrUnknown means that there is no benchmark of the name.
var ErrUnknown = errors.New("bench: no such benchmark")

// Options describe one run.
type Options struct {
	// Short keeps the run under 50 s.
	Short bool
	Seed  uint64
	// Bin is the folder of balsamd and balsamctl.
	Bin string
	// Folder holds the run's settings, logs and data.
	Folder string
	// Net is the first two numbers of the loopback addresses to use.
	Net string
	// Out receives what is found on the way, in plain lines.
	Out io.Writer
}

// Figure is the result of a run.
type Figure struct {
	Bench string  `json:"bench"`
	Value float64 `json:"value"`
	Unit  string  `json:"unit"`
	// Bound is the target or the most that the hardware allows, in the same unit.
	Bound float64 `json:"bound"`
	// Ratio is Value over Bound.
	Ratio float64 `json:"ratio"`
	Seed  uint64  `json:"seed"`
	// Baseline is the naive version's value in the same run, when there is one.
	Baseline *float64 `json:"baseline,omitempty"`
	// Details are further figures by name, with the unit in the name.
	Details map[string]float64 `json:"details,omitempty"`
}

// Bench is one benchmark.
type Bench struct {
	Name string
	Help string
	Run  func(ctx context.Context, o Options) (Figure, error)
}

// All returns the benchmarks, by name.
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

// Run runs the named benchmark and writes its figure as one line of JSON.
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
