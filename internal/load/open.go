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

// Caller is one workspace's part of a load.
type Caller struct {
	Workspace string
	// Rate is the number of new requests a second.
	Rate float64
}

// RequestKind is one kind of request in the mix of a load.
type RequestKind struct {
	Service string
	// Weight is the kind's part of the requests.
	Weight float64
	// MinTokens and MaxTokens bound the answer's length; 0 for a plain service.
	MinTokens, MaxTokens int
	// PromptWords is the length of the prompt.
	PromptWords int
	// IsKeyed gives each request an idempotency key of its own, the same in all its sends.
	IsKeyed  bool
	Deadline time.Duration
}

// OpenOptions describes a load whose requests arrive at random times whether or not earlier ones have
// been answered.
type OpenOptions struct {
	Instances []string
	Callers   []Caller
	Kinds     []RequestKind
	// Warmup is left out of the figures; Duration follows it, and then Cooldown, in which
	// requests go on arriving.
	Warmup   time.Duration
	Duration time.Duration
	Cooldown time.Duration
	Seed     uint64
	// MaxAttempts bounds how often a request is sent when it is told not run; 1 sends it once.
	MaxAttempts int
}

// Figures are what the callers of an open load saw.
type Figures struct {
	// Arrived is the number of requests, Attempts that of their sends.
	Arrived, Attempts int
	// Outcomes counts how requests ended, by outcome of the last send.
	Outcomes map[outcome.Outcome]int
	Codes    map[outcome.Code]int
	// InTime counts answers before the deadline, and Late those after it.
	InTime, Late int
	// TokensInTime counts the tokens of answers in time, in all and by workspace. Tokens counts
	// all tokens that came.
	TokensInTime int
	Tokens       int
	// WindowTokens counts the tokens that came within Duration and belong to whole answers,
	// whenever those arrived; WindowTokensInTime those of answers in time.
	WindowTokens       int
	WindowTokensInTime int
	ByWorkspace        map[string]int
	Violations         []string
	// FirstToken, Gap and Refusal are in microseconds.
	FirstToken, Gap, Refusal *hdrhistogram.Histogram
}

const (
	// maxOutstanding bounds the requests under way; more arrivals are counted as broken.
	maxOutstanding = 20_000
	maxMicros      = int64(10 * time.Minute / time.Microsecond)
	digits         = 3
	// sendOverhead is the time before its deadline in which a request is no longer sent.
	sendOverhead = 100 * time.Millisecond
)

type openRun struct {
	o     OpenOptions
	start time.Time
	mu    sync.Mutex
	f     Figures
}

// RunOpen sends the load and returns what came back.
func RunOpen(ctx context.Context, o OpenOptions) Figures {
	r := &openRun{o: o, start: time.Now(), f: Figures{
		Outcomes:    make(map[outcome.Outcome]int),
		Codes:       make(map[outcome.Code]int),
		ByWorkspace: make(map[string]int),
		FirstToken:  hdrhistogram.New(1, maxMicros, digits),
		Gap:         hdrhistogram.New(1, maxMicros, digits),
		Refusal:     hdrhistogram.New(1, maxMicros, digits),
	}}
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(maxOutstanding + len(o.Callers))
	for i, c := range o.Callers {
		g.Go(func() error { r.arrivals(ctx, g, i, c); return nil })
	}
	_ = g.Wait()
	return r.f
}

// arrivals starts a workspace's requests at the times of a Poisson process.
func (r *openRun) arrivals(ctx context.Context, g *errgroup.Group, index int, c Caller) {
	random := rand.New(rand.NewPCG(r.o.Seed, uint64(index)))
	end := r.o.Warmup + r.o.Duration + r.o.Cooldown
	at := time.Duration(0)
	for n := 0; ; n++ {
		at += time.Duration(random.ExpFloat64() / c.Rate * float64(time.Second))
		if at > end || !pause(ctx, time.Until(r.start.Add(at))) {
			return
		}
		k := r.o.Kinds[pick(random, r.o.Kinds)]
		s := r.send(random, k, c, n)
		seed := random.Uint64()
		started := g.TryGo(func() error { r.request(ctx, s, k, at, seed); return nil })
		if !started {
			r.broken("too many requests under way")
		}
	}
}

