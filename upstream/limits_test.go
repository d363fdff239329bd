package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/balsamlb/balsamlb/internal/answers"
	"github.com/balsamlb/balsamlb/internal/emulate"
	"github.com/matryer/is"
)

// maxSent bounds what a server sends of an answer that the client ends: what the client reads, and the
// buffers of the connection.
const maxSent = 16 << 20

// Guards against a server that ends an instance by bytes that are no answer, without end: the client
// reads a bounded part of them, and closes the connection.
func TestEndlessAnswersAreEnded(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Id: a\r\n"
	wholeBodies := map[string]bool{"body": true, "body, slowly": true} // answers, which the caller bounds
	wantErr := map[string]error{
		"no HTTP": answers.ErrNotHTTP, "one header line": answers.ErrHeadTooLong, "header lines": answers.ErrHeadTooLong, "interim answers": answers.ErrOnlyInterim,
		"body of another request": answers.ErrSkippedTooLong, "body of another request, chunked": answers.ErrSkippedTooLong,
	}
	for _, kind := range emulate.EndlessAnswers(head) {
		if wholeBodies[kind.Name] {
			continue
		}
		t.Run(kind.Name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer l.Close()
			server := emulate.ServeEndless(l, kind)
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			err = exchangeOnce(ctx, l.Addr().String())
			is.True(err != nil)
			if want := wantErr[kind.Name]; want != nil {
				is.True(errors.Is(err, want))
				is.True(answers.IsMalformed(err))
				is.True(errors.Is(err, ErrInterrupted)) // the request may have run
			}
			for server.Open() > 0 {
				time.Sleep(time.Millisecond)
			}
			is.True(server.Sent() < maxSent)
		})
	}
}

// exchangeOnce sends a request and reads the answer as a whole.
func exchangeOnce(ctx context.Context, address string) error {
	c := NewClient()
	resp, err := c.Do(ctx, &Request{
		Server: "s", Address: address, Method: http.MethodGet, Target: "/", Host: "shop",
		IsAnswer: func(_ int, h http.Header) bool { return h.Get("X-Id") == "a" },
	})
	if err != nil {
		return err
	}
	defer resp.Close()
	_, err = io.Copy(io.Discard, resp)
	return err
}
