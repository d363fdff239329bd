package bench

import (
	"context"
	"fmt"
	"path/filepath"
	"strings"
	"time"

	"github.com/balsamlb/balsamlb/internal/lab"
	"github.com/balsamlb/balsamlb/internal/load"
	"github.com/balsamlb/balsamlb/outcome"
)

// policyCase is one run of a policy benchmark.
type policyCase struct {
	name  string
	fleet string
	naive bool
	// load is the rate at which tokens are requested, as a multiple of the throughput bound.
	load        float64
	deadline    time.Duration
	maxAttempts int
	warmup      time.Duration
	duration    time.Duration
}

// Sizes of the drafts that are sent.
const (
	draftMinTokens = 8
	draftMaxTokens = 16
	draftWords     = 20
	meanTokens     = float64(draftMinTokens+draftMaxTokens) / 2
)

// workspaceShares holds the share of the load that each workspace sends. One workspace sends half
// of the load.
var workspaceShares = []struct {
	name  string
	share float64
}{{"colombo", 0.5}, {"kandy", 0.2}, {"galle", 0.2}, {"matara", 0.1}}

const policyBase = `
[service draft]
kind = draft
model = icing-7b
layers = 32
[service stock]
[workspace colombo]
max_in_flight = 100000
[workspace kandy]
max_in_flight = 100000
[workspace galle]
max_in_flight = 100000
[workspace matara]
max_in_flight = 100000
`

// policyResult is the result of one policyCase.
type policyResult struct {
	bound   float64
	figures load.Figures
	seconds float64
}

// tokenRates returns the tokens per second of complete answers, and of the answers that were
// complete before their deadline.
func (r policyResult) tokenRates() (complete, inTime float64) {
	return float64(r.figures.WindowTokens) / r.seconds, float64(r.figures.WindowTokensInTime) / r.seconds
}

// runPolicy starts the system with the fleet of the case, and sends drafts to it.
func runPolicy(ctx context.Context, o Options, c policyCase) (policyResult, error) {
	servers, err := parseServers(c.fleet)
	if err != nil {
		return policyResult{}, err
	}
	layout := lab.Layout{
		Network:   o.Net,
		Folder:    filepath.Join(o.Folder, strings.ReplaceAll(c.name, " ", "-")),
		BinFolder: o.Bin,
		DataCentres: []lab.DataCentre{
			{Name: "colombo", Instances: 3, Control: true},
			{Name: "kandy", Instances: 2, Control: true},
			{Name: "galle", Instances: 2, Control: true},
		},
		Emulators: []lab.Emulator{{Name: "emulator", Fleet: c.fleet}},
		Base:      policyBase,
	}
	if c.naive {
		layout.ExtraSettings = func(*lab.Instance) string { return "[bench]\nnaive = true\n" }
	}
	l, err := lab.Start(ctx, layout)
	if err != nil {
		return policyResult{}, err
	}
	defer l.Close()
	if err := l.WaitServers(ctx, len(servers)); err != nil {
		return policyResult{}, err
	}
	r := policyResult{bound: throughputBound(servers, benchLayers, draftWords, meanTokens), seconds: c.duration.Seconds()}
	r.figures = load.RunOpen(ctx, c.openLoad(l, r.bound, o.Seed))
	if len(r.figures.Violations) > 0 {
		return r, fmt.Errorf("bench: %d answers violated a guarantee, the first: %s", len(r.figures.Violations), r.figures.Violations[0])
	}
	c.printResult(o, r)
	return r, nil
}

func (c policyCase) openLoad(l *lab.Lab, bound float64, seed uint64) load.OpenOptions {
	open := load.OpenOptions{
		Kinds: []load.RequestKind{{
			Service: "draft", Weight: 1, MinTokens: draftMinTokens, MaxTokens: draftMaxTokens, PromptWords: draftWords, Deadline: c.deadline,
		}},
		Warmup:      c.warmup,
		Duration:    c.duration,
		Cooldown:    time.Second,
		Seed:        seed,
		MaxAttempts: c.maxAttempts,
	}
	for _, i := range l.Instances {
		open.Instances = append(open.Instances, i.CallerAddress())
	}
	rate := c.load * bound / meanTokens
	for _, b := range workspaceShares {
		open.Callers = append(open.Callers, load.Caller{Workspace: b.name, Rate: rate * b.share})
	}
	return open
}

