package upstream

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/balsamlb/balsamlb/internal/answers"
	"github.com/rotisserie/eris"
)

var (
	// ErrNotSent means that no byte of the request has left this process.
	ErrNotSent = errors.New("upstream: the request was not sent")
	// ErrInterrupted means that the server sent no complete answer. It may have run the request.
	ErrInterrupted = errors.New("upstream: the server sent no complete answer")
)

// concurrentWriteSize is the smallest size of a body that is written while the client already
// waits for the answer. So the client can read an answer that the server sends before it has
// read the whole body.
const concurrentWriteSize = 16 << 10

// Request is one message to a backend server.
type Request struct {
	// Server identifies one start of the server. A connection is reused only if it was opened to
	// the same start.
	Server  string
	Address string
	Method  string
	// Target is the path and query as sent by the caller.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// HasBody is set if the request has a body, which may be empty.
	HasBody bool
	// MayDial ends the opening of a new connection when it ends; nil means no such end. DialTimeout bounds
	// that, too; 0 means the usual time.
	MayDial     context.Context
	DialTimeout time.Duration
	// MaySend is asked right before the first byte is sent, when the connection is open. Its error
	// ends the request, wrapped in ErrNotSent. If it is nil, the request is sent.
	MaySend func() error
	// IsAnswer reports by status and header whether an answer belongs to this request. If it is
	// nil, every answer does.
	IsAnswer func(status int, h http.Header) bool
}

// Response is the answer of a backend server. It must be closed.
type Response struct {
	Status int
	Header http.Header
	// Length is the length of the body, or -1 if unknown.
	Length int64

	body       io.ReadCloser
	conn       *conn
	client     *Client
	stop       func() bool // prevents the end of the request's context from closing the connection
	writing    *writing
	mayReuse   bool
	isComplete bool

	endsWithConnection bool
}

// NewResponse returns a response that has come on another way than a client's connection. body returns io.EOF
// only at the end of a complete answer.
func NewResponse(status int, header http.Header, body io.ReadCloser) *Response {
	length, err := strconv.ParseInt(header.Get("Content-Length"), 10, 64)
	if err != nil {
		length = -1
	}
	return &Response{Status: status, Header: header, Length: length, body: body}
}

// Client sends requests to backend servers. It is safe for concurrent use.
type Client struct {
	pool pool
	// OnDial is called before each attempt to open a connection, possibly concurrently. It must be
	// set before the first request.
	OnDial func()
	// Dial opens a connection to an address. It must be set before the first request.
	Dial DialFunc
}

// DialFunc opens a connection to an address (IP:port). It must be safe for concurrent use.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// NewClient returns a client without open connections.
func NewClient() *Client {
	return &Client{pool: pool{idle: make(map[string][]*conn)}, OnDial: func() {}, Dial: dialTCP}
}

// CloseExpired closes idle connections that may no longer be reused.
func (c *Client) CloseExpired(now time.Time) { c.pool.closeExpired(now) }

// Close closes all idle connections. Requests can still be sent; their connections aren't kept.
func (c *Client) Close() { c.pool.close() }

// Do sends the request and returns the answer once its header has arrived. When ctx ends, the
// connection is closed, which makes the server stop. Every error wraps ErrNotSent or ErrInterrupted.
func (c *Client) Do(ctx context.Context, req *Request) (*Response, error) {
	cn, err := c.connect(ctx, req)
	if err != nil {
		return nil, eris.Wrapf(errors.Join(ErrNotSent, err), "upstream: dial %s", req.Address)
	}
	if req.MaySend != nil {
		if err := req.MaySend(); err != nil {
			_ = cn.Close()
			return nil, eris.Wrapf(errors.Join(ErrNotSent, err), "upstream: send to %s", req.Address)
		}
	}
	stop := context.AfterFunc(ctx, func() { _ = cn.Close() })
	resp, err := c.exchange(cn, req)
	if err != nil {
		stop()
		_ = cn.Close()
		return nil, eris.Wrapf(err, "upstream: exchange with %s", req.Address)
	}
	resp.stop = stop
	return resp, nil
}

// Probe opens a connection to an address and closes it again. The error wraps the dialler's error.
func (c *Client) Probe(ctx context.Context, address string) error {
	c.OnDial()
	cn, err := c.dial(ctx, address)
	if err != nil {
		return eris.Wrapf(err, "upstream: probe %s", address)
	}
	return eris.Wrapf(cn.Close(), "upstream: probe %s", address)
}

