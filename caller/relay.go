package caller

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/balsamlb/balsamlb/outcome"
	"github.com/balsamlb/balsamlb/relay"
	"github.com/valyala/fasthttp"
)

// Relays passes requests on to other instances while this one is cut off from the backend servers. The functions
// must be safe for concurrent use.
type Relays struct {
	Name       string
	DataCentre string
	// IsCutOff reports whether this instance reaches no backend server.
	IsCutOff func() bool
	// Instances returns the instances that may take requests.
	Instances func() []relay.Instance
	// ConfigVersion returns the version of the configuration in force here.
	ConfigVersion func() uint64
	// NotReady returns why this instance takes no requests of others, or "".
	NotReady func() string
	Sender   relay.Sender
	Chooser  *relay.Chooser
}

// relayedKey marks requests that another instance has passed on.
const relayedKey = "relayed"

// passOn passes a request on if this instance is cut off, and reports whether the caller has an answer. A
// request that no other instance takes is handled here.
func (h *handler) passOn(ctx *fasthttp.RequestCtx) bool {
	o := h.Relays
	if o == nil || ctx.UserValue(relayedKey) != nil || !o.IsCutOff() {
		return false
	}
	var tried []string
	for len(tried) < relay.MaxTries {
		taker, ok := o.Chooser.Choose(time.Now(), o.Instances(), o.DataCentre, tried)
		if !ok {
			return false
		}
		tried = append(tried, taker.Name)
		done := o.Chooser.Begin(taker.Name)
		answer, err := o.Sender.Do(h.ctx, taker.Address, h.relayedRequest(ctx), func(int) {})
		h.Log.Info("passed a request on", "to", taker.Name, "path", string(ctx.Path()), "is_taken", !errors.Is(err, relay.ErrDeclined))
		if err == nil {
			writeAnswer(ctx, answer, done)
			return true
		}
		done()
		o.Chooser.Avoid(time.Now(), taker.Name)
		if !errors.Is(err, relay.ErrDeclined) {
			writeError(ctx, "", &outcome.Error{
				Outcome: outcome.Unknown, Code: outcome.CodeInterrupted, Message: "the instance that took the request did not answer",
			})
			return true
		}
	}
	return false
}

// relayedRequest returns the request with what is left of its deadline.
func (h *handler) relayedRequest(ctx *fasthttp.RequestCtx) *relay.Request {
	header := make(http.Header)
	for name, value := range ctx.Request.Header.All() {
		header.Add(string(name), string(value))
	}
	for _, name := range connectionHeaders {
		header.Del(name)
	}
	if ms, err := strconv.ParseInt(header.Get(HeaderDeadline), 10, 64); err == nil {
		header.Set(HeaderDeadline, strconv.FormatInt(ms-time.Since(ctx.Time()).Milliseconds(), 10))
	}
	return &relay.Request{
		Method: string(ctx.Method()), Target: string(ctx.RequestURI()), Host: string(ctx.Host()), Header: header,
		Body: ctx.PostBody(), HasBody: len(ctx.PostBody()) > 0, Sender: h.Relays.Name, ConfigVersion: h.Relays.ConfigVersion(),
	}
}

// writeAnswer sends the answer of another instance to the caller as it arrives. If it breaks off, the caller's
// connection is closed, so that it doesn't look complete.
func writeAnswer(ctx *fasthttp.RequestCtx, answer *relay.Answer, done func()) {
	for name, values := range answer.Header {
		for _, v := range values {
			ctx.Response.Header.Add(name, v)
		}
	}
	ctx.SetStatusCode(answer.Status)
	ctx.SetBodyStream(&countedBody{answer.Body, done}, -1)
}

// countedBody is the body of an answer that counts as in flight until it is closed.
type countedBody struct {
	io.ReadCloser
	done func()
}

func (b *countedBody) Close() error {
	b.done()
	return b.ReadCloser.Close()
}

// relayServer serves requests of other instances.
type relayServer struct{ handler *handler }

// NewRelayHandler returns the handler of requests that other instances pass on. It serves them as NewServer does
// those of callers. Requests end when ctx ends.
func NewRelayHandler(ctx context.Context, o Options) relay.Handler {
	return &relayServer{handler: &handler{Options: o, ctx: ctx}}
}

// AcceptRelay implements relay.Handler.
func (s *relayServer) AcceptRelay(r *relay.Request) (release func(), declined string) {
	o := s.handler.Relays
	if declined = o.NotReady(); declined != "" {
		return nil, declined
	}
	if o.IsCutOff() {
		return nil, "cut off from the backend servers"
	}
	if o.ConfigVersion() < r.ConfigVersion {
		return nil, "the configuration here is older"
	}
	release, ok := o.Chooser.Take()
	if !ok {
		return nil, "too many requests of others"
	}
	return release, ""
}

// ServeRelay implements relay.Handler.
func (s *relayServer) ServeRelay(w http.ResponseWriter, _ *http.Request, relayed *relay.Request, _ relay.Progress) {
	var request fasthttp.Request
	request.Header.SetMethod(relayed.Method)
	request.SetRequestURI(relayed.Target)
	request.SetHost(relayed.Host)
	for name, values := range relayed.Header {
		for _, v := range values {
			request.Header.Add(name, v)
		}
	}
	request.SetBody(relayed.Body)
	var ctx fasthttp.RequestCtx
	ctx.Init(&request, nil, nil)
	ctx.SetUserValue(relayedKey, true)
	s.handler.handle(&ctx)
	for name, value := range ctx.Response.Header.All() {
		if !slices.Contains(connectionHeaders, string(name)) {
			w.Header().Add(string(name), string(value))
		}
	}
	w.WriteHeader(ctx.Response.StatusCode())
	if err := ctx.Response.BodyWriteTo(w); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// connectionHeaders concern one connection and are not passed on.
var connectionHeaders = []string{fasthttp.HeaderConnection, fasthttp.HeaderContentLength, fasthttp.HeaderTransferEncoding}
