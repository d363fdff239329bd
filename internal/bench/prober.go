package bench

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/balsamlb/balsamlb/caller"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"
)

const (
	probeWorkers  = 12
	probeInterval = 5 * time.Millisecond
	probeTimeout  = 3 * time.Second
)

// prober sends bookings continuously and records when they were answered.
type prober struct {
	instances []string
	seed      uint64
	http      *fasthttp.Client

	mu         sync.Mutex
	answeredAt []time.Time
}

func newProber(instances []string, seed uint64) *prober {
	return &prober{instances: instances, seed: seed, http: &fasthttp.Client{
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		MaxConnsPerHost:           1024,
	}}
}

// run sends bookings until ctx ends.
func (p *prober) run(ctx context.Context) {
	var g errgroup.Group
	for w := range probeWorkers {
		g.Go(func() error {
			for i := 0; ctx.Err() == nil; i++ {
				p.book(p.instances[(w+i)%len(p.instances)], fmt.Sprintf("probe-%d-%d-%d", p.seed, w, i))
				sleep(ctx, probeInterval)
			}
			return nil
		})
	}
	_ = g.Wait()
}

func (p *prober) book(address, key string) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + address + caller.PathServices + "booking")
	req.Header.Set(caller.HeaderWorkspace, "kandy")
	req.Header.Set(caller.HeaderKey, key)
	req.Header.Set(caller.HeaderFirstSend, "true")
	req.Header.Set(caller.HeaderDeadline, strconv.FormatInt(probeTimeout.Milliseconds(), 10))
	req.SetBodyString(key)
	if err := p.http.DoTimeout(req, resp, probeTimeout); err != nil || resp.StatusCode() != fasthttp.StatusOK {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.answeredAt = append(p.answeredAt, time.Now())
}

// gapAfter returns the longest time without an answer since the fault. The first gap begins at
// the fault, the last one ends now.
func (p *prober) gapAfter(fault time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	slices.SortFunc(p.answeredAt, time.Time.Compare)
	longest := time.Duration(0)
	lastAnswer := fault
	for _, at := range p.answeredAt {
		if at.After(fault) {
			longest = max(longest, at.Sub(lastAnswer))
			lastAnswer = at
		}
	}
	return max(longest, time.Since(lastAnswer))
}
