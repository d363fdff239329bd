package emulate

import (
	"context"
	"encoding/json"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/balsamlb/balsamlb/backend"
	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"
)

// Paths that only emulated servers serve.
const (
	// PathCounts returns the Summary of what the engines of the process have run.
	PathCounts = "/v1/counts"
	// PathLeave makes the server announce that it is leaving.
	PathLeave = "/v1/leave"
	// PathFault injects a Fault into the server.
	PathFault = "/v1/fault"
	// PathHops accepts tokens from the engines of other processes.
	PathHops = "/v1/hops"
	// PathExport, followed by a request's id, returns the request's KV cache to another engine.
	PathExport = "/v1/kv/"
)

// callTime is the time that a plain call takes, in addition to the configured time.
const callTime = 2 * time.Millisecond

// Fleet runs the emulated backend servers of one process.
type Fleet struct {
	options Options
	engines map[string]*engine // by address
	counts  *Counts
	weights weightStore
	ctx     context.Context
	group   *errgroup.Group

	mu    sync.Mutex
	links map[string]*link
}

// NewFleet returns a fleet with an engine for each of the servers.
func NewFleet(o Options) *Fleet {
	f := &Fleet{
		options: o.withDefaults(),
		engines: make(map[string]*engine),
		counts:  NewCounts(),
		links:   make(map[string]*link),
		weights: weightStore{layerTime: o.LayerLoad},
	}
	for _, s := range o.Servers {
		f.engines[s.Address] = newEngine(s, f)
	}
	return f
}

// Run listens on the servers' addresses, runs their engines and announces them until ctx ends.
func (f *Fleet) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	f.ctx = ctx
	f.group = g
	listeners := make(map[string]net.Listener)
	for address := range f.engines {
		l, err := net.Listen("tcp", address)
		if err != nil {
			return eris.Wrapf(err, "emulate: listen on %s", address)
		}
		listeners[address] = l
	}
	for address, e := range f.engines {
		g.Go(func() error { return e.serve(ctx, listeners[address]) })
		g.Go(func() error { return e.run(ctx) })
		g.Go(func() error { return e.announceLoop(ctx, f.options.Announce[e.server.DataCentre]) })
	}
	return g.Wait()
}

// serve serves HTTP on the listener until ctx ends or the server crashes.
func (e *engine) serve(ctx context.Context, l net.Listener) error {
	listener := newFaultyListener(l, e.faults)
	server := &fasthttp.Server{Handler: e.handle, Name: "emulated"}
	done := make(chan struct{})
	defer close(done)
	go func() {
		select {
		case <-ctx.Done():
		case <-e.faults.crashed:
		case <-done:
		}
		listener.crash()
	}()
	err := server.Serve(listener)
	if ctx.Err() != nil || e.faults.isCrashed() {
		return nil
	}
	return eris.Wrapf(err, "emulate: serve %s", e.server.Name)
}

func (e *engine) handle(ctx *fasthttp.RequestCtx) {
	defer e.sayLeaving(ctx)
	path := string(ctx.Path())
	switch {
	case e.faults.has(FaultBrokenHead) && (path == backend.PathStage || path == backend.PathStart || path == backend.PathCancel || strings.HasPrefix(path, backend.PathCall)):
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(e.sendBrokenHead)
	case path == backend.PathStage:
		e.handleStage(ctx)
	case path == backend.PathStart:
		var s backend.StartRequest
		if json.Unmarshal(ctx.PostBody(), &s) == nil {
			e.start(s)
		}
	case path == backend.PathCancel:
		var c backend.CancelRequest
		if json.Unmarshal(ctx.PostBody(), &c) == nil {
			e.cancel(c.Request)
		}
	case path == PathHops:
		e.handleHops(ctx)
	case strings.HasPrefix(path, PathExport):
		e.handleExport(ctx, strings.TrimPrefix(path, PathExport))
	case strings.HasPrefix(path, backend.PathCall):
		e.handleCall(ctx, strings.TrimPrefix(path, backend.PathCall))
	case path == backend.PathOrder:
		e.handleOrder(ctx)
	case path == PathOrders:
		e.handleOrders(ctx)
	case path == backend.PathResolve:
		e.handleResolve(ctx)
	case path == PathCounts:
		writeJSON(ctx, e.counts.Summary())
	case path == PathFault:
		e.handleFault(ctx)
	case path == PathLeave:
		e.mu.Lock()
		e.leaving = true
		e.mu.Unlock()
		select {
		case e.announceNow <- struct{}{}:
		default:
		}
	default:
		ctx.Error("not found", fasthttp.StatusNotFound)
	}
}

// sayLeaving states in a response that the server leaves, if so.
func (e *engine) sayLeaving(ctx *fasthttp.RequestCtx) {
	e.mu.Lock()
	isLeaving := e.leaving
	e.mu.Unlock()
	if isLeaving || e.faults.has(FaultLeavingInAnswers) {
		ctx.Response.Header.Set(backend.HeaderLeaving, "1")
	}
}

func (e *engine) handleHops(ctx *fasthttp.RequestCtx) {
	var batch []hop
	if err := json.Unmarshal(ctx.PostBody(), &batch); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	for _, h := range batch {
		e.receiveDelayed(h)
	}
}

func (e *engine) handleFault(ctx *fasthttp.RequestCtx) {
	var f Fault
	if err := json.Unmarshal(ctx.PostBody(), &f); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	time.AfterFunc(faultDelay, func() { e.faults.set(f) })
}

// faultDelay is the time between a request to inject a fault and its effect. It lets the
// response be sent before the fault can block it.
const faultDelay = 5 * time.Millisecond

func writeJSON(ctx *fasthttp.RequestCtx, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(append(body, '\n'))
}
