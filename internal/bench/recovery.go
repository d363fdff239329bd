package bench

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/balsamlb/balsamlb/backend"
	"github.com/balsamlb/balsamlb/fleet"
	"github.com/balsamlb/balsamlb/internal/emulate"
	"github.com/balsamlb/balsamlb/internal/lab"
	"github.com/balsamlb/balsamlb/operator"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
)

var recoveryBench = Bench{
	Name: "recovery",
	Help: "gap in a stream when the process of a stage is killed, and when its connections go silent",
	Run:  runRecovery,
}

const (
	killTarget    = 0.5 // s
	silenceTarget = 1.5 // s
	// recoveryShort and recoveryLong are trials of each fault.
	recoveryShort = 6
	recoveryLong  = 60
	// recoveryDrafts run through the system, and as many through the naive client.
	recoveryDrafts = 6
	recoveryTokens = 150
	// recoveryWarm is the number of tokens before the fault.
	recoveryWarm = 30
	promptTokens = 24
	// affectedFactor is how many usual gaps make a draft one that met the fault.
	affectedFactor = 3
)

// recoveryRanges are the layers of the three stages; recoverySpares servers hold each.
var recoveryRanges = []fleet.Range{{From: 0, To: 10}, {From: 10, To: 20}, {From: 20, To: 32}}

const recoverySpares = 3

// recoveryTally holds the largest gaps of the drafts that met a fault, in seconds.
type recoveryTally struct {
	system, naive []float64
	broken        int
	naiveBroken   int
}

type recoveryRun struct {
	lab   *lab.Lab
	first int // stage of the first trial
	out   func(format string, args ...any)
}

func runRecovery(ctx context.Context, o Options) (Figure, error) {
	l, err := lab.Start(ctx, recoveryLayout(o))
	if err != nil {
		return Figure{}, err
	}
	defer l.Close()
	run := &recoveryRun{
		lab: l, first: int(o.Seed % uint64(len(recoveryRanges))),
		out: func(format string, args ...any) { fmt.Fprintf(o.Out, format+"\n", args...) },
	}
	trials := recoveryLong
	if o.Short {
		trials = recoveryShort
	}
	var kill, silence recoveryTally
	for i := range trials {
		if err := run.trial(ctx, i, &kill, run.kill); err != nil {
			return Figure{}, err
		}
		if err := run.trial(ctx, trials+i, &silence, run.silence); err != nil {
			return Figure{}, err
		}
	}
	return recoveryFigure(kill, silence), nil
}

func recoveryFigure(kill, silence recoveryTally) Figure {
	baseline := p99(kill.naive)
	return Figure{
		Value:    p99(kill.system),
		Unit:     "s p99 gap in a stream when a stage is killed",
		Bound:    killTarget,
		Baseline: &baseline,
		Details: map[string]float64{
			"kill_median_seconds":          median(kill.system),
			"kill_drafts":                  float64(len(kill.system)),
			"kill_broken":                  float64(kill.broken),
			"kill_naive_median_seconds":    median(kill.naive),
			"kill_naive_broken":            float64(kill.naiveBroken),
			"silence_p99_seconds":          p99(silence.system),
			"silence_median_seconds":       median(silence.system),
			"silence_target_seconds":       silenceTarget,
			"silence_drafts":               float64(len(silence.system)),
			"silence_broken":               float64(silence.broken),
			"silence_naive_p99_seconds":    p99(silence.naive),
			"silence_naive_median_seconds": median(silence.naive),
			"silence_naive_broken":         float64(silence.naiveBroken),
		},
	}
}

func p99(seconds []float64) float64 {
	slices.Sort(seconds)
	return quantile(seconds, 0.99)
}

func median(seconds []float64) float64 {
	slices.Sort(seconds)
	return quantile(seconds, 0.5)
}

// trial runs drafts through the system and the naive client over the same servers, and lets
// the fault act on one of these.
func (r *recoveryRun) trial(ctx context.Context, n int, tally *recoveryTally, fault func(server string) error) error {
	if err := r.lab.WaitServers(ctx, len(recoveryRanges)*recoverySpares); err != nil {
		return err
	}
	g, ctx := errgroup.WithContext(ctx)
	system, naive := make([]*arrivals, recoveryDrafts), make([]*arrivals, recoveryDrafts)
	for i := range recoveryDrafts {
		a := newArrivals()
		system[i] = a
		g.Go(func() error {
			sendDraft(ctx, r.lab.Instances[0].CallerAddress(), prompt(n, i), recoveryTokens, a)
			return nil
		})
	}
	if err := r.waitTokens(ctx, system); err != nil {
		return err
	}
	used, err := r.used()
	if err != nil {
		return err
	}
	for i := range recoveryDrafts {
		a := newArrivals()
		naive[i] = a
		client := naiveClient{
			chain: func(failed map[string]bool) []backend.StageRef { return r.chain(used, failed) },
			name:  fmt.Sprintf("naive-%d-%d", n, i), prompt: prompt(n, i), tokens: recoveryTokens,
		}
		g.Go(func() error { client.run(ctx, a); return nil })
	}
	if err := r.waitTokens(ctx, naive); err != nil {
		return err
	}
	// Each stage in turn, since only the last one's connection carries tokens.
	server := used[(n+r.first)%len(used)]
	at := time.Now()
	if err := fault(server); err != nil {
		return err
	}
	_ = g.Wait()
	tally.system = append(tally.system, affected(system, at, &tally.broken)...)
	tally.naive = append(tally.naive, affected(naive, at, &tally.naiveBroken)...)
	r.out("trial %d: fault at %s", n, server)
	return r.restart()
}

