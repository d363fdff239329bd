package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/balsamlb/balsamlb/outcome"
	"golang.org/x/sync/errgroup"
)

// Caller is the part of a load that one workspace sends.
type Caller struct {
	Workspace string
	// Rate is the number of new requests per second.
	Rate float64
}

// RequestKind describes one kind of request in a load.
type RequestKind struct {
	Service string
	// Weight is the share of the requests that are of this kind, relative to the other weights.
	Weight float64
	// MinTokens and MaxTokens bound the length of the answer; both are 0 for a plain service.
	MinTokens, MaxTokens int
	// PromptWords is the length of the prompt in words.
	PromptWords int
	// IsKeyed gives each request a unique idempotency key, which all its attempts carry.
	IsKeyed bool
	// Deadline is the time from a request's arrival within which its answer must be complete.
	Deadline time.Duration
}

// OpenOptions describe an open load: requests arrive at random times, whether or not earlier
// ones have been answered.
type OpenOptions struct {
	Instances []string
	Callers   []Caller
	Kinds     []RequestKind
	// The load runs for Warmup, Duration and Cooldown. Only requests that arrive within Duration
	// are measured; requests keep arriving during Cooldown.
	Warmup   time.Duration
	Duration time.Duration
	Cooldown time.Duration
	Seed     uint64
	// MaxAttempts bounds how often a request is sent. Only a request whose outcome is that it has
	// not run is sent again; 1 means no retry.
	MaxAttempts int
}

// Figures are the measurements that the callers of an open load made.
type Figures struct {
	// Arrived is the number of requests, Attempts how often they were sent in all.
	Arrived, Attempts int
	// Outcomes and Codes count requests by the outcome and code of their last attempt.
	Outcomes map[outcome.Outcome]int
	Codes    map[outcome.Code]int
	// InTime counts the answers that were complete before the deadline, Late those after it.
	InTime, Late int
	// TokensInTime counts the tokens of answers in time. Tokens counts all tokens that arrived.
	TokensInTime int
	Tokens       int
	// WindowTokens counts the tokens that arrived within Duration and belong to complete answers,
	// whenever their requests arrived. WindowTokensInTime counts those of answers in time.
	WindowTokens       int
	WindowTokensInTime int
	// ByWorkspace counts the tokens of answers in time by workspace. A plain answer counts as one
	// token.
	ByWorkspace map[string]int
	// Violations describes the answers that violated a guarantee.
	Violations []string
	// FirstToken is the time from a request's arrival to the first token, Gap the time between two
	// tokens, and Refusal the duration of an attempt that was refused; all in microseconds.
	FirstToken, Gap, Refusal *hdrhistogram.Histogram
}

const (
	// maxInFlight bounds the requests in flight; each further arrival counts as a violation.
	maxInFlight       = 20_000
	maxMicros         = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
	// A request is no longer sent when less than minRemainingTime is left until its deadline.
	minRemainingTime = 100 * time.Millisecond
)

type openRun struct {
	opts    OpenOptions
	start   time.Time
	mu      sync.Mutex
	figures Figures
}

// RunOpen sends the load and returns its figures.
func RunOpen(ctx context.Context, o OpenOptions) Figures {
	r := &openRun{opts: o, start: time.Now(), figures: Figures{
		Outcomes:    make(map[outcome.Outcome]int),
		Codes:       make(map[outcome.Code]int),
		ByWorkspace: make(map[string]int),
		FirstToken:  hdrhistogram.New(1, maxMicros, significantDigits),
		Gap:         hdrhistogram.New(1, maxMicros, significantDigits),
		Refusal:     hdrhistogram.New(1, maxMicros, significantDigits),
	}}
	g, ctx := errgroup.WithContext(ctx)
	// The goroutines that generate arrivals count towards the limit too.
	g.SetLimit(maxInFlight + len(o.Callers))
	for i, c := range o.Callers {
		g.Go(func() error { r.generateArrivals(ctx, g, i, c); return nil })
	}
	_ = g.Wait()
	return r.figures
}

// generateArrivals starts the requests of a workspace; their arrivals form a Poisson process.
func (r *openRun) generateArrivals(ctx context.Context, g *errgroup.Group, index int, c Caller) {
	random := rand.New(rand.NewPCG(r.opts.Seed, uint64(index)))
	end := r.opts.Warmup + r.opts.Duration + r.opts.Cooldown
	at := time.Duration(0)
	for n := 0; ; n++ {
		at += time.Duration(random.ExpFloat64() / c.Rate * float64(time.Second))
		if at > end || !sleep(ctx, time.Until(r.start.Add(at))) {
			return
		}
		k := r.opts.Kinds[pickKind(random, r.opts.Kinds)]
		req := r.newRequest(random, k, c, n)
		seed := random.Uint64()
		started := g.TryGo(func() error { r.sendUntilDone(ctx, req, k, at, seed); return nil })
		if !started {
			r.addViolation("too many requests in flight")
		}
	}
}

