package emulate

import (
	"context"
	"encoding/json"
	"time"

	"github.com/balsamlb/balsamlb/backend"
	"github.com/balsamlb/balsamlb/internal/ring"
	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
)

const (
	// linkRingSize bounds the hops that wait to be sent to one engine of another process.
	// Further hops are dropped.
	linkRingSize = 4096
	maxHopBatch  = 256
	// linkTimeout is the time without a response after which a link opens a new connection.
	linkTimeout  = 250 * time.Millisecond
	linkAttempts = 4
)

// link sends hops to one engine of another process over persistent connections. It may send a hop
// more than once, which does no harm, since an engine runs each token only once.
type link struct {
	address string
	hops    *ring.Ring[hop]
	client  *fasthttp.HostClient
}

func newLink(address string) *link {
	return &link{address: address, hops: ring.New[hop](linkRingSize), client: newHostClient(address, linkTimeout)}
}

// newHostClient returns a client that does not retry requests and closes a connection on which
// nothing was transferred for the timeout.
func newHostClient(address string, timeout time.Duration) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr:                      address,
		MaxConns:                  2,
		ReadTimeout:               timeout,
		WriteTimeout:              timeout,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}
}

// run sends batches until ctx ends.
func (l *link) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case h := <-l.hops.Items():
			l.sendBatch(append([]hop{h}, l.hops.Drain(maxHopBatch-1)...))
		}
	}
}

// sendBatch sends the hops. After a failure it tries again on a new connection; after linkAttempts
// failed attempts it drops the hops.
func (l *link) sendBatch(batch []hop) {
	for range linkAttempts {
		if err := l.send(batch); err == nil {
			return
		}
		l.client.CloseIdleConnections()
	}
}

func (l *link) send(batch []hop) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	// A hop holds only plain values, so encoding can't fail.
	body, _ := json.Marshal(batch)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + l.address + PathHops)
	req.SetBody(body)
	if err := l.client.Do(req, resp); err != nil {
		return eris.Wrapf(err, "emulate: send to %s", l.address)
	}
	return nil
}

// deliver sends a hop of the given size to the engine of a stage. The hop arrives after the
// transfer time between the two servers.
func (f *Fleet) deliver(from *engine, to backend.StageRef, h hop, bytes int) {
	target, isLocal := f.engines[to.Address]
	if !isLocal {
		h.DelayMicros = from.faults.linkDelay(f.options.transferTime(from.server, f.options.serverFor(to), bytes)).Microseconds()
		f.link(to.Address).hops.Offer(h)
		return
	}
	h.DelayMicros = from.faults.linkDelay(f.options.transferTime(from.server, target.server, bytes)).Microseconds()
	target.receiveDelayed(h)
}

// link returns the link to the engine of another process at the address, and starts it if there
// is none.
func (f *Fleet) link(address string) *link {
	f.mu.Lock()
	defer f.mu.Unlock()
	l, ok := f.links[address]
	if !ok {
		l = newLink(address)
		f.links[address] = l
		f.group.Go(func() error { l.run(f.ctx); return nil })
	}
	return l
}

// receiveDelayed waits for the delay of the hop's link and until the engine is not frozen, and then
// passes the hop to receive. A crashed engine loses its hops.
func (e *engine) receiveDelayed(h hop) {
	h.DelayMicros = e.faults.linkDelay(time.Duration(h.DelayMicros) * time.Microsecond).Microseconds()
	time.AfterFunc(time.Duration(h.DelayMicros)*time.Microsecond, func() {
		e.faults.waitWhileFrozen()
		if !e.faults.isCrashed() {
			e.receive(h)
		}
	})
}
