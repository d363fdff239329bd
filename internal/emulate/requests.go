package emulate

import (
	"encoding/json"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/balsamlb/balsamlb/backend"
	"github.com/balsamlb/balsamlb/settings"
	"github.com/valyala/fasthttp"
)

// maxKnownRequests bounds the number of requests of which a server remembers whether they ran. The
// oldest are evicted.
const maxKnownRequests = 100_000

// requestLog remembers of each request of a server whether the request is running, has finished, or
// was barred from starting. Only servers with ResolvesRequests use it, since they report the
// outcome of earlier requests.
type requestLog struct {
	mu    sync.Mutex
	known map[string]backend.Resolution
	order []string
}

func newRequestLog() *requestLog {
	return &requestLog{known: make(map[string]backend.Resolution)}
}

// start records that the request is running. It returns false if the request has started before
// or was barred.
func (l *requestLog) start(request string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.known[request]; ok {
		return false
	}
	l.put(request, backend.Resolution{State: backend.RequestRunning})
	return true
}

func (l *requestLog) finish(request string, body []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.known[request] = backend.Resolution{
		State:       backend.RequestFinished,
		Status:      fasthttp.StatusOK,
		ContentType: "application/json",
		Body:        body,
	}
}

// resolve returns the state of the request. If the request is unknown, resolve bars it, so that the
// request can't start later.
func (l *requestLog) resolve(request string) backend.Resolution {
	l.mu.Lock()
	defer l.mu.Unlock()
	res, ok := l.known[request]
	if !ok {
		res = backend.Resolution{State: backend.RequestBarred}
		l.put(request, res)
	}
	return res
}

func (l *requestLog) put(request string, res backend.Resolution) {
	l.known[request] = res
	l.order = append(l.order, request)
	if len(l.order) > maxKnownRequests {
		delete(l.known, l.order[0])
		l.order = l.order[1:]
	}
}

// callFaults makes every nth call of a server fail.
type callFaults struct {
	settings.CallFaults
	calls atomic.Uint64
}

// nextCall returns whether to refuse the next call and whether to lose its answer.
func (f *callFaults) nextCall() (refuse, loseAnswer bool) {
	n := f.calls.Add(1)
	refuse = f.RefuseEvery > 0 && n%uint64(f.RefuseEvery) == 0
	loseAnswer = f.LoseEvery > 0 && n%uint64(f.LoseEvery) == 0
	return refuse, loseAnswer
}

// callReply is the answer of an emulated plain service.
type callReply struct {
	Service string `json:"service"`
	Server  string `json:"server"`
	Key     string `json:"key,omitempty"`
	Ran     int    `json:"ran"`
}

func (e *engine) handleCall(ctx *fasthttp.RequestCtx, service string) {
	if !e.server.Runs(service) {
		refuseCall(ctx, fasthttp.StatusNotFound, "the server does not run "+service)
		return
	}
	refuse, loseAnswer := e.callFaults.nextCall()
	if refuse || e.faults.has(FaultRefuse) {
		refuseCall(ctx, fasthttp.StatusServiceUnavailable, "the server is busy")
		e.askForPause(ctx)
		return
	}
	request := string(ctx.Request.Header.Peek(backend.HeaderRequest))
	if e.server.ResolvesRequests && !e.startsRequest(ctx, request) {
		refuseCall(ctx, fasthttp.StatusConflict, "the request is not for this start of the server, or was barred")
		return
	}
	key := string(ctx.Request.Header.Peek(backend.HeaderKey))
	time.Sleep(callTime + e.callFaults.CallTime)
	reply := callReply{Service: service, Server: e.server.Name, Key: key}
	reply.Ran = e.counts.recordCall(CallKey{Service: service, IdempotencyKey: key})
	// callReply holds only plain values, so encoding can't fail.
	body, _ := json.Marshal(reply)
	if e.server.ResolvesRequests {
		e.requests.finish(request, body)
	}
	if loseAnswer {
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(closeUnanswered)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

// closeUnanswered is the hijack handler for lost answers: the connection is closed without an
// answer when it returns.
func closeUnanswered(net.Conn) {}

// startsRequest records a call as running. It returns false if the call is for another
// incarnation of the server, has started before or was barred.
func (e *engine) startsRequest(ctx *fasthttp.RequestCtx, request string) bool {
	want := strconv.FormatUint(e.server.Incarnation, 10)
	if string(ctx.Request.Header.Peek(backend.HeaderIncarnation)) != want {
		return false
	}
	return e.requests.start(request)
}

func refuseCall(ctx *fasthttp.RequestCtx, status int, message string) {
	ctx.Error(message, status)
	ctx.Response.Header.Set(backend.HeaderOutcome, backend.OutcomeNotRun)
}

func (e *engine) handleResolve(ctx *fasthttp.RequestCtx) {
	var rr backend.ResolveRequest
	if !e.server.ResolvesRequests || json.Unmarshal(ctx.PostBody(), &rr) != nil {
		ctx.Error("not found", fasthttp.StatusNotFound)
		return
	}
	res := backend.Resolution{}
	if rr.Incarnation == e.server.Incarnation {
		res = e.requests.resolve(rr.Request)
	}
	res.Incarnation = e.server.Incarnation
	writeJSON(ctx, res)
}