func (c *Client) connect(ctx context.Context, req *Request) (*conn, error) {
	if cn := c.pool.take(time.Now(), req.Server); cn != nil {
		return cn, nil
	}
	c.OnDial()
	if req.MayDial != nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithCancel(ctx)
		defer cancel()
		defer context.AfterFunc(req.MayDial, cancel)()
	}
	if req.DialTimeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, req.DialTimeout)
		defer cancel()
	}
	cn, err := c.dial(ctx, req.Address)
	if err != nil {
		return nil, err
	}
	cn.server = req.Server
	return cn, nil
}

func (c *Client) exchange(cn *conn, req *Request) (*Response, error) {
	w := &writing{ended: make(chan struct{})}
	head := encodeRequestHead(req)
	if len(req.Body) < concurrentWriteSize {
		n, err := cn.Write(append(head, req.Body...))
		if err != nil && n == 0 {
			return nil, errors.Join(ErrNotSent, err)
		}
		w.end(err)
	} else {
		if err := cn.setLongBody(true); err != nil {
			return nil, errors.Join(ErrNotSent, err)
		}
		go func() { w.end(writeAll(cn, head, req.Body)) }()
	}
	resp, err := cn.answers.Read(req.Method, req.IsAnswer)
	if err != nil {
		return nil, errors.Join(ErrInterrupted, err)
	}
	return &Response{
		Status: resp.StatusCode,
		Header: resp.Header,
		Length: resp.ContentLength,

		endsWithConnection: resp.ContentLength < 0 && len(resp.TransferEncoding) == 0,
		body:               resp.Body,
		conn:               cn,
		client:             c,
		writing:            w,
		mayReuse:           !resp.Close,
	}, nil
}

// writing is the writing of a request, which may go on while its answer is read.
type writing struct {
	ended chan struct{} // closed once err is set
	err   error
}

func (w *writing) end(err error) {
	w.err = err
	close(w.ended)
}

func (w *writing) hasEnded() bool {
	select {
	case <-w.ended:
		return true
	default:
		return false
	}
}

func writeAll(w io.Writer, parts ...[]byte) error {
	for _, p := range parts {
		if _, err := w.Write(p); err != nil {
			return err
		}
	}
	return nil
}

func encodeRequestHead(req *Request) []byte {
	var b bytes.Buffer
	b.WriteString(req.Method + " " + req.Target + " HTTP/1.1\r\nHost: " + req.Host + "\r\n")
	for name, values := range req.Header {
		for _, v := range values {
			b.WriteString(name + ": " + v + "\r\n")
		}
	}
	if req.HasBody {
		b.WriteString("Content-Length: " + strconv.Itoa(len(req.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// EndsWithConnection reports whether the body has neither a length nor chunks: its end can't be told
// from the end of its server.
func (r *Response) EndsWithConnection() bool { return r.endsWithConnection }

// Read reads the body. Any error except io.EOF means that the answer is incomplete; answers.IsMalformed tells
// whether the server sent bytes that are no part of a body.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	if err == io.EOF && r.endsWithConnection {
		if broken := r.conn.checkEnd(r.writing); broken != nil {
			err = broken
		}
	}
	switch {
	case err == io.EOF:
		r.isComplete = true
	case err != nil && r.conn != nil && !answers.IsEndOfConnection(err):
		err = errors.Join(answers.ErrNotHTTP, err)
	}
	return n, err
}

// Close returns the connection to the pool if the request was sent and the answer read completely
// and no further bytes arrived. Otherwise it closes the connection.
func (r *Response) Close() {
	if r.conn == nil {
		_ = r.body.Close() // nothing was sent on it that could be lost
		return
	}
	stopped := r.stop()
	cn := r.conn
	isWritten := r.writing.hasEnded() && r.writing.err == nil
	if !r.isComplete || !r.mayReuse || !stopped || !isWritten || cn.answers.Buffered() > 0 {
		_ = cn.Close()
		return
	}
	if err := cn.setLongBody(false); err != nil {
		_ = cn.Close()
		return
	}
	now := time.Now()
	cn.usableUntil = now.Add(idleTime(r.Header))
	r.client.pool.put(now, cn)
}

// idleTime returns how long an idle connection may be reused, by the server's Keep-Alive header.
func idleTime(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return max(0, time.Duration(seconds)*time.Second-idleMargin)
		}
	}
	return defaultIdle
}

// IsTimeout reports whether an error is a timeout of the connection.
func IsTimeout(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}
