package instance

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/balsamlb/balsamlb/instance/wire"
	"github.com/balsamlb/balsamlb/internal/answers"
	"github.com/balsamlb/balsamlb/relay"
	"github.com/rotisserie/eris"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcpool"
)

const (
	// relayAcceptTimeout bounds the time until an instance accepts a request, with the time to connect. It is
	// several round trips between data centres. relayAcceptGrace is its last part, as in patientTimer.
	relayAcceptTimeout = 300 * time.Millisecond
	relayAcceptGrace   = 100 * time.Millisecond
	// relaySignInterval is the time between two signs of life of an instance that serves a request, and
	// relaySilence the time without one after which the instance counts as silent.
	relaySignInterval = 250 * time.Millisecond
	relaySilence      = 4 * relaySignInterval
	// relayPatience is longer than any request.
	relayPatience = time.Hour
	// relayPartBytes bounds one part of a body.
	relayPartBytes = 32 << 10
	// relayIdleTime is how long an idle connection is kept, and maxIdleRelays bounds those to one instance.
	relayIdleTime = 5 * time.Second
	maxIdleRelays = 32
)

// errNoRelays means that the instance serves no requests of others.
var errNoRelays = errors.New("instance: takes no requests of others")

// SetRelayHandler enables relays on the server. It must be called before Serve.
func (s *Server) SetRelayHandler(h relay.Handler) { s.relayHandler = h }

// Relay serves a request that another instance passes on.
func (s *Server) Relay(stream wire.DRPCInstance_RelayStream) error {
	if s.relayHandler == nil {
		return errNoRelays
	}
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	if first.Head == nil {
		return eris.New("instance: a relayed request begins without a head")
	}
	relayed := relayedFromWire(first.Head)
	release, declined := s.relayHandler.AcceptRelay(relayed)
	if declined != "" {
		return stream.Send(&wire.RelayResponse{Declined: declined})
	}
	defer release()
	w := &relayWriter{stream: stream, header: make(http.Header)}
	if err := w.send(&wire.RelayResponse{IsAccepted: true}); err != nil {
		return err
	}
	r, err := readRelayed(stream, relayed)
	if err != nil {
		return eris.Wrapf(err, "instance: read a request of %s", relayed.Sender)
	}
	ctx, stop := context.WithCancel(stream.Context())
	var signs sync.WaitGroup
	signs.Go(func() { w.sendSigns(ctx) })
	isWhole := serveRelay(s.relayHandler, w, r.WithContext(ctx), relayed)
	stop()
	signs.Wait()
	if !isWhole {
		return relay.ErrBroken
	}
	w.WriteHeader(http.StatusOK) // unless the handler has written one
	if err := w.send(&wire.RelayResponse{IsComplete: true}); err != nil {
		return err
	}
	return stream.Close()
}

// serveRelay runs the handler, and reports whether it has written the whole answer.
func serveRelay(h relay.Handler, w *relayWriter, r *http.Request, relayed *relay.Request) (isWhole bool) {
	defer func() {
		if p := recover(); p != nil && p != http.ErrAbortHandler {
			panic(p)
		}
	}()
	h.ServeRelay(w, r, relayed, w)
	return w.failure() == nil
}

// readRelayed reads the body of the request and returns the request.
func readRelayed(stream wire.DRPCInstance_RelayStream, r *relay.Request) (*http.Request, error) {
	target, err := url.ParseRequestURI(r.Target)
	if err != nil {
		return nil, eris.Wrapf(err, "target %q", r.Target)
	}
	for {
		m, err := stream.Recv()
		if err != nil {
			return nil, err
		}
		if len(r.Body)+len(m.Body) > maxRelayedBody {
			return nil, eris.Errorf("the body is longer than %d bytes", maxRelayedBody)
		}
		r.Body = append(r.Body, m.Body...)
		if m.EndsBody {
			break
		}
	}
	request := &http.Request{
		Method: r.Method, URL: target, RequestURI: r.Target, Host: r.Host, Header: r.Header, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Body: http.NoBody,
	}
	if r.HasBody {
		request.Body, request.ContentLength = io.NopCloser(bytes.NewReader(r.Body)), int64(len(r.Body))
		request.Header.Set("Content-Length", "0") // marks an empty body as one
	}
	return request, nil
}

// maxRelayedBody is above the body limit of every known deployment (4 MiB).
const maxRelayedBody = 16 << 20

