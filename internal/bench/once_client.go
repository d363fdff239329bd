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
	// sendTimeout is how long a caller waits for one send.
	sendTimeout = 2 * time.Second
	// bookingLimit is for how long a caller sends a booking again.
	bookingLimit = 8 * time.Second
	resendPause  = 100 * time.Millisecond
	// raceEvery is the number of bookings of which one is sent by two callers at a time. It
	// is even, so that those callers go on after "not run".
	raceEvery = 4
)

// onceBooking is one booking as its caller sees it.
type onceBooking struct {
	key string
	// keepsTrying says that the caller sends again after "not run".
	keepsTrying bool
	// raced says that a second caller sends the booking at the same time.
	raced   bool
	sends   int
	last    outcome.Outcome // "" when the last send had no answer
	answer  string
	differs bool
}

// onceClients are callers that send each booking until they know its outcome.
type onceClients struct {
	service string
	// repeats says that an answered booking is sent once more.
	repeats   bool
	instances []string
	bookings  []*onceBooking
	seed      uint64
	http      *fasthttp.Client
	history   *history
}

func newOnceClients(l *lab.Lab, service string, seed uint64, count int) *onceClients {
	c := &onceClients{service: service, repeats: service == "booking", seed: seed, history: newHistory(), http: &fasthttp.Client{
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		MaxConnsPerHost:           4096,
	}}
	for _, i := range l.Instances {
		c.instances = append(c.instances, i.CallerAddress())
	}
	for i := range count {
		c.bookings = append(c.bookings, &onceBooking{key: fmt.Sprintf("seed-%d-%d", seed, i), keepsTrying: i%2 == 1, raced: i%raceEvery == 1})
	}
	return c
}

// run spreads the bookings over the time.
func (c *onceClients) run(ctx context.Context, duration time.Duration) {
	var g errgroup.Group
	g.SetLimit(atMostOnceWorkers)
	start := time.Now()
	for i, b := range c.bookings {
		due := duration * time.Duration(i) / time.Duration(len(c.bookings))
		wait(ctx, time.Until(start.Add(due)))
		g.Go(func() error {
			c.book(ctx, b, rand.New(rand.NewPCG(c.seed, uint64(i))))
			return nil
		})
	}
	_ = g.Wait()
}

// book sends the booking until its outcome is known, and then once more elsewhere.
func (c *onceClients) book(ctx context.Context, b *onceBooking, rng *rand.Rand) {
	limit := time.Now().Add(bookingLimit)
	if b.raced && b.sends == 0 {
		second := &onceBooking{key: b.key, raced: true}
		seed := rng.Uint64()
		var wg sync.WaitGroup
		defer wg.Wait()
		wg.Go(func() { c.send(second, rand.New(rand.NewPCG(seed, 1))) })
	}
	for time.Now().Before(limit) && ctx.Err() == nil {
		c.send(b, rng)
		if b.last == outcome.Answered && c.repeats {
			c.send(b, rng)
		}
		if b.last == outcome.Answered {
			return
		}
		if b.last == outcome.NotRun && !b.keepsTrying {
			return
		}
		wait(ctx, resendPause)
	}
}

// settle asks again for every booking whose outcome is not known yet.
func (c *onceClients) settle(ctx context.Context) {
	var g errgroup.Group
	g.SetLimit(atMostOnceWorkers)
	rng := rand.New(rand.NewPCG(c.seed, 2))
	for _, b := range c.bookings {
		seed := rng.Uint64()
		if b.last == outcome.Answered || b.last == outcome.NotRun && !b.keepsTrying {
			continue
		}
		g.Go(func() error {
			c.book(ctx, b, rand.New(rand.NewPCG(seed, 0)))
			return nil
		})
	}
	_ = g.Wait()
}

// send sends the booking once to any instance and notes what its caller is told.
func (c *onceClients) send(b *onceBooking, rng *rand.Rand) {
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
	told := onceOutput{}
	if err == nil {
		told = onceOutput{outcome: outcome.Outcome(resp.Header.Peek(caller.HeaderOutcome)), answer: string(resp.Body())}
	}
	c.history.note(rng.IntN(math.MaxInt32), b.key, call, told)
	if err != nil {
		if b.last != outcome.Answered {
			b.last = ""
		}
		return
	}
	if b.last == outcome.Answered {
		// A duplicate of an answered booking may be refused, but never told not run.
		b.differs = told.outcome == outcome.NotRun || told.outcome == outcome.Answered && told.answer != b.answer
		return
	}
	b.last = told.outcome
	b.answer = told.answer
}

// tally compares what the callers were told with the servers' counts.
func (c *onceClients) tally(ran runCount, o Options) onceTally {
	var t onceTally
	for _, b := range c.bookings {
		n := ran[emulate.CallKey{Service: c.service, IdempotencyKey: b.key}]
		broken := b.differs || n > 1
		if n > 1 {
			t.doubled++
		}
		if b.differs {
			t.differs++
		}
		switch b.last {
		case outcome.Answered:
			t.answered++
			if n == 0 {
				t.lost++
				broken = true
			}
		case outcome.NotRun:
			t.notRun++
			if n > 0 {
				t.falselyNotRun++
				broken = true
			}
		default:
			t.unknown++
			if n == 0 {
				t.unknownNotRun++
			}
		}
		if broken && c.service == "booking" {
			fmt.Fprintf(o.Out, "broken: %s ran %d times, last told %q after %d sends\n", b.key, n, b.last, b.sends)
		}
	}
	return t
}
