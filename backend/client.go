package backend

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/balsamlb/balsamlb/internal/answers"
	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
)

const (
	dialTimeout    = 250 * time.Millisecond
	maxCallBytes   = 4 << 20
	readBufferSize = 16 << 10
)

// Conn is a connection that carries a single request. Connections are not pooled, so a
// connection that has gone silent is never reused for another request, and no request is
// ever resent automatically. Only Close may be called concurrently with another method.
type Conn struct {
	server  string
	conn    net.Conn
	answers *answers.Reader
	resp    *http.Response // nil before its head has arrived
	frames  *bufio.Reader
}

// dial opens a connection whose read and write deadline is that of ctx.
func dial(ctx context.Context, server, address string) (*Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, eris.Wrapf(err, "backend: dial %s", server)
	}
	if deadline, ok := ctx.Deadline(); ok {
		// SetDeadline fails only on a closed connection, which the next write reports.
		_ = c.SetDeadline(deadline)
	}
	return &Conn{server: server, conn: c, answers: answers.NewReader(c, readBufferSize)}, nil
}

// Close closes the connection and so ends the request.
func (c *Conn) Close() { _ = c.conn.Close() }

// send writes the request and flushes it.
func (c *Conn) send(req *fasthttp.Request) error {
	out := bufio.NewWriter(c.conn)
	if err := req.Write(out); err != nil {
		return eris.Wrapf(err, "backend: write request to %s", c.server)
	}
	if err := out.Flush(); err != nil {
		return eris.Wrapf(err, "backend: write request to %s", c.server)
	}
	return nil
}

// readHead reads the head of the response.
func (c *Conn) readHead() (err error) {
	c.resp, err = c.answers.Read(http.MethodPost, nil)
	return eris.Wrapf(err, "backend: read response from %s", c.server)
}

// readResponse reads the response and returns its body, of at most limit bytes.
func (c *Conn) readResponse(limit int64) ([]byte, error) {
	if err := c.readHead(); err != nil {
		return nil, err
	}
	body, err := io.ReadAll(io.LimitReader(c.resp.Body, limit+1))
	if err != nil {
		return nil, eris.Wrapf(err, "backend: read response from %s", c.server)
	}
	if int64(len(body)) > limit {
		return nil, eris.Errorf("backend: the response of %s is longer than %d bytes", c.server, limit)
	}
	return body, nil
}

func (c *Conn) post(address, path string, body any) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + address + path)
	req.Header.SetContentType("application/json")
	data, err := json.Marshal(body)
	if err != nil {
		return eris.Wrap(err, "backend: encode request")
	}
	req.SetBody(data)
	return c.send(req)
}

// CallRequest is one call to a plain service.
type CallRequest struct {
	Server      string
	Address     string
	Service     string
	Request     string // the request's ID
	Workspace   string
	Key         string // the idempotency key, "" if none
	ContentType string
	Body        []byte
	// Incarnation is the server's incarnation at the time it was chosen.
	Incarnation uint64
}

// CallAnswer is a backend server's response to a call.
type CallAnswer struct {
	Status      int
	ContentType string
	Body        []byte
	// NotRun means that the server refused the call before running it.
	NotRun bool
	// Said is what the server says about itself.
	Said SelfReport
}

// CallError is a failed call; it records whether the server may have run the call.
type CallError struct {
	Err error
	// Sent means that the call may have reached the server.
	Sent bool
}

func (e *CallError) Error() string { return e.Err.Error() }

// Unwrap returns the underlying error.
func (e *CallError) Unwrap() error { return e.Err }

// Call sends the call once and reads the response. Every error is a *CallError.
func Call(ctx context.Context, cr CallRequest) (CallAnswer, error) {
	c, err := dial(ctx, cr.Server, cr.Address)
	if err != nil {
		return CallAnswer{}, &CallError{Err: err}
	}
	defer c.Close()
	stop := context.AfterFunc(ctx, c.Close)
	defer stop()
	if err := c.sendCall(cr); err != nil {
		return CallAnswer{}, &CallError{Err: err, Sent: true}
	}
	body, err := c.readResponse(maxCallBytes)
	if err != nil {
		return CallAnswer{}, &CallError{Err: err, Sent: true}
	}
	return CallAnswer{
		Status:      c.resp.StatusCode,
		ContentType: c.resp.Header.Get("Content-Type"),
		Body:        body,
		NotRun:      isRefusal(c.resp),
		Said:        parseSelfReport(c.resp),
	}, nil
}

// isRefusal reports whether the response states that the server did not run the request.
func isRefusal(resp *http.Response) bool {
	return resp.StatusCode >= http.StatusBadRequest && resp.Header.Get(HeaderOutcome) == OutcomeNotRun
}

func (c *Conn) sendCall(cr CallRequest) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + cr.Address + PathCall + cr.Service)
	req.Header.SetContentType(cr.ContentType)
	req.Header.Set(HeaderRequest, cr.Request)
	req.Header.Set(HeaderWorkspace, cr.Workspace)
	req.Header.Set(HeaderIncarnation, strconv.FormatUint(cr.Incarnation, 10))
	if cr.Key != "" {
		req.Header.Set(HeaderKey, cr.Key)
	}
	req.SetBody(cr.Body)
	return c.send(req)
}
