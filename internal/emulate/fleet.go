package emulate

import (
	"bufio"
	"context"
	"encoding/json"
	"net"
	"strings"
	"time"

	"github.com/balsamlb/balsamlb/backend"
	"github.com/balsamlb/balsamlb/fleet"
	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"
)

// Paths that only stand-ins serve.
const (
	// PathCounts returns what the engines of the process have run.
	PathCounts = "/v1/counts"
	// PathLeave makes the server announce that it is leaving.
	PathLeave = "/v1/leave"
)

const (
	announceInterval = 400 * time.Millisecond
	announceTimeout  = 300 * time.Millisecond
	aliveInterval    = 200 * time.Millisecond
	// callTime is how long a plain call takes.
	callTime = 2 * time.Millisecond
)

// Fleet is the emulated backend servers of one process.
type Fleet struct {
	engines  map[string]*engine // by address
	announce map[string][]string
	counts   *Counts
	// RemoteDelay is the one-way delay between servers in different data centres.
	remoteDelay time.Duration
}

// NewFleet returns a fleet; announce lists the instances of each data centre.
func NewFleet(servers []fleet.BackendServer, announce map[string][]string) *Fleet {
	f := &Fleet{
		engines:     make(map[string]*engine),
		announce:    announce,
		counts:      NewCounts(),
		remoteDelay: 500 * time.Microsecond,
	}
	for _, s := range servers {
		f.engines[s.Address] = newEngine(s, f)
	}
	return f
}

// Run serves until ctx ends.
func (f *Fleet) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	for address, e := range f.engines {
		l, err := net.Listen("tcp", address)
		if err != nil {
			return eris.Wrapf(err, "emulate: listen on %s", address)
		}
		server := &fasthttp.Server{Handler: e.handle, Name: "emulated"}
		g.Go(func() error { return server.Serve(l) })
		g.Go(func() error { return e.run(ctx) })
		g.Go(func() error { return e.announceAll(ctx, f.announce[e.self.DataCentre]) })
		context.AfterFunc(ctx, func() { _ = server.Shutdown() })
	}
	return g.Wait()
}

// deliver passes a hop to the engine at the address, after the delay of the link.
func (f *Fleet) deliver(from fleet.BackendServer, address string, h hop) {
	to, ok := f.engines[address]
	if !ok {
		return
	}
	if to.self.DataCentre == from.DataCentre {
		to.accept(h)
		return
	}
	time.AfterFunc(f.remoteDelay, func() { to.accept(h) })
}

// announceAll announces the server to one instance at a time, moving on when one fails.
func (e *engine) announceAll(ctx context.Context, instances []string) error {
	if len(instances) == 0 {
		return nil
	}
	client := &fasthttp.Client{
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	at := int(e.self.Incarnation) % len(instances)
	for {
		if err := e.announceTo(client, instances[at]); err != nil {
			at = (at + 1) % len(instances)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (e *engine) announceTo(client *fasthttp.Client, address string) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	// The announcement holds only plain values, which always encode.
	body, _ := json.Marshal(e.announcement())
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + address + backend.PathAnnounce)
	req.SetBody(body)
	if err := client.DoTimeout(req, resp, announceTimeout); err != nil {
		return err
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return eris.Errorf("emulate: announce to %s: %s", address, resp.Body())
	}
	return nil
}

func (e *engine) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch {
	case path == backend.PathStage:
		e.handleStage(ctx)
	case path == backend.PathCancel:
		var c backend.Cancel
		if json.Unmarshal(ctx.PostBody(), &c) == nil {
			e.cancel(c.Request)
		}
	case strings.HasPrefix(path, backend.PathCall):
		e.handleCall(ctx, strings.TrimPrefix(path, backend.PathCall))
	case path == backend.PathResolve:
		e.handleResolve(ctx)
	case path == PathCounts:
		writeJSON(ctx, e.counts.Summary())
	case path == PathLeave:
		e.mu.Lock()
		e.leaving = true
		e.mu.Unlock()
	default:
		ctx.Error("not found", fasthttp.StatusNotFound)
	}
}

func (e *engine) handleStage(ctx *fasthttp.RequestCtx) {
	var open backend.StageOpen
	if err := json.Unmarshal(ctx.PostBody(), &open); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	if open.Stage < 0 || open.Stage >= len(open.Chain) {
		ctx.Error("stage is not in the chain", fasthttp.StatusBadRequest)
		return
	}
	s := e.openSession(open)
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer e.closeSession(s)
		if writeFrame(w, backend.Frame{Kind: backend.FrameOpened, Request: open.Request, Attempt: open.Attempt}) != nil {
			return
		}
		if open.Stage == 0 {
			e.accept(hop{Request: open.Request, Attempt: open.Attempt, Index: open.From})
		}
		writeFrames(w, s)
	})
}

// writeFrames sends the session's frames until the end, and a sign of life when there are
// none.
func writeFrames(w *bufio.Writer, s *session) {
	alive := time.NewTicker(aliveInterval)
	defer alive.Stop()
	for {
		f := backend.Frame{Kind: backend.FrameAlive, Request: s.open.Request, Attempt: s.open.Attempt}
		select {
		case f = <-s.frames:
		case <-alive.C:
		}
		if writeFrame(w, f) != nil || f.Kind == backend.FrameEnd || f.Kind == backend.FrameError {
			return
		}
	}
}

func writeFrame(w *bufio.Writer, f backend.Frame) error {
	// A frame holds only plain values, which always encode.
	line, _ := json.Marshal(f)
	_, _ = w.Write(append(line, '\n'))
	return w.Flush()
}

func writeJSON(ctx *fasthttp.RequestCtx, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(append(body, '\n'))
}