func pickKind(random *rand.Rand, kinds []RequestKind) int {
	total := 0.0
	for _, k := range kinds {
		total += k.Weight
	}
	x := random.Float64() * total
	for i, k := range kinds {
		if x -= k.Weight; x < 0 {
			return i
		}
	}
	return len(kinds) - 1
}

func (r *openRun) newRequest(random *rand.Rand, k RequestKind, c Caller, n int) Request {
	req := Request{Workspace: c.Workspace, Service: k.Service, Deadline: k.Deadline}
	id := fmt.Sprintf("%s-%d-%s-%d", k.Service, r.opts.Seed, c.Workspace, n)
	req.Prompt = id + strings.Repeat(" word", max(0, k.PromptWords-1))
	if k.MaxTokens > 0 {
		req.MaxTokens = k.MinTokens + random.IntN(k.MaxTokens-k.MinTokens+1)
	}
	if k.IsKeyed {
		req.Key = id
	}
	return req
}

// sendUntilDone sends a request until it has run, its deadline has passed, or MaxAttempts is
// reached. It waits between attempts as long as the refusal asks for, and doesn't retry when the
// refusal names no time.
func (r *openRun) sendUntilDone(ctx context.Context, req Request, k RequestKind, at time.Duration, seed uint64) {
	random := rand.New(rand.NewPCG(seed, seed))
	arrival := time.Now()
	deadline := arrival.Add(k.Deadline)
	var last Reply
	attempts := 0
	for {
		req.Deadline = time.Until(deadline)
		if req.Deadline < minRemainingTime {
			break
		}
		req.Instance = r.opts.Instances[random.IntN(len(r.opts.Instances))]
		sentAt := time.Since(arrival)
		last = Do(ctx, req)
		attempts++
		r.recordAttempt(at, last)
		for i := range last.Tokens {
			last.Tokens[i] += sentAt
		}
		if last.Outcome != outcome.NotRun || attempts >= r.opts.MaxAttempts || last.RetryAfter == 0 {
			break
		}
		if time.Until(deadline) < last.RetryAfter || !sleep(ctx, last.RetryAfter) {
			break
		}
	}
	r.recordResult(at, req, last, attempts, time.Since(arrival) <= k.Deadline)
}

func (r *openRun) recordAttempt(at time.Duration, reply Reply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isMeasured(at) && reply.Outcome == outcome.NotRun {
		_ = r.figures.Refusal.RecordValue(reply.Took.Microseconds())
	}
}

func (r *openRun) recordResult(at time.Duration, req Request, last Reply, attempts int, inTime bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if last.Violation != "" {
		r.figures.Violations = append(r.figures.Violations, req.Service+": "+last.Violation)
	}
	f := &r.figures
	if last.Outcome == outcome.Answered {
		r.countWindowTokens(at, last, inTime)
	}
	if !r.isMeasured(at) {
		return
	}
	f.Arrived++
	f.Attempts += attempts
	f.Outcomes[last.Outcome]++
	f.Codes[last.Code]++
	f.Tokens += len(last.Tokens)
	if last.Outcome != outcome.Answered {
		return
	}
	if !inTime {
		f.Late++
		return
	}
	f.InTime++
	f.TokensInTime += len(last.Tokens)
	f.ByWorkspace[req.Workspace] += max(1, len(last.Tokens))
	for i, t := range last.Tokens {
		if i == 0 {
			_ = f.FirstToken.RecordValue(t.Microseconds())
			continue
		}
		_ = f.Gap.RecordValue((t - last.Tokens[i-1]).Microseconds())
	}
}

// isMeasured reports whether a time since the start lies within the measured Duration.
func (r *openRun) isMeasured(at time.Duration) bool {
	return at >= r.opts.Warmup && at < r.opts.Warmup+r.opts.Duration
}

// countWindowTokens counts the tokens of an answer that arrived within the measured Duration.
func (r *openRun) countWindowTokens(at time.Duration, last Reply, inTime bool) {
	for _, t := range last.Tokens {
		if !r.isMeasured(at + t) {
			continue
		}
		r.figures.WindowTokens++
		if inTime {
			r.figures.WindowTokensInTime++
		}
	}
}

func (r *openRun) addViolation(what string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.figures.Violations = append(r.figures.Violations, what)
}

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(max(0, d))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
