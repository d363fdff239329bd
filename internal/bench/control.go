package bench

import (
	"context"
	"fmt"
	"time"

	"github.com/balsamlb/balsamlb/internal/lab"
)

var controlBench = Bench{
	Name: "control",
	Help: "processor time, memory and bytes of one instance for control traffic, idle of callers",
	Run:  runControl,
}

// Targets for what one instance spends on control traffic: CPU time in percent of a core,
// resident memory in MB, and traffic in KB/s.
const (
	targetPercentOfCore = 2.2
	targetMegabytes     = 256
	targetKilobytes     = 18
)

// controlSize is the size of one measured system, a region of three data centres.
type controlSize struct {
	instances int
	servers   int
	measure   time.Duration
}

// shortControlSizes and longControlSizes vary the numbers of instances and of servers
// independently, so that the cost per instance and the cost per server can be told apart. The last
// of longControlSizes is close to designRegionInstances and designRegionServers.
var (
	shortControlSizes = []controlSize{
		{instances: 7, servers: 42, measure: 5 * time.Second},
		{instances: 24, servers: 90, measure: 5 * time.Second},
		{instances: 24, servers: 270, measure: 5 * time.Second},
	}
	longControlSizes = []controlSize{
		{instances: 7, servers: 42, measure: 15 * time.Second},
		{instances: 24, servers: 90, measure: 15 * time.Second},
		{instances: 24, servers: 267, measure: 15 * time.Second},
		{instances: 42, servers: 267, measure: 15 * time.Second},
		{instances: 42, servers: 467, measure: 15 * time.Second},
		{instances: 57, servers: 267, measure: 15 * time.Second},
		{instances: 57, servers: 667, measure: 20 * time.Second},
	}
)

// Size of one region of the deployment that the system is designed for.
const (
	designRegionInstances = 60
	designRegionServers   = 667
)

func runControl(ctx context.Context, o Options) (Figure, error) {
	sizes := longControlSizes
	if o.Short {
		sizes = shortControlSizes
	}
	f := Figure{Unit: "KB/s an instance", Bound: targetKilobytes, Details: make(map[string]float64)}
	var samples []controlSample
	for n, size := range sizes {
		s, err := measureControl(ctx, o, n, size)
		if err != nil {
			return f, err
		}
		samples = append(samples, s)
		fmt.Fprintf(o.Out, "%d instances, %d servers: %.2f%% of a core (%.2f%% without control instances), %.1f MB, %.2f KB/s (%.2f of it announcements), a bare wake-up %.0f us\n",
			size.instances, size.servers, s.percentOfCore, s.entryPercentOfCore, s.megabytes, s.kilobytes(), s.announceKilobytes, s.wakeupMicros)
		key := fmt.Sprintf("%d_instances_%d_servers", size.instances, size.servers)
		f.Details["percent_of_core_"+key] = s.percentOfCore
		f.Details["entry_percent_of_core_"+key] = s.entryPercentOfCore
		f.Details["wake_us_"+key] = s.wakeupMicros
		f.Details["megabytes_"+key] = s.megabytes
		f.Details["kilobytes_per_s_"+key] = s.kilobytes()
		f.Details["announce_kilobytes_per_s_"+key] = s.announceKilobytes
	}
	last := samples[len(samples)-1]
	f.Value = last.kilobytes()
	f.Details["percent_of_core"] = last.percentOfCore
	f.Details["megabytes"] = last.megabytes
	addSlopes(&f, samples)
	return f, nil
}

// addSlopes fits a plane over the numbers of instances and servers to each measured value, by least
// squares. It adds to the figure the coefficients of the plane and the plane's value for a region
// of the design size.
func addSlopes(f *Figure, samples []controlSample) {
	figures := []struct {
		name string
		of   func(controlSample) float64
	}{
		{"percent_of_core", func(s controlSample) float64 { return s.percentOfCore }},
		{"entry_percent_of_core", func(s controlSample) float64 { return s.entryPercentOfCore }},
		{"megabytes", func(s controlSample) float64 { return s.megabytes }},
		{"kilobytes_per_s", controlSample.kilobytes},
	}
	for _, g := range figures {
		var x [][]float64
		var y []float64
		for _, s := range samples {
			x = append(x, []float64{1, float64(s.size.instances), float64(s.size.servers)})
			y = append(y, g.of(s))
		}
		c, err := leastSquares(x, y)
		if err != nil {
			continue
		}
		f.Details[g.name+"_base"] = c[0]
		f.Details[g.name+"_per_instance"] = c[1]
		f.Details[g.name+"_per_server"] = c[2]
		f.Details[g.name+"_at_region_of_design"] = c[0] + c[1]*designRegionInstances + c[2]*designRegionServers
	}
}

func measureControl(ctx context.Context, o Options, n int, size controlSize) (controlSample, error) {
	l, err := lab.Start(ctx, controlLayout(o, n, size))
	if err != nil {
		return controlSample{}, err
	}
	defer l.Close()
	if err := l.WaitServers(ctx, size.servers); err != nil {
		return controlSample{}, err
	}
	// After settleTime, all connections are set up and the instances have exchanged their member
	// lists.
	time.Sleep(settleTime)
	return sampleControl(l, size)
}

const settleTime = 3 * time.Second