func pick(random *rand.Rand, kinds []RequestKind) int {
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

func (r *openRun) send(random *rand.Rand, k RequestKind, c Caller, n int) Request {
	s := Request{Workspace: c.Workspace, Service: k.Service, Deadline: k.Deadline}
	id := fmt.Sprintf("%s-%d-%s-%d", k.Service, r.o.Seed, c.Workspace, n)
	s.Prompt = id + strings.Repeat(" word", max(0, k.PromptWords-1))
	if k.MaxTokens > 0 {
		s.MaxTokens = k.MinTokens + random.IntN(k.MaxTokens-k.MinTokens+1)
	}
	if k.IsKeyed {
		s.Key = id
	}
	return s
}

// request sends a request until it has run, its deadline has passed, or it was sent often
// enough, and comes back when it is asked to.
func (r *openRun) request(ctx context.Context, s Request, k RequestKind, at time.Duration, seed uint64) {
	random := rand.New(rand.NewPCG(seed, seed))
	arrival := time.Now()
	deadline := arrival.Add(k.Deadline)
	var last Reply
	sends := 0
	for {
		s.Deadline = time.Until(deadline)
		if s.Deadline < sendOverhead {
			break
		}
		s.Instance = r.o.Instances[random.IntN(len(r.o.Instances))]
		sentAt := time.Since(arrival)
		last = Do(ctx, s)
		sends++
		r.sent(at, last)
		for i := range last.Tokens {
			last.Tokens[i] += sentAt
		}
		if last.Outcome != outcome.NotRun || sends >= r.o.MaxAttempts || last.RetryAfter == 0 {
			break
		}
		if time.Until(deadline) < last.RetryAfter || !pause(ctx, last.RetryAfter) {
			break
		}
	}
	r.ended(at, s, last, sends, time.Since(arrival) <= k.Deadline)
}

func (r *openRun) sent(at time.Duration, reply Reply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isMeasured(at) && reply.Outcome == outcome.NotRun {
		_ = r.f.Refusal.RecordValue(reply.Took.Microseconds())
	}
}

func (r *openRun) ended(at time.Duration, s Request, last Reply, sends int, inTime bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if last.Violation != "" {
		r.f.Violations = append(r.f.Violations, s.Service+": "+last.Violation)
	}
	f := &r.f
	if last.Outcome == outcome.Answered {
		r.countWindow(at, last, inTime)
	}
	if !r.isMeasured(at) {
		return
	}
	f.Arrived++
	f.Attempts += sends
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
	f.ByWorkspace[s.Workspace] += max(1, len(last.Tokens))
	for i, t := range last.Tokens {
		if i == 0 {
			_ = f.FirstToken.RecordValue(t.Microseconds())
			continue
		}
		_ = f.Gap.RecordValue((t - last.Tokens[i-1]).Microseconds())
	}
}

// isMeasured reports whether a request that arrived at the time counts.
func (r *openRun) isMeasured(at time.Duration) bool {
	return at >= r.o.Warmup && at < r.o.Warmup+r.o.Duration
}

// countWindow counts the tokens of an answer that came within the measured time.
func (r *openRun) countWindow(at time.Duration, last Reply, inTime bool) {
	for _, t := range last.Tokens {
		if !r.isMeasured(at + t) {
			continue
		}
		r.f.WindowTokens++
		if inTime {
			r.f.WindowTokensInTime++
		}
	}
}

func (r *openRun) broken(what string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.f.Violations = append(r.f.Violations, what)
}

func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(max(0, d))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
