package bench

import (
	"context"
	"fmt"
	"strings"
	"sync/atomic"
	"time"

	"github.com/balsamlb/balsamlb/caller"
	"github.com/balsamlb/balsamlb/internal/lab"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"
)

var scalingBench = Bench{
	Name: "scaling",
	Help: "plain calls a second through 4 entry instances of one processor over those through 1",
	Run:  runScaling,
}

const (
	scalingTarget  = 3.9
	scalingEntries = 4
	// Each of the scalingRounds measures one instance and then all instances, so that other load on
	// the machine affects both measurements alike.
	scalingRounds     = 3
	scalingShort      = 4 * time.Second
	scalingLong       = 15 * time.Second
	scalingWarmUp     = time.Second
	scalingConcurrent = 192 // concurrent callers per instance
	scalingServers    = 4
	scalingTimeout    = 5 * time.Second
)

const scalingBase = `
[service stock]
[workspace kandy]
max_in_flight = 10000
`

func runScaling(ctx context.Context, o Options) (Figure, error) {
	l, err := lab.Start(ctx, scalingLayout(o))
	if err != nil {
		return Figure{}, err
	}
	defer l.Close()
	if err := l.WaitServers(ctx, scalingServers); err != nil {
		return Figure{}, err
	}
	entries := l.Instances[:scalingEntries]
	for _, i := range entries {
		if err := l.Wait(ctx, i.Name+" readiness", func() bool { return lab.IsReady(i) }); err != nil {
			return Figure{}, err
		}
	}
	duration := scalingLong
	if o.Short {
		duration = scalingShort
	}
	var one, all float64
	for range scalingRounds {
		oneRate, err := callsPerSecond(ctx, entries[:1], duration)
		if err != nil {
			return Figure{}, err
		}
		allRate, err := callsPerSecond(ctx, entries, duration)
		if err != nil {
			return Figure{}, err
		}
		fmt.Fprintf(o.Out, "1 instance %.0f calls/s, %d instances %.0f calls/s\n", oneRate, scalingEntries, allRate)
		one += oneRate / scalingRounds
		all += allRate / scalingRounds
	}
	return Figure{
		Value: all / one, Unit: "ratio", Bound: scalingTarget,
		Details: map[string]float64{"one_calls_per_s": one, "four_calls_per_s": all},
	}, nil
}

// scalingLayout runs the control instances in processes of their own, separate from the entry
// instances that are measured.
func scalingLayout(o Options) lab.Layout {
	var fleet strings.Builder
	fmt.Fprintln(&fleet, "[data_centre colombo]\nannounce = $ANNOUNCE(colombo)")
	for n := range scalingServers {
		fmt.Fprintf(&fleet, "[server stock-%d]\naddress = $NET.1.%d:9000\ndata_centre = colombo\nservices = stock\nslots = 512\n", n, 100+n)
	}
	return lab.Layout{
		Network: o.Net, Folder: o.Folder, BinFolder: o.Bin,
		DataCentres: []lab.DataCentre{
			{Name: "colombo", Instances: scalingEntries},
			{Name: "kandy", Instances: 1, Control: true},
			{Name: "galle", Instances: 1, Control: true},
			{Name: "matara", Instances: 1, Control: true},
		},
		Emulators: []lab.Emulator{{Name: "emulator", Fleet: fleet.String()}},
		Base:      scalingBase,
		Env:       []string{"GOMAXPROCS=1"},
	}
}

// callsPerSecond keeps scalingConcurrent calls open at each instance, and returns the rate of
// those that were answered after the warm-up.
func callsPerSecond(ctx context.Context, instances []*lab.Instance, d time.Duration) (float64, error) {
	ctx, cancel := context.WithTimeout(ctx, scalingWarmUp+d)
	defer cancel()
	measureFrom := time.Now().Add(scalingWarmUp)
	var answered, failed atomic.Int64
	var g errgroup.Group
	for _, i := range instances {
		client := &fasthttp.HostClient{
			Addr: i.CallerAddress(), MaxConns: scalingConcurrent, MaxIdemponentCallAttempts: 1, ReadTimeout: scalingTimeout,
			RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		}
		for range scalingConcurrent {
			g.Go(func() error {
				for ctx.Err() == nil {
					isAnswered, err := stockLookup(client, i.CallerAddress())
					switch {
					case err != nil || !isAnswered:
						failed.Add(1)
					case time.Now().After(measureFrom):
						answered.Add(1)
					}
				}
				return nil
			})
		}
	}
	_ = g.Wait()
	if n := failed.Load(); n > answered.Load()/100 {
		return 0, fmt.Errorf("bench: %d of %d calls failed", n, n+answered.Load())
	}
	return float64(answered.Load()) / d.Seconds(), nil
}

func stockLookup(client *fasthttp.HostClient, address string) (bool, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + address + caller.PathServices + "stock")
	req.Header.Set(caller.HeaderWorkspace, "kandy")
	req.SetBodyString("{}")
	err := client.Do(req, resp)
	return resp.StatusCode() == fasthttp.StatusOK, err
}
