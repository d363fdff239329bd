package backend_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/balsamlb/balsamlb/backend"
	"github.com/balsamlb/balsamlb/internal/emulate"
	"github.com/balsamlb/balsamlb/placement"
)

// serveRaw answers each request with the given bytes, ends the connection, and returns the address.
func serveRaw(t *testing.T, answer string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				r, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = io.WriteString(c, answer)
			}()
		}
	}()
	return l.Addr().String()
}

// Guards against answers of servers in trouble that are taken for answers: each request that an instance sends to a
// backend server fails, and may have run.
func TestBrokenAnswersAreNoAnswers(t *testing.T) {
	kinds := map[string]string{
		"nothing":  "",
		"cut head": "HTTP/1.1 200 OK\r\nContent-Le",
		"cut body": "HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\n",
	}
	const opened = `{"kind":"opened","request":"r"}` + "\n"
	for _, broken := range emulate.BrokenHeads("") {
		kinds[broken.Name] = fmt.Sprintf("%s\r\n%x\r\n%s\r\n0\r\n\r\n", broken.Head, len(opened), opened)
	}
	for name, answer := range kinds {
		t.Run(name, func(t *testing.T) {
			ref := backend.StageRef{Server: "s", Address: serveRaw(t, answer)}
			result, err := backend.Call(t.Context(), backend.CallRequest{Server: "s", Address: ref.Address, Service: "desk", Request: "r"})
			var failed *backend.CallError
			if !errors.As(err, &failed) || !failed.Sent {
				t.Errorf("a call is answered: %+v, %v", result, err)
			}
			c, said, err := backend.OpenStage(t.Context(), backend.OpenStageRequest{Chain: []backend.StageRef{ref}})
			if err == nil {
				if frame, err := c.Next(); err == nil {
					t.Errorf("a stage is opened: %+v", frame)
				}
				c.Close()
			}
			if err != nil && said.IsHeard {
				t.Errorf("the server is heard in no answer: %+v", said)
			}
			if errors.Is(err, backend.ErrRefused) {
				t.Error("the stage is reported as refused")
			}
			if err := backend.StartStage(t.Context(), ref, backend.StartRequest{Request: "r"}); err == nil {
				t.Error("a stage is started")
			}
			if _, err := backend.Resolve(t.Context(), "s", ref.Address, backend.ResolveRequest{}); err == nil {
				t.Error("the state of a request is known")
			}
			if err := backend.CancelStage(t.Context(), ref, "r"); err == nil {
				t.Error("a stage is cancelled")
			}
			if said, err := backend.SendOrder(t.Context(), placement.Order{Server: "s", Address: ref.Address}); said != placement.AnswerLost || err == nil {
				t.Errorf("an order is answered: %v, %v", said, err)
			}
		})
	}
}
