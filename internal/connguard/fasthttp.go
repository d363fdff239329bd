package connguard

import (
	"errors"
	"fmt"
	"io"
	"net"

	"github.com/balsamlb/balsamlb/intake"
	"github.com/valyala/fasthttp"
)

// Cost returns how much memory it may take to handle a request that has arrived whole, besides its head and body.
type Cost func(ctx *fasthttp.RequestCtx) int64

// DecodedBody is the cost of decoding a body as JSON.
func DecodedBody(ctx *fasthttp.RequestCtx) int64 { return intake.DecodedBytes(ctx.Request.Body()) }

// GuardFastHTTP makes a server report to the guards of its connections what they do, and refuse bodies over its
// MaxRequestBodySize before they are read. Its ErrorHandler, if it has one, writes the refusals: the error is ErrNoMemory,
// fasthttp.ErrBodyTooLarge, or why the body could not be read.
func GuardFastHTTP(s *fasthttp.Server, cost Cost) {
	s.ConnState = func(c net.Conn, state fasthttp.ConnState) {
		if guarded := Of(c); guarded != nil && state == fasthttp.StateIdle {
			guarded.endRequest()
		}
	}
	limit, handle, refuse := s.MaxRequestBodySize, s.Handler, s.ErrorHandler
	if limit <= 0 {
		limit = fasthttp.DefaultMaxRequestBodySize
	}
	if refuse == nil {
		refuse = writeRefusal
	}
	s.StreamRequestBody = true
	s.Logger = discardLogger{} // it has a line for each connection that ends early
	s.Handler = func(ctx *fasthttp.RequestCtx) {
		if err := readBody(ctx, limit, cost); err != nil {
			refuse(ctx, err)
			ctx.SetConnectionClose()
			return
		}
		handle(ctx)
	}
}

type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

// writeRefusal writes the response to a request whose body isn't handled.
func writeRefusal(ctx *fasthttp.RequestCtx, err error) {
	switch {
	case errors.Is(err, ErrNoMemory):
		ctx.Error(err.Error(), fasthttp.StatusServiceUnavailable)
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		ctx.Error("the body is larger than the limit", fasthttp.StatusRequestEntityTooLarge)
	default:
		ctx.Error("the body could not be read", fasthttp.StatusRequestTimeout)
	}
}

// readBody reads the body of a request whole, and charges the request. After an error the request must not be handled.
func readBody(ctx *fasthttp.RequestCtx, limit int, cost Cost) error {
	conn := Of(ctx.Conn())
	if ctx.Request.IsBodyStream() {
		conn.BeginBody()
		length := ctx.Request.Header.ContentLength()
		if length > limit {
			return fasthttp.ErrBodyTooLarge
		}
		body, err := ReadWhole(conn, io.LimitReader(ctx.RequestBodyStream(), int64(limit)+1), int64(length))
		switch {
		case errors.Is(err, ErrNoMemory):
			return err
		case err != nil:
			return fmt.Errorf("the body could not be read: %w", err)
		case len(body) > limit:
			return fasthttp.ErrBodyTooLarge
		}
		ctx.Request.SetBodyRaw(body)
	}
	if !conn.BeginWork() || !conn.Grow(cost(ctx)) {
		return ErrNoMemory
	}
	return nil
}