// relayWriter sends an answer to the instance that has passed the request on. It is an http.ResponseWriter and
// http.Flusher; what is written is sent at once.
type relayWriter struct {
	stream wire.DRPCInstance_RelayStream
	header http.Header

	mu       sync.Mutex
	hasHead  bool
	attempts uint32
	err      error
	// server and incarnation are those that the answer is from.
	server      string
	incarnation int64
}

// Header returns the header of the answer.
func (w *relayWriter) Header() http.Header { return w.header }

// WriteHeader sends the head of the answer.
func (w *relayWriter) WriteHeader(status int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.hasHead {
		w.hasHead = true
		head := &wire.RelayAnswer{Status: uint32(status), Headers: headersToWire(w.header), Server: w.server, Incarnation: w.incarnation}
		_ = w.sendLocked(&wire.RelayResponse{Head: head}) // kept in err
	}
}

// Write sends a part of the body.
func (w *relayWriter) Write(p []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	for rest := p; len(rest) > 0; {
		n := min(len(rest), relayPartBytes)
		if err := w.send(&wire.RelayResponse{Body: rest[:n]}); err != nil {
			return len(p) - len(rest), err
		}
		rest = rest[n:]
	}
	return len(p), nil
}

// Flush does nothing, since nothing is held back.
func (w *relayWriter) Flush() {}

func (w *relayWriter) send(m *wire.RelayResponse) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.sendLocked(m)
}

func (w *relayWriter) sendLocked(m *wire.RelayResponse) error {
	m.Attempts = w.attempts
	if w.err == nil {
		w.err = w.stream.Send(m)
	}
	return w.err
}

func (w *relayWriter) failure() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.err
}

// SetServer implements relay.Progress.
func (w *relayWriter) SetServer(id string, incarnation int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.server, w.incarnation = id, incarnation
}

// SetAttempts implements relay.Progress.
func (w *relayWriter) SetAttempts(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.attempts = uint32(max(0, n))
}

// sendSigns sends signs of life until ctx ends.
func (w *relayWriter) sendSigns(ctx context.Context) {
	ticker := time.NewTicker(relaySignInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if w.send(&wire.RelayResponse{}) != nil {
				return
			}
		}
	}
}

// Relayer passes requests on to other instances. It is safe for concurrent use.
type Relayer struct {
	dialer Dialer
	pool   *drpcpool.Pool[string, *drpcconn.Conn]
}

// NewRelayer returns a relayer.
func NewRelayer(d Dialer) *Relayer {
	options := drpcpool.Options{Expiration: relayIdleTime, KeyCapacity: maxIdleRelays}
	return &Relayer{dialer: d, pool: drpcpool.New[string, *drpcconn.Conn](options)}
}

// Do implements relay.Sender.
func (r *Relayer) Do(ctx context.Context, address string, req *relay.Request, onAttempts func(n int)) (*relay.Answer, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	stream, err := r.offer(ctx, cancel, address, req)
	if err != nil {
		cancel(nil)
		return nil, eris.Wrapf(errors.Join(relay.ErrDeclined, err), "instance: offer a request to %s", address)
	}
	silence := relaySilence
	if !req.EndsOnSilence {
		silence = relayPatience
	}
	a := &relayBody{stream: stream, cancel: cancel, onAttempts: onAttempts}
	a.timer = newPatientTimer(silence, silenceGrace, func() { cancel(ErrSilent) })
	onAttempts(1) // the instance may have sent it, and not been able to say so
	var head *wire.RelayAnswer
	if err = sendBody(stream, req.Body); err == nil {
		head, err = a.readHead()
	}
	if err != nil {
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		_ = a.Close() // returns nil
		return nil, eris.Wrapf(errors.Join(relay.ErrBroken, err), "instance: relay by %s", address)
	}
	return &relay.Answer{
		Status: int(head.Status), Header: headersFromWire(head.Headers), Body: a, Server: head.Server, Incarnation: head.Incarnation,
	}, nil
}

