package connguard

import (
	"errors"
	"io"
	"net"

	"github.com/balsamlb/balsamlb/intake"
	"github.com/valyala/fasthttp"
)

// GuardFastHTTP makes a server report to the guards of its connections what they do, and refuse bodies over its
// MaxRequestBodySize before they are read.
func GuardFastHTTP(s *fasthttp.Server) {
	s.ConnState = func(c net.Conn, state fasthttp.ConnState) {
		if guarded, ok := c.(*Conn); ok && state == fasthttp.StateIdle {
			guarded.endRequest()
		}
	}
	limit, handle := s.MaxRequestBodySize, s.Handler
	if limit <= 0 {
		limit = fasthttp.DefaultMaxRequestBodySize
	}
	s.StreamRequestBody = true
	s.Logger = discardLogger{} // it has a line for each connection that ends early
	s.Handler = func(ctx *fasthttp.RequestCtx) {
		if readBody(ctx, limit) {
			handle(ctx)
		} else {
			ctx.SetConnectionClose()
		}
	}
}

type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

// readBody reads the body of a request whole. If it can't, it writes an error response and returns false.
func readBody(ctx *fasthttp.RequestCtx, limit int) bool {
	conn, _ := ctx.Conn().(*Conn)
	var body []byte
	if ctx.Request.IsBodyStream() {
		conn.BeginBody()
		length := ctx.Request.Header.ContentLength()
		if length > limit {
			ctx.Error("the body is larger than the limit", fasthttp.StatusRequestEntityTooLarge)
			return false
		}
		var err error
		body, err = ReadWhole(conn, io.LimitReader(ctx.RequestBodyStream(), int64(limit)+1), int64(length))
		switch {
		case errors.Is(err, ErrNoMemory):
			ctx.Error(err.Error(), fasthttp.StatusServiceUnavailable)
			return false
		case err != nil:
			ctx.Error("the body could not be read", fasthttp.StatusRequestTimeout)
			return false
		case len(body) > limit:
			ctx.Error("the body is larger than the limit", fasthttp.StatusRequestEntityTooLarge)
			return false
		}
		ctx.Request.SetBodyRaw(body)
	}
	if !conn.BeginWork() || !conn.Grow(intake.DecodedBytes(body)) {
		ctx.Error(ErrNoMemory.Error(), fasthttp.StatusServiceUnavailable)
		return false
	}
	return true
}
