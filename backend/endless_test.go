package backend_test

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/balsamlb/balsamlb/backend"
	"github.com/balsamlb/balsamlb/internal/emulate"
)

// maxSent bounds what a server sends of an answer that is ended: the largest answer to a call, and the
// buffers of the connection.
const maxSent = 16 << 20

const head = "HTTP/1.1 200 OK\r\n"

// Guards against a server that ends an instance by bytes that are no answer, without end: a bounded part
// of them is read, and the connection is closed.
func TestEndlessAnswersAreEnded(t *testing.T) {
	steps := map[string]func(ctx context.Context, address string) error{
		"call": func(ctx context.Context, address string) error {
			_, err := backend.Call(ctx, backend.CallRequest{Server: "s", Address: address, Service: "desk", Request: "r"})
			var failed *backend.CallError
			if !errors.As(err, &failed) || !failed.Sent {
				return errors.New("the call is reported as not sent, or as answered")
			}
			return nil
		},
		"stage": func(ctx context.Context, address string) error {
			ref := backend.StageRef{Server: "s", Address: address}
			c, _, err := backend.OpenStage(ctx, backend.OpenStageRequest{Chain: []backend.StageRef{ref}})
			if errors.Is(err, backend.ErrRefused) {
				return errors.New("the stage is reported as refused")
			}
			if err != nil {
				return nil
			}
			defer c.Close()
			stop := context.AfterFunc(ctx, c.Close)
			defer stop()
			for err == nil {
				_, err = c.Next()
			}
			return nil
		},
	}
	kinds := append(emulate.EndlessAnswers(head), emulate.EndlessStreams(head)...)
	for step, run := range steps {
		for _, kind := range kinds {
			t.Run(step+", "+kind.Name, func(t *testing.T) {
				t.Parallel()
				l, err := net.Listen("tcp", "127.0.0.1:0")
				if err != nil {
					t.Fatal(err)
				}
				defer l.Close()
				server := emulate.ServeEndless(l, kind)
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				if err := run(ctx, l.Addr().String()); err != nil {
					t.Error(err)
				}
				for server.Open() > 0 {
					time.Sleep(time.Millisecond)
				}
				if sent := server.Sent(); sent > maxSent {
					t.Errorf("the server could send %d bytes, allowed are %d", sent, maxSent)
				}
			})
		}
	}
}
