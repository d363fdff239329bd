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
	// recoveryShort and recoveryLong are numbers of trials per fault.
	recoveryShort = 6
	recoveryLong  = 60
	// recoveryDrafts is the number of concurrent drafts that run through the system. The same
	// number runs through naive clients.
	recoveryDrafts = 6
	recoveryTokens = 150
	// recoveryWarmupTokens is the number of tokens that each draft has received before the
	// fault.
	recoveryWarmupTokens = 30
	promptTokens         = 24
	// A draft counts as affected by the fault when its largest gap exceeds affectedFactor times
	// its median gap.
	affectedFactor = 3
)

// recoveryRanges are the layer ranges of the three stages. recoveryServersPerStage servers hold
// each range.
var recoveryRanges = []fleet.Range{{From: 0, To: 10}, {From: 10, To: 20}, {From: 20, To: 32}}

const recoveryServersPerStage = 3

// recoveryTally collects the largest gaps of the affected drafts, in seconds, and the number
// of drafts that failed.
type recoveryTally struct {
	system, naive []float64
	failed        int
	naiveFailed   int
}

type recoveryRun struct {
	lab        *lab.Lab
	firstStage int // stage of the first trial
	printf     func(format string, args ...any)
}

func runRecovery(ctx context.Context, o Options) (Figure, error) {
	l, err := lab.Start(ctx, recoveryLayout(o))
	if err != nil {
		return Figure{}, err
	}
	defer l.Close()
	run := &recoveryRun{
		lab: l, firstStage: int(o.Seed % uint64(len(recoveryRanges))),
		printf: func(format string, args ...any) { fmt.Fprintf(o.Out, format+"\n", args...) },
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
			"kill_broken":                  float64(kill.failed),
			"kill_naive_median_seconds":    median(kill.naive),
			"kill_naive_broken":            float64(kill.naiveFailed),
			"silence_p99_seconds":          p99(silence.system),
			"silence_median_seconds":       median(silence.system),
			"silence_target_seconds":       silenceTarget,
			"silence_drafts":               float64(len(silence.system)),
			"silence_broken":               float64(silence.failed),
			"silence_naive_p99_seconds":    p99(silence.naive),
			"silence_naive_median_seconds": median(silence.naive),
			"silence_naive_broken":         float64(silence.naiveFailed),
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

// trial runs drafts through the system and through naive clients on the same servers, and
// injects the fault at one of those servers.
func (r *recoveryRun) trial(ctx context.Context, n int, tally *recoveryTally, injectFault func(server string) error) error {
	if err := r.lab.WaitServers(ctx, len(recoveryRanges)*recoveryServersPerStage); err != nil {
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
	inUse, err := r.serversInUse()
	if err != nil {
		return err
	}
	for i := range recoveryDrafts {
		a := newArrivals()
		naive[i] = a
		client := naiveClient{
			chain: func(failed map[string]bool) []backend.StageRef { return r.chain(inUse, failed) },
			name:  fmt.Sprintf("naive-%d-%d", n, i), prompt: prompt(n, i), tokens: recoveryTokens,
		}
		g.Go(func() error { client.run(ctx, a); return nil })
	}
	if err := r.waitTokens(ctx, naive); err != nil {
		return err
	}
	// The trials inject the fault at each stage in turn, because the stages differ: only the
	// connection of the last stage carries tokens.
	server := inUse[(n+r.firstStage)%len(inUse)]
	faultAt := time.Now()
	if err := injectFault(server); err != nil {
		return err
	}
	_ = g.Wait()
	tally.system = append(tally.system, affectedGaps(system, faultAt, &tally.failed)...)
	tally.naive = append(tally.naive, affectedGaps(naive, faultAt, &tally.naiveFailed)...)
	r.printf("trial %d: fault at %s", n, server)
	return r.restartKilled()
}

func prompt(trial, draft int) string {
	return strings.TrimSpace(strings.Repeat(fmt.Sprintf("barriers-%d-%d ", trial, draft), promptTokens))
}

// affectedGaps returns, for each affected draft, the largest gap after the fault. It adds the
// number of drafts that failed to *failed.
func affectedGaps(drafts []*arrivals, faultAt time.Time, failed *int) []float64 {
	var out []float64
	for _, a := range drafts {
		gaps := a.gaps(faultAt)
		if a.err != nil || len(gaps) == 0 {
			*failed++
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
			if a.count() < recoveryWarmupTokens {
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

// serversInUse returns, for each layer range, a server with requests in flight.
func (r *recoveryRun) serversInUse() ([]string, error) {
	s, err := operator.NewClient(r.lab.Instances[0].OperatorAddress()).Status()
	if err != nil {
		return nil, err
	}
	inUse := make([]string, len(recoveryRanges))
	for _, b := range s.Servers {
		for i, layers := range recoveryRanges {
			if b.From == layers.From && b.InFlight > 0 {
				inUse[i] = b.Name
			}
		}
	}
	if slices.Contains(inUse, "") {
		return nil, eris.Errorf("bench: at least one layer range has no server with requests in flight; servers in use by layer range, empty if none: %v", inUse)
	}
	return inUse, nil
}

// chain returns the servers in use, with those that have failed replaced by others of the same
// layer range.
func (r *recoveryRun) chain(inUse []string, failed map[string]bool) []backend.StageRef {
	var out []backend.StageRef
	for i, layers := range recoveryRanges {
		name := inUse[i]
		for n := 0; failed[name] && n < recoveryServersPerStage; n++ {
			name = recoveryServer(i, n)
		}
		out = append(out, backend.StageRef{Server: name, Address: r.address(name), Layers: layers})
	}
	return out
}

func recoveryServer(stage, n int) string { return fmt.Sprintf("range-%d-%d", stage, n) }

func (r *recoveryRun) address(server string) string {
	var stage, n int
	// Scanning can't fail: the name comes from recoveryServer.
	_, _ = fmt.Sscanf(server, "range-%d-%d", &stage, &n)
	return fmt.Sprintf("%s.1.%d:9000", r.lab.Layout.Network, 100+stage*recoveryServersPerStage+n)
}

func (r *recoveryRun) kill(server string) error {
	r.lab.Emulators[server].Kill()
	return nil
}

func (r *recoveryRun) silence(server string) error {
	return emulate.SetFault(r.address(server), emulate.Fault{Kind: emulate.FaultSilence})
}

// restartKilled starts the processes of killed servers again.
func (r *recoveryRun) restartKilled() error {
	for _, p := range r.lab.Emulators {
		if p.HasExited() {
			if err := p.Start(); err != nil {
				return err
			}
		}
	}
	return nil
}

// recoveryLayout has one instance and recoveryServersPerStage servers for each layer range,
// each server in a process of its own.
func recoveryLayout(o Options) lab.Layout {
	layout := lab.Layout{
		Network: o.Net, Folder: o.Folder, BinFolder: o.Bin,
		DataCentres: []lab.DataCentre{{Name: "colombo", Instances: 1, Control: true}},
		Base:        standardBase,
	}
	for stage := range recoveryRanges {
		for n := range recoveryServersPerStage {
			name := recoveryServer(stage, n)
			layout.Emulators = append(layout.Emulators, lab.Emulator{Name: name, Fleet: recoveryFleet(name)})
		}
	}
	return layout
}

func recoveryFleet(localServer string) string {
	var b strings.Builder
	b.WriteString("[data_centre colombo]\nannounce = $ANNOUNCE(colombo)\n")
	for stage, layers := range recoveryRanges {
		for n := range recoveryServersPerStage {
			name := recoveryServer(stage, n)
			fmt.Fprintf(&b, "[server %s]\naddress = $NET.1.%d:9000\ndata_centre = colombo\nmodel = icing-7b\nlayers = %d-%d\nstep = 2000\npeer = %t\n",
				name, 100+stage*recoveryServersPerStage+n, layers.From, layers.To, name != localServer)
		}
	}
	return b.String()
}
