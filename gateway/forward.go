package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"runtime/debug"
	"strconv"
	"strings"
	"time"

	"github.com/balsamlb/balsamlb/internal/connguard"
	"github.com/balsamlb/balsamlb/layers"
	"github.com/balsamlb/balsamlb/selfreport"
	"github.com/balsamlb/balsamlb/upstream"
)

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

// forwardedHeaders returns the headers to forward: all except the hop-by-hop headers and the
// headers that the Connection header names.
func forwardedHeaders(h http.Header) http.Header {
	out := make(http.Header, len(h)+4)
	for name, values := range h {
		out[name] = values
	}
	for _, named := range h["Connection"] {
		for _, name := range strings.Split(named, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		delete(out, name)
	}
	return out
}

// send sends the request to a server and parses the headers of its response.
func (g *Gateway) send(ctx context.Context, j *job, id, address string, path layers.Path, lastEvent string) (*upstream.Response, ResponseHeader, error) {
	header := forwardedHeaders(j.request.Header)
	g.options.HeaderCodec.WriteDispatch(header, DispatchHeader{
		TimeLeft:  time.Until(j.deadline),
		Server:    id,
		Workspace: j.workspace,
		Path:      path,
		LastEvent: lastEvent,
		Priority:  j.priority,
	})
	j.sends.Add(1)
	j.addAttempts(1)
	j.trial.markSent()
	servers := g.view.Load().serversOf(id, path)
	var trials []selfreport.Trial
	started := time.Now()
	resp, err := g.client.Do(ctx, &upstream.Request{
		Server:      id,
		Address:     address,
		Method:      j.request.Method,
		Target:      j.request.RequestURI,
		Host:        j.request.Host,
		Header:      header,
		Body:        j.body,
		HasBody:     j.hasBody,
		MayDial:     g.links.UntilCutOff(j.service.Name),
		DialTimeout: g.dialTimeout(j.service.Name),
		MaySend: func() (err error) {
			trials, err = g.beginSend(j, servers)
			return err
		},
		IsAnswer: func(status int, h http.Header) bool {
			rh := g.options.HeaderCodec.ParseResponse(status, h)
			return rh.ID == j.header.ID || rh.ID == "" && status >= http.StatusMultipleChoices
		},
	})
	if err != nil {
		g.endTrials(trials, false)
		if errors.Is(err, errHeldBack) {
			j.sends.Add(-1)
		}
		if errors.Is(err, upstream.ErrNotSent) {
			j.contentTrial.endRun()
			j.addAttempts(-1)
		} else {
			j.mayHaveRun.Store(true)
		}
		return nil, ResponseHeader{}, err
	}
	rh := g.options.HeaderCodec.ParseResponse(resp.Status, resp.Header)
	if j.origin != nil {
		j.origin.SetServer(servers[0].ID, servers[0].Incarnation)
	}
	g.recordSelfReport(j, started, servers[0], resp.Status, rh)
	g.endTrials(trials, !rh.NotRun && resp.Status != http.StatusServiceUnavailable)
	if rh.NotRun { // a rejection may come from another server at the address
		j.contentTrial.endRun()
		j.addAttempts(-1)
	} else {
		g.recordAlive(started, id, "answers")
		g.recordServerAnswers(time.Now(), id)
		j.mayHaveRun.Store(true)
	}
	return resp, rh, nil
}

// writeResponse forwards a response to the caller. It returns an error only if nothing was written
// yet, so that another response is still possible. onLost is called with the error if the response breaks off on its way from
// the server.
func (g *Gateway) writeResponse(w http.ResponseWriter, j *job, resp *upstream.Response, onLost func(error)) error {
	body := &boundedAnswer{Reader: resp, left: g.maxAnswerBytes(j)}
	buffered, isWhole, release, err := g.buffers.buffer(j.conn, body)
	defer release()
	if err != nil {
		onLost(err)
		return err
	}
	h := w.Header()
	for name, values := range forwardedHeaders(resp.Header) {
		h[name] = values
	}
	switch {
	case isWhole && bodyAllowed(resp.Status):
		if j.request.Method != http.MethodHead || resp.Length < 0 {
			h.Set("Content-Length", strconv.Itoa(len(buffered)))
		} else {
			h.Set("Content-Length", strconv.FormatInt(resp.Length, 10))
		}
	case resp.Length >= 0 && bodyAllowed(resp.Status):
		h.Set("Content-Length", strconv.FormatInt(resp.Length, 10))
	}
	w.WriteHeader(resp.Status)
	if _, err := w.Write(buffered); err != nil {
		return nil
	}
	if !isWhole {
		if _, err := io.Copy(w, body); err != nil {
			g.options.Log.Info("broke off an answer", "request", j.header.ID, "reason", err.Error())
			if body.err != nil { // otherwise the caller takes no more
				onLost(body.err)
			}
			g.recordEnd(j, 0, "broke off the answer: "+err.Error())
			breakOff(w, j.request)
		}
	}
	return nil
}

// breakOff ends the caller's connection within an answer, so that the caller can't take a truncated body for a complete one.
// It panics with http.ErrAbortHandler.
func breakOff(w http.ResponseWriter, r *http.Request) {
	if !r.ProtoAtLeast(1, 1) { // a body without a length ends with its connection, and only a reset tells a caller more
		if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
			connguard.Reset(conn)
		}
	}
	panic(http.ErrAbortHandler)
}

// endPanicked is deferred by the handler of a request. If the handler has panicked, it logs and counts the end of the request,
// and breaks off the answer. The process goes on, also if another instance has passed the request on.
func (g *Gateway) endPanicked(w http.ResponseWriter, j *job) {
	p := recover()
	switch p {
	case nil:
		return
	case http.ErrAbortHandler: // the answer was broken off for another reason, which is logged
		panic(p)
	}
	g.options.Log.Info("the handler of a request panicked", "request", j.header.ID, "reason", fmt.Sprint(p), "stack", string(debug.Stack()))
	g.recordEnd(j, 0, "the handler panicked")
	breakOff(w, j.request)
}

func bodyAllowed(status int) bool {
	return status >= 200 && status != http.StatusNoContent && status != http.StatusNotModified
}
