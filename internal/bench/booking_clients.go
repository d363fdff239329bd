package bench

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/balsamlb/balsamlb/caller"
	"github.com/balsamlb/balsamlb/internal/emulate"
	"github.com/balsamlb/balsamlb/internal/lab"
	"github.com/balsamlb/balsamlb/outcome"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"
)

const (
	// sendTimeout is how long a caller waits for the answer to one send.
	sendTimeout = 2 * time.Second
	// bookingTimeout is how long a caller keeps resending a booking.
	bookingTimeout = 8 * time.Second
	resendPause    = 100 * time.Millisecond
	// Of every raceEvery bookings, one is raced: two callers send it at the same time. The bookings
	// with retriesNotRun have odd indices. The index of a raced booking is a multiple of raceEvery
	// plus 1; since raceEvery is even, that index is odd, and every raced booking has retriesNotRun
	// too.
	raceEvery = 4
)

// booking is one booking from the point of view of its caller.
type booking struct {
	key string
	// retriesNotRun means that the caller resends the booking after the outcome "not run".
	retriesNotRun bool
	// raced means that a second caller sends the booking at the same time.
	raced         bool
	sends         int
	lastOutcome   outcome.Outcome // empty if the last send had no answer
	answer        string
	answersDiffer bool // a duplicate got a different answer, or the outcome "not run"
}

// bookingClients are callers that send each booking until its outcome is known.
type bookingClients struct {
	service string
	// resendsAnswered means that an answered booking is sent once more as a duplicate.
	resendsAnswered bool
	instances       []string
	bookings        []*booking
	seed            uint64
	http            *fasthttp.Client
	history         *history
}

func newBookingClients(l *lab.Lab, service string, seed uint64, count int) *bookingClients {
	c := &bookingClients{service: service, resendsAnswered: service == "booking", seed: seed, history: newHistory(), http: &fasthttp.Client{
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		MaxConnsPerHost:           4096,
	}}
	for _, i := range l.Instances {
		c.instances = append(c.instances, i.CallerAddress())
	}
	for i := range count {
		c.bookings = append(c.bookings, &booking{key: fmt.Sprintf("seed-%d-%d", seed, i), retriesNotRun: i%2 == 1, raced: i%raceEvery == 1})
	}
	return c
}

// run starts the bookings at even intervals over the duration, and waits until all have ended.
func (c *bookingClients) run(ctx context.Context, duration time.Duration) {
	var g errgroup.Group
	g.SetLimit(atMostOnceWorkers)
	start := time.Now()
	for i, b := range c.bookings {
		due := duration * time.Duration(i) / time.Duration(len(c.bookings))
		sleep(ctx, time.Until(start.Add(due)))
		g.Go(func() error {
			c.book(ctx, b, rand.New(rand.NewPCG(c.seed, uint64(i))))
			return nil
		})
	}
	_ = g.Wait()
}

// book sends the booking until its outcome is known or bookingTimeout has passed. With
// resendsAnswered, an answered booking is then sent once more to a random instance.
func (c *bookingClients) book(ctx context.Context, b *booking, rng *rand.Rand) {
	deadline := time.Now().Add(bookingTimeout)
	if b.raced && b.sends == 0 {
		second := &booking{key: b.key, raced: true}
		seed := rng.Uint64()
		var wg sync.WaitGroup
		defer wg.Wait()
		wg.Go(func() { c.send(second, rand.New(rand.NewPCG(seed, 1))) })
	}
	for time.Now().Before(deadline) && ctx.Err() == nil {
		c.send(b, rng)
		if b.lastOutcome == outcome.Answered && c.resendsAnswered {
			c.send(b, rng)
		}
		if b.lastOutcome == outcome.Answered {
			return
		}
		if b.lastOutcome == outcome.NotRun && !b.retriesNotRun {
			return
		}
		sleep(ctx, resendPause)
	}
}

// settle resends every booking whose outcome is still unknown, and every booking with retriesNotRun
// whose last outcome was "not run".
func (c *bookingClients) settle(ctx context.Context) {
	var g errgroup.Group
	g.SetLimit(atMostOnceWorkers)
	rng := rand.New(rand.NewPCG(c.seed, 2))
	for _, b := range c.bookings {
		seed := rng.Uint64()
		if b.lastOutcome == outcome.Answered || b.lastOutcome == outcome.NotRun && !b.retriesNotRun {
			continue
		}
		g.Go(func() error {
			c.book(ctx, b, rand.New(rand.NewPCG(seed, 0)))
			return nil
		})
	}
	_ = g.Wait()
}

// send sends the booking once to a random instance and records the result.
func (c *bookingClients) send(b *booking, rng *rand.Rand) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + c.instances[rng.IntN(len(c.instances))] + caller.PathServices + c.service)
	req.Header.Set(caller.HeaderWorkspace, "kandy")
	req.Header.Set(caller.HeaderKey, b.key)
	req.Header.Set(caller.HeaderDeadline, strconv.FormatInt(sendTimeout.Milliseconds(), 10))
	if b.sends == 0 && !b.raced {
		req.Header.Set(caller.HeaderFirstSend, "true")
	}
	req.SetBodyString(b.key)
	b.sends++
	call := time.Now()
	err := c.http.DoTimeout(req, resp, sendTimeout)
	result := sendResult{}
	if err == nil {
		result = sendResult{outcome: outcome.Outcome(resp.Header.Peek(caller.HeaderOutcome)), answer: string(resp.Body())}
	}
	c.history.record(rng.IntN(math.MaxInt32), b.key, call, result)
	if err != nil {
		if b.lastOutcome != outcome.Answered {
			b.lastOutcome = ""
		}
		return
	}
	if b.lastOutcome == outcome.Answered {
		// A duplicate of an answered booking may be refused, but its outcome must never be
		// "not run", nor may its answer differ.
		b.answersDiffer = result.outcome == outcome.NotRun || result.outcome == outcome.Answered && result.answer != b.answer
		return
	}
	b.lastOutcome = result.outcome
	b.answer = result.answer
}

// tally compares the outcomes that the callers saw with the run counts of the servers.
func (c *bookingClients) tally(ran runCounts, o Options) atMostOnceTally {
	var t atMostOnceTally
	for _, b := range c.bookings {
		n := ran[emulate.CallKey{Service: c.service, IdempotencyKey: b.key}]
		violated := b.answersDiffer || n > 1
		if n > 1 {
			t.doubled++
		}
		if b.answersDiffer {
			t.differingAnswers++
		}
		switch b.lastOutcome {
		case outcome.Answered:
			t.answered++
			if n == 0 {
				t.lost++
				violated = true
			}
		case outcome.NotRun:
			t.notRun++
			if n > 0 {
				t.falselyNotRun++
				violated = true
			}
		default:
			t.unknown++
			if n == 0 {
				t.unknownNotRun++
			}
		}
		if violated && c.service == "booking" {
			fmt.Fprintf(o.Out, "violation: %s ran %d times, last outcome %q after %d sends\n", b.key, n, b.lastOutcome, b.sends)
		}
	}
	return t
}
