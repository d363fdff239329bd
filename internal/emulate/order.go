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

// PathOrders returns the orders that a server has carried out, oldest first.
const PathOrders = "/v1/orders"

// maxAppliedOrders bounds the orders that are kept; the oldest are forgotten.
const maxAppliedOrders = 1000

// weightStore is read by one load at a time, which is how its rate is shared here.
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

// orderLog is what a server knows of its orders. It changes what the server announces, not
// what it can run.
type orderLog struct {
	mu      sync.Mutex
	engine  *placement.Engine // nil before the first order
	report  fleet.OrderReport
	applied []backend.OrderRequest
}

// accept accepts an order, or reports false for one that is too old.
func (b *orderLog) accept(o backend.OrderRequest, checksFences bool) (isNew, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	comparison := o.Fence.Compare(b.report.Fence)
	if checksFences && comparison < 0 {
		return false, false
	}
	if checksFences && comparison == 0 {
		return false, true
	}
	b.report = fleet.OrderReport{Fence: o.Fence, State: fleet.OrderRunning}
	return true, true
}

func (b *orderLog) finish(o backend.OrderRequest) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.applied = append(b.applied, o)
	b.applied = b.applied[max(0, len(b.applied)-maxAppliedOrders):]
	b.engine = &o.Engine
	if b.report.Fence == o.Fence {
		b.report.State = fleet.OrderDone
	}
}

// addTo adds what the orders have changed to an announcement.
func (b *orderLog) addTo(a *fleet.BackendServer) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a.Order = b.report
	if b.engine == nil {
		return
	}
	a.Model = b.engine.Model
	a.Layers = b.engine.Layers
	a.Version = b.engine.Version
	a.Adapters = b.engine.Adapters
	a.Role = b.engine.Role
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

// execute loads what the order names and announces the result.
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

// checksFences reports whether the server heeds fencing numbers, whatever it announces.
func (e *engine) checksFences() bool {
	return e.server.ChecksFences && !e.faults.has(FaultIgnoreFences)
}