// offer sends the head of a request and waits until it is accepted.
func (r *Relayer) offer(ctx context.Context, cancel context.CancelCauseFunc, address string, req *relay.Request) (wire.DRPCInstance_RelayClient, error) {
	timer := newPatientTimer(relayAcceptTimeout, relayAcceptGrace, func() { cancel(context.DeadlineExceeded) })
	conn := r.pool.Get(ctx, address, r.dialer.open)
	stream, err := wire.NewDRPCInstanceClient(conn).Relay(ctx)
	if err != nil {
		return nil, err
	}
	if err := stream.Send(&wire.RelayRequest{Head: relayedToWire(req)}); err != nil {
		return nil, err
	}
	m, err := stream.Recv()
	switch {
	case err != nil:
		return nil, err
	case !m.IsAccepted:
		return nil, eris.New(m.Declined)
	case !timer.Stop():
		return nil, context.DeadlineExceeded
	}
	return stream, nil
}

func sendBody(stream wire.DRPCInstance_RelayClient, body []byte) error {
	for {
		n := min(len(body), relayPartBytes)
		isLast := n == len(body)
		if err := stream.Send(&wire.RelayRequest{Body: body[:n], EndsBody: isLast}); err != nil || isLast {
			return err
		}
		body = body[n:]
	}
}

// relayBody is the body of an answer. It is not safe for concurrent use.
type relayBody struct {
	stream     wire.DRPCInstance_RelayClient
	cancel     context.CancelCauseFunc
	timer      *patientTimer // ends the request after silence
	onAttempts func(n int)
	rest       []byte
	isComplete bool
}

// receive returns the next message that isn't only a sign of life.
func (a *relayBody) receive() (*wire.RelayResponse, error) {
	// The time until the caller takes what was received is no silence of the instance.
	a.timer.Reset()
	defer a.timer.Stop()
	for {
		m, err := a.stream.Recv()
		if err != nil {
			return nil, err
		}
		a.timer.Reset()
		a.onAttempts(int(m.Attempts))
		if m.Head != nil || len(m.Body) > 0 || m.IsComplete {
			return m, nil
		}
	}
}

func (a *relayBody) readHead() (*wire.RelayAnswer, error) {
	m, err := a.receive()
	if err != nil {
		return nil, err
	}
	if m.Head == nil {
		return nil, eris.New("instance: the answer begins without a head")
	}
	// Earlier builds pass on what is no answer.
	if err := answers.CheckFinal(int(m.Head.Status), headersFromWire(m.Head.Headers)); err != nil {
		return nil, err
	}
	return m.Head, nil
}

// Read reads the body. Any error except io.EOF means that the answer is incomplete.
func (a *relayBody) Read(p []byte) (int, error) {
	for len(a.rest) == 0 {
		if a.isComplete {
			return 0, io.EOF
		}
		m, err := a.receive()
		if err != nil {
			return 0, errors.Join(relay.ErrBroken, err)
		}
		a.rest, a.isComplete = m.Body, m.IsComplete
	}
	n := copy(p, a.rest)
	a.rest = a.rest[n:]
	return n, nil
}

// Close ends the request if the answer is not complete. It always returns nil.
func (a *relayBody) Close() error {
	a.timer.Stop()
	if a.isComplete {
		_ = a.stream.Close() // the instance has ended it
	}
	a.cancel(nil)
	return nil
}

func relayedToWire(r *relay.Request) *wire.RelayHead {
	return &wire.RelayHead{
		Method: r.Method, Target: r.Target, Host: r.Host, Headers: headersToWire(r.Header), HasBody: r.HasBody,
		Sender: r.Sender, RoutingVersion: r.ConfigVersion, Attempts: uint32(r.Attempts), IsCounted: r.IsCounted,
		RetriedService: r.RetriedService,
	}
}

func relayedFromWire(h *wire.RelayHead) *relay.Request {
	return &relay.Request{
		Method: h.Method, Target: h.Target, Host: h.Host, Header: headersFromWire(h.Headers), HasBody: h.HasBody,
		Sender: h.Sender, ConfigVersion: h.RoutingVersion, Attempts: int(h.Attempts), IsCounted: h.IsCounted,
		RetriedService: h.RetriedService,
	}
}

func headersToWire(h http.Header) []*wire.RelayHeader {
	out := make([]*wire.RelayHeader, 0, len(h))
	for name, values := range h {
		out = append(out, &wire.RelayHeader{Name: name, Values: values})
	}
	return out
}

func headersFromWire(headers []*wire.RelayHeader) http.Header {
	out := make(http.Header, len(headers))
	for _, h := range headers {
		out[h.Name] = h.Values
	}
	return out
}
