package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/balsamlb/balsamlb/internal/emulate"
	"github.com/balsamlb/balsamlb/internal/lab"
	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"
)

var atMostOnceBench = Bench{
	Name: "atmostonce",
	Help: "bookings doubled, lost or falsely told not run, under kills, freezes, cuts and lost answers",
	Run:  runAtMostOnce,
}

const (
	atMostOnceShort         = 1500
	atMostOnceLong          = 10_000
	atMostOnceShortDuration = 22 * time.Second
	atMostOnceLongDuration  = 4 * time.Minute
	atMostOnceWorkers       = 32
	// settleTimeout bounds how long, after the last fault, callers resend the bookings whose
	// outcome is not settled.
	settleTimeout = 15 * time.Second
)

// atMostOnceTally counts the bookings by outcome, and the bookings whose outcome contradicts how
// often the servers ran them.
type atMostOnceTally struct {
	doubled, lost, falselyNotRun                int
	answered, notRun, unknown, differingAnswers int
	unknownNotRun                               int
}

func runAtMostOnce(ctx context.Context, o Options) (Figure, error) {
	l, err := lab.Start(ctx, atMostOnceLayout(o))
	if err != nil {
		return Figure{}, err
	}
	defer l.Close()
	if err := l.WaitServers(ctx, len(atMostOnceServers)); err != nil {
		return Figure{}, err
	}
	count, duration := atMostOnceLong, atMostOnceLongDuration
	if o.Short {
		count, duration = atMostOnceShort, atMostOnceShortDuration
	}
	injector := &faultInjector{lab: l, rng: rand.New(rand.NewPCG(o.Seed, 1)), out: o.Out}
	bookings := newBookingClients(l, "booking", o.Seed, count)
	naive := newBookingClients(l, "stock", o.Seed, count)
	if err := runUnderFaults(ctx, injector, duration, bookings, naive); err != nil {
		return Figure{}, err
	}
	settleCtx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	bookings.settle(settleCtx)
	ran, err := countRuns(l)
	if err != nil {
		return Figure{}, err
	}
	f := atMostOnceFigure(o, injector.count, bookings.tally(ran, o), naive.tally(ran, o))
	return addLinearizability(f, o, bookings, naive), nil
}

// runUnderFaults sends all loads while the injector injects faults.
func runUnderFaults(ctx context.Context, injector *faultInjector, duration time.Duration, loads ...*bookingClients) error {
	faultCtx, cancel := context.WithTimeout(ctx, duration)
	defer cancel()
	var g errgroup.Group
	g.Go(func() error { return injector.run(faultCtx) })
	for _, c := range loads {
		g.Go(func() error {
			c.run(ctx, duration)
			return nil
		})
	}
	return g.Wait()
}

func atMostOnceFigure(o Options, faults int, b, naive atMostOnceTally) Figure {
	violations := b.doubled + b.lost + b.falselyNotRun
	baseline := float64(naive.doubled + naive.lost + naive.falselyNotRun)
	fmt.Fprintf(o.Out, "bookings: %d doubled, %d lost, %d falsely not run, %d answers that differ; %d answered, %d not run, %d unknown\n",
		b.doubled, b.lost, b.falselyNotRun, b.differingAnswers, b.answered, b.notRun, b.unknown)
	return Figure{
		Value:    float64(violations + b.differingAnswers),
		Unit:     "bookings doubled, lost or falsely not run",
		Baseline: &baseline,
		Details: map[string]float64{
			"doubled_bookings":         float64(b.doubled),
			"lost_bookings":            float64(b.lost),
			"falsely_not_run_bookings": float64(b.falselyNotRun),
			"differing_answers":        float64(b.differingAnswers),
			"answered_bookings":        float64(b.answered),
			"not_run_bookings":         float64(b.notRun),
			"unknown_bookings":         float64(b.unknown),
			"unknown_not_run_bookings": float64(b.unknownNotRun),
			"naive_doubled_calls":      float64(naive.doubled),
			"faults":                   float64(faults),
		},
	}
}

// addLinearizability adds to the figure whether the recorded history of the bookings is
// linearizable. A check that ran out of time counts neither as a success nor as a violation: the
// detail stays 0, and the value does not change.
func addLinearizability(f Figure, o Options, bookings, naive *bookingClients) Figure {
	result := bookings.history.checkLinearizability()
	f.Details["linearizable"] = 0
	switch result {
	case porcupine.Ok:
		f.Details["linearizable"] = 1
	case porcupine.Illegal:
		f.Value++
	}
	f.Details["sends"] = float64(len(bookings.history.ops))
	fmt.Fprintf(o.Out, "histories: bookings %s, naive %s\n", result, naive.history.checkLinearizability())
	return f
}

// atMostOnceServers run two plain services: booking, whose calls go through the ledger, and stock,
// whose calls are retried without the ledger.
var atMostOnceServers = []string{
	"[server colombo-ordering]\naddress = $NET.1.200:9000\ndata_centre = colombo\nresolves_requests = true\nlose_every = 47\n",
	"[server kandy-ordering]\naddress = $NET.2.200:9000\ndata_centre = kandy\nlose_every = 61\ncall_time = 20ms\n",
	"[server galle-ordering]\naddress = $NET.3.200:9000\ndata_centre = galle\nresolves_requests = true\nrefuse_every = 53\n",
}

func atMostOnceLayout(o Options) lab.Layout {
	layout := standardLayout(o)
	layout.Emulators = nil
	for i, dc := range []string{"colombo", "kandy", "galle"} {
		layout.Emulators = append(layout.Emulators, lab.Emulator{
			Name:  "emulator-" + dc,
			Fleet: fmt.Sprintf("[data_centre %s]\nannounce = $ANNOUNCE(%s)\n%sservices = booking, stock\n", dc, dc, atMostOnceServers[i]),
		})
	}
	return layout
}

// runCounts holds how often each key of each service ran.
type runCounts map[emulate.CallKey]int

func countRuns(l *lab.Lab) (runCounts, error) {
	ran := make(runCounts)
	for d := range atMostOnceServers {
		address := fmt.Sprintf("%s.%d.200:9000", l.Layout.Network, d+1)
		_, body, err := fasthttp.Get(nil, "http://"+address+emulate.PathCounts)
		if err != nil {
			return nil, eris.Wrapf(err, "bench: read counts of %s", address)
		}
		var sum emulate.Summary
		if err := json.Unmarshal(body, &sum); err != nil {
			return nil, eris.Wrapf(err, "bench: decode counts of %s", address)
		}
		for _, c := range sum.Calls {
			ran[emulate.CallKey{Service: c.Service, IdempotencyKey: c.Key}] += c.Ran
		}
	}
	return ran, nil
}
