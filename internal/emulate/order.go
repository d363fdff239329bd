package emulate

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/balsamlb/balsamlb/backend"
	"github.com/balsamlb/balsamlb/fleet"
	"github.com/balsamlb/balsamlb/placement"
	"github.com/valyala/fasthttp"
)

// PathOrders returns the orders that a server has executed, oldest first.
const PathOrders = "/v1/orders"

// maxAppliedOrders bounds the number of executed orders that are kept. The oldest are evicted.
const maxAppliedOrders = 1000

// weightStore emulates the shared store of model weights. It serves one load at a time, so
// concurrent loads share its rate.
type weightStore struct {
	mu sync.Mutex
	// layerTime is the time to load one layer.
	layerTime time.Duration
}

func (w *weightStore) load(layers int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	time.Sleep(time.Duration(layers) * w.layerTime)
}

// orderLog records the orders of a server. Orders change what the server announces, not what it
// can run.
type orderLog struct {
	mu      sync.Mutex
	engine  *placement.Engine // nil before the first order
	report  fleet.OrderReport
	applied []backend.OrderRequest
}

// accept records an order as running. ok is false if its fencing token is stale; isNew is false
// if the order was accepted before. Without checksFences every order is new.
func (l *orderLog) accept(o backend.OrderRequest, checksFences bool) (isNew, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	comparison := o.Fence.Compare(l.report.Fence)
	if checksFences && comparison < 0 {
		return false, false
	}
	if checksFences && comparison == 0 {
		return false, true
	}
	l.report = fleet.OrderReport{Fence: o.Fence, State: fleet.OrderRunning}
	return true, true
}

func (l *orderLog) finish(o backend.OrderRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.applied = append(l.applied, o)
	l.applied = l.applied[max(0, len(l.applied)-maxAppliedOrders):]
	l.engine = &o.Engine
	if l.report.Fence == o.Fence {
		l.report.State = fleet.OrderDone
	}
}

// addTo writes the results of the server's orders into the fields of an announcement.
func (l *orderLog) addTo(a *fleet.BackendServer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a.Order = l.report
	if l.engine == nil {
		return
	}
	a.Model = l.engine.Model
	a.Layers = l.engine.Layers
	a.Version = l.engine.Version
	a.Adapters = l.engine.Adapters
	a.Role = l.engine.Role
}

func (e *engine) handleOrder(ctx *fasthttp.RequestCtx) {
	var o backend.OrderRequest
	if err := json.Unmarshal(ctx.PostBody(), &o); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	if e.checksFences() && o.Incarnation != e.server.Incarnation {
		refuseCall(ctx, fasthttp.StatusConflict, "the order is for another start of the server")
		return
	}
	isNew, ok := e.orders.accept(o, e.checksFences())
	if !ok {
		refuseCall(ctx, fasthttp.StatusConflict, "the order has an old fencing number")
		return
	}
	if isNew {
		go e.execute(o)
	}
}

// execute loads the layers of the order's engine and announces the result.
func (e *engine) execute(o backend.OrderRequest) {
	e.fleet.weights.load(o.Engine.Layers.Len())
	e.orders.finish(o)
	select {
	case e.announceNow <- struct{}{}:
	default:
	}
}

func (e *engine) handleOrders(ctx *fasthttp.RequestCtx) {
	e.orders.mu.Lock()
	defer e.orders.mu.Unlock()
	writeJSON(ctx, append([]backend.OrderRequest{}, e.orders.applied...))
}

// checksFences reports whether the server checks fencing tokens. With FaultIgnoreFences it does
// not, although it announces that it does.
func (e *engine) checksFences() bool {
	return e.server.ChecksFences && !e.faults.has(FaultIgnoreFences)
}
