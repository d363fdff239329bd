package bench

import (
	"context"
	"fmt"
	"time"

	"github.com/balsamlb/balsamlb/internal/bench/spread"
)

var membershipBench = Bench{
	Name: "membership",
	Help: "ways of spreading leases and liveness: messages, bytes, age and time to detect a failure",
	Run:  runMembership,
}

// regionInstances is the number of instances in one region of the deployment that the system is
// designed for.
const regionInstances = 60

// runMembership compares the dissemination strategies at several sizes. The value is the time that
// mesh, the strategy in use, takes to detect a failure at the size of a region. The baseline is the
// time that json_mesh, the strategy of the first version, takes.
func runMembership(ctx context.Context, o Options) (Figure, error) {
	sizes := []int{7, 24, regionInstances}
	measure := 10 * time.Second
	if o.Short {
		sizes = []int{24, regionInstances}
		measure = 2 * time.Second
	}
	f := Figure{Unit: "s to detect a failure", Bound: 3, Details: make(map[string]float64)}
	for _, n := range sizes {
		for _, strategy := range spread.Strategies() {
			r, err := spread.Run(ctx, strategy, n, measure)
			if err != nil {
				return f, err
			}
			fmt.Fprintf(o.Out, "%-9s %2d nodes: %6.1f messages/s, %6.1f KB/s, %5.2f%% of a core, age p99 %4d ms, one stopped %4d ms, five stopped %4d ms, false failures %d\n",
				strategy.Name, n, r.MessagesPerSecond, r.KilobytesPerSecond, r.PercentOfCore, r.AgeP99.Milliseconds(),
				r.DetectOne.Milliseconds(), r.DetectFive.Milliseconds(), r.FalseFailures)
			addStrategy(&f, strategy.Name, n, r)
		}
	}
	return f, nil
}

func addStrategy(f *Figure, name string, n int, r spread.Result) {
	key := fmt.Sprintf("_%s_%d_nodes", name, n)
	f.Details["messages_per_s"+key] = r.MessagesPerSecond
	f.Details["kilobytes_per_s"+key] = r.KilobytesPerSecond
	f.Details["percent_of_core"+key] = r.PercentOfCore
	f.Details["age_p99_ms"+key] = float64(r.AgeP99.Milliseconds())
	f.Details["detect_one_ms"+key] = float64(r.DetectOne.Milliseconds())
	f.Details["detect_five_ms"+key] = float64(r.DetectFive.Milliseconds())
	f.Details["false_failures"+key] = float64(r.FalseFailures)
	if n != regionInstances {
		return
	}
	switch name {
	case "mesh":
		f.Value = r.DetectOne.Seconds()
	case "json_mesh":
		baseline := r.DetectOne.Seconds()
		f.Baseline = &baseline
	}
}
