package bench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/balsamlb/balsamlb/backend"
	"github.com/balsamlb/balsamlb/fleet"
	"github.com/balsamlb/balsamlb/internal/lab"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
)

var latencyBench = Bench{
	Name: "latency",
	Help: "time to the first token and between tokens, beside clients that talk to the servers themselves",
	Run:  runLatency,
}

const (
	firstTokenTarget = 0.65 // s
	gapTargetMillis  = 27.0
	latencyShort     = 15 * time.Second
	latencyLong      = 120 * time.Second
	// latencyRate is the mean number of drafts per second. One in latencyDirectEvery is sent by
	// a client that talks to the backend servers itself, the others go through the system.
	latencyRate        = 20
	latencyDirectEvery = 5
	latencyTokens      = 48
)

// latencyTally collects the times that the callers measured, in seconds.
type latencyTally struct {
	mu          sync.Mutex
	first, gaps []float64
	failed      int
}

func (t *latencyTally) add(a *arrivals) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if a.err != nil || len(a.at) != latencyTokens {
		t.failed++
		return
	}
	t.first = append(t.first, a.first())
	t.gaps = append(t.gaps, a.gaps(a.start)...)
}

func runLatency(ctx context.Context, o Options) (Figure, error) {
	l, err := lab.Start(ctx, standardLayout(o))
	if err != nil {
		return Figure{}, err
	}
	defer l.Close()
	if err := l.WaitServers(ctx, standardServers); err != nil {
		return Figure{}, err
	}
	duration := latencyLong
	if o.Short {
		duration = latencyShort
	}
	var system, direct latencyTally
	sendOpenLoop(ctx, l, o.Seed, duration, &system, &direct)
	if len(system.first) == 0 || len(direct.first) == 0 {
		return Figure{}, eris.Errorf("bench: no draft was answered, %d failed", system.failed)
	}
	return latencyFigure(&system, &direct), nil
}

// sendOpenLoop sends drafts with exponentially distributed pauses. The mean rate does not
// depend on the answers.
func sendOpenLoop(ctx context.Context, l *lab.Lab, seed uint64, duration time.Duration, system, direct *latencyTally) {
	rng := rand.New(rand.NewPCG(seed, 0))
	var g errgroup.Group
	end := time.Now().Add(duration)
	for n := 0; time.Now().Before(end) && ctx.Err() == nil; n++ {
		instance := l.Instances[rng.IntN(len(l.Instances))]
		text := prompt(n, 0)
		a := newArrivals()
		if n%latencyDirectEvery == 0 {
			client := naiveClient{chain: directChain(l, rng.IntN(13*3)), name: fmt.Sprintf("direct-%d", n), prompt: text, tokens: latencyTokens}
			g.Go(func() error { client.run(ctx, a); direct.add(a); return nil })
		} else {
			g.Go(func() error {
				sendDraft(ctx, instance.CallerAddress(), text, latencyTokens, a)
				system.add(a)
				return nil
			})
		}
		pause := rng.ExpFloat64() * float64(time.Second) / latencyRate
		sleep(ctx, time.Duration(pause))
	}
	_ = g.Wait()
}

// directChain returns a chain of two advice servers of standardFleet in one data centre; index
// selects the data centre and the servers.
func directChain(l *lab.Lab, index int) func(map[string]bool) []backend.StageRef {
	dc := index % 3
	first, second := 2*(index/3%7), 2*(index/3%6)+1
	ref := func(n int, layers fleet.Range) backend.StageRef {
		return backend.StageRef{
			Server:  fmt.Sprintf("%s-advice-%d", l.Layout.DataCentres[dc].Name, n),
			Address: fmt.Sprintf("%s.%d.%d:9000", l.Layout.Network, dc+1, 100+n), Layers: layers,
		}
	}
	chain := []backend.StageRef{ref(first, fleet.Range{From: 0, To: 16}), ref(second, fleet.Range{From: 16, To: 32})}
	return func(map[string]bool) []backend.StageRef { return chain }
}

const millisPerSecond = 1000

func latencyFigure(system, direct *latencyTally) Figure {
	for _, s := range [][]float64{system.first, system.gaps, direct.first, direct.gaps} {
		slices.Sort(s)
	}
	first, gap := quantile(system.first, 0.95), quantile(system.gaps, 0.95)*millisPerSecond
	baseline := quantile(direct.first, 0.95)
	directGap := quantile(direct.gaps, 0.95) * millisPerSecond
	return Figure{
		Value:    first,
		Unit:     "s p95 to the first token",
		Bound:    firstTokenTarget,
		Baseline: &baseline,
		Details: map[string]float64{
			"first_token_added_p95_seconds":  first - baseline,
			"first_token_median_seconds":     quantile(system.first, 0.5),
			"gap_p95_milliseconds":           gap,
			"gap_target_milliseconds":        gapTargetMillis,
			"gap_direct_p95_milliseconds":    directGap,
			"gap_added_p95_milliseconds":     gap - directGap,
			"gap_median_milliseconds":        quantile(system.gaps, 0.5) * millisPerSecond,
			"gap_direct_median_milliseconds": quantile(direct.gaps, 0.5) * millisPerSecond,
			"first_token_direct_median_secs": quantile(direct.first, 0.5),
			"drafts":                         float64(len(system.first)),
			"drafts_direct":                  float64(len(direct.first)),
			"broken":                         float64(system.failed),
			"broken_direct":                  float64(direct.failed),
		},
	}
}