func (c policyCase) printResult(o Options, r policyResult) {
	f := r.figures
	complete, inTime := r.tokenRates()
	fmt.Fprintf(o.Out, "%s: bound %.0f tokens/s, complete %.3f, in time %.3f; arrived %d, attempts %d, answered %d, late %d, not run %d, failed %d, unknown %d; first token p95 %.2f s, gap p95 %.0f ms, refusal p99 %.1f ms\n",
		c.name, r.bound, complete/r.bound, inTime/r.bound, f.Arrived, f.Attempts,
		f.Outcomes[outcome.Answered], f.Late, f.Outcomes[outcome.NotRun], f.Outcomes[outcome.Failed], f.Outcomes[outcome.Unknown],
		float64(f.FirstToken.ValueAtQuantile(95))/1e6, float64(f.Gap.ValueAtQuantile(95))/1e3, float64(f.Refusal.ValueAtQuantile(99))/1e3)
}

var throughputBench = Bench{
	Name: "throughput",
	Help: "answered tokens/s at full load over what the accelerators allow, beside a naive router",
	Run: func(ctx context.Context, o Options) (Figure, error) {
		return runCases(ctx, o, policyCase{fleet: tunedFleet(o.Seed), deadline: tunedDeadline, load: fullLoad}, completeRate)
	},
}

var throughputUnseenBench = Bench{
	Name: "throughput-unseen",
	Help: "throughput on a fleet that nothing was tuned on",
	Run: func(ctx context.Context, o Options) (Figure, error) {
		return runCases(ctx, o, policyCase{fleet: unseenFleet(o.Seed), deadline: unseenDeadline, load: fullLoad}, completeRate)
	},
}

var overloadBench = Bench{
	Name: "overload",
	Help: "tokens/s of requests answered in time at twice the load, over what the accelerators allow",
	Run: func(ctx context.Context, o Options) (Figure, error) {
		return runCases(ctx, o, policyCase{fleet: tunedFleet(o.Seed), deadline: tunedDeadline, load: doubleLoad}, inTimeRate)
	},
}

var overloadUnseenBench = Bench{
	Name: "overload-unseen",
	Help: "overload on a fleet that nothing was tuned on",
	Run: func(ctx context.Context, o Options) (Figure, error) {
		return runCases(ctx, o, policyCase{fleet: unseenFleet(o.Seed), deadline: unseenDeadline, load: doubleLoad}, inTimeRate)
	},
}

// Deadlines of the drafts. On the unseen fleet, the longest chains take up to 7.5 s for 16
// tokens when all servers are busy.
const (
	tunedDeadline  = 6 * time.Second
	unseenDeadline = 9 * time.Second
)

// Values of policyCase.load.
const (
	fullLoad   = 1.2
	doubleLoad = 2
)

func completeRate(r policyResult) float64 {
	w, _ := r.tokenRates()
	return w
}

func inTimeRate(r policyResult) float64 {
	_, in := r.tokenRates()
	return in
}

// runCases runs the system and the naive version with the same fleet and load. The function value
// computes the figure's value from the result of the system, and the baseline from the result of
// the naive version.
func runCases(ctx context.Context, o Options, c policyCase, value func(policyResult) float64) (Figure, error) {
	c.name = "balsamlb"
	c.maxAttempts = 5
	c.warmup, c.duration = 4*time.Second, 6*time.Second
	if !o.Short {
		c.warmup, c.duration = 6*time.Second, 30*time.Second
	}
	system, err := runPolicy(ctx, o, c)
	if err != nil {
		return Figure{}, err
	}
	naiveCase := c
	naiveCase.name, naiveCase.naive = "naive", true
	naive, err := runPolicy(ctx, o, naiveCase)
	if err != nil {
		return Figure{}, err
	}
	baseline := value(naive)
	f := Figure{Value: value(system), Unit: "tokens/s", Bound: system.bound, Baseline: &baseline}
	f.Details = map[string]float64{
		"baseline_ratio":       baseline / naive.bound,
		"first_token_p95_s":    float64(system.figures.FirstToken.ValueAtQuantile(95)) / 1e6,
		"gap_p95_ms":           float64(system.figures.Gap.ValueAtQuantile(95)) / 1e3,
		"refusal_p99_ms":       float64(system.figures.Refusal.ValueAtQuantile(99)) / 1e3,
		"answered_in_time":     float64(system.figures.InTime),
		"answered_late":        float64(system.figures.Late),
		"baseline_in_time":     float64(naive.figures.InTime),
		"baseline_late":        float64(naive.figures.Late),
		"requests":             float64(system.figures.Arrived),
		"sends":                float64(system.figures.Attempts),
		"refused_for_good":     float64(system.figures.Outcomes[outcome.NotRun]),
		"failed":               float64(system.figures.Outcomes[outcome.Failed]),
		"unknown":              float64(system.figures.Outcomes[outcome.Unknown]),
		"load_over_bound":      c.load,
		"baseline_first_p95_s": float64(naive.figures.FirstToken.ValueAtQuantile(95)) / 1e6,
	}
	return f, nil
}