func prompt(trial, draft int) string {
	return strings.TrimSpace(strings.Repeat(fmt.Sprintf("barriers-%d-%d ", trial, draft), promptTokens))
}

// affected returns the largest gap of each draft that met the fault.
func affected(drafts []*arrivals, at time.Time, broken *int) []float64 {
	var out []float64
	for _, a := range drafts {
		gaps := a.gaps(at)
		if a.err != nil || len(gaps) == 0 {
			*broken++
			continue
		}
		if largest := slices.Max(gaps); largest > affectedFactor*median(slices.Clone(gaps)) {
			out = append(out, largest)
		}
	}
	return out
}

func (r *recoveryRun) waitTokens(ctx context.Context, drafts []*arrivals) error {
	var failure error
	err := r.lab.Wait(ctx, "tokens of all drafts", func() bool {
		for _, a := range drafts {
			if failure = a.failure(); failure != nil {
				return true
			}
			if a.count() < recoveryWarm {
				return false
			}
		}
		return true
	})
	if failure != nil {
		return failure
	}
	return err
}

// used returns a server that has work for each range.
func (r *recoveryRun) used() ([]string, error) {
	s, err := operator.NewClient(r.lab.Instances[0].OperatorAddress()).Status()
	if err != nil {
		return nil, err
	}
	used := make([]string, len(recoveryRanges))
	for _, b := range s.Servers {
		for i, layers := range recoveryRanges {
			if b.From == layers.From && b.InFlight > 0 {
				used[i] = b.Name
			}
		}
	}
	if slices.Contains(used, "") {
		return nil, eris.Errorf("bench: no server of some range has work: %v", used)
	}
	return used, nil
}

// chain returns the used servers, or others in place of those that have failed.
func (r *recoveryRun) chain(used []string, failed map[string]bool) []backend.StageRef {
	var out []backend.StageRef
	for i, layers := range recoveryRanges {
		name := used[i]
		for n := 0; failed[name] && n < recoverySpares; n++ {
			name = recoveryServer(i, n)
		}
		out = append(out, backend.StageRef{Server: name, Address: r.address(name), Layers: layers})
	}
	return out
}

func recoveryServer(stage, n int) string { return fmt.Sprintf("range-%d-%d", stage, n) }

func (r *recoveryRun) address(server string) string {
	var stage, n int
	// The name is one of recoveryServer's.
	_, _ = fmt.Sscanf(server, "range-%d-%d", &stage, &n)
	return fmt.Sprintf("%s.1.%d:9000", r.lab.Layout.Network, 100+stage*recoverySpares+n)
}

func (r *recoveryRun) kill(server string) error {
	r.lab.Emulators[server].Kill()
	return nil
}

func (r *recoveryRun) silence(server string) error {
	return emulate.SetFault(r.address(server), emulate.Fault{Kind: emulate.FaultSilence})
}

// restart starts the processes that were killed.
func (r *recoveryRun) restart() error {
	for _, p := range r.lab.Emulators {
		if p.HasExited() {
			if err := p.Start(); err != nil {
				return err
			}
		}
	}
	return nil
}

// recoveryLayout is one instance before three ranges of layers, each server in a process of
// its own.
func recoveryLayout(o Options) lab.Layout {
	layout := lab.Layout{
		Network: o.Net, Folder: o.Folder, BinFolder: o.Bin,
		DataCentres: []lab.DataCentre{{Name: "colombo", Instances: 1, Control: true}},
		Base:        standardBase,
	}
	for stage := range recoveryRanges {
		for n := range recoverySpares {
			name := recoveryServer(stage, n)
			layout.Emulators = append(layout.Emulators, lab.Emulator{Name: name, Fleet: recoveryFleet(name)})
		}
	}
	return layout
}

func recoveryFleet(own string) string {
	var b strings.Builder
	b.WriteString("[data_centre colombo]\nannounce = $ANNOUNCE(colombo)\n")
	for stage, layers := range recoveryRanges {
		for n := range recoverySpares {
			name := recoveryServer(stage, n)
			fmt.Fprintf(&b, "[server %s]\naddress = $NET.1.%d:9000\ndata_centre = colombo\nmodel = icing-7b\nlayers = %d-%d\nstep = 2000\npeer = %t\n",
				name, 100+stage*recoverySpares+n, layers.From, layers.To, name != own)
		}
	}
	return b.String()
}
