package gateway_test

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/balsamlb/balsamlb/gateway"
	"github.com/go-logr/logr/funcr"
	"github.com/prometheus/client_golang/prometheus"
)

// panickingWriter is a response whose head can't be written.
type panickingWriter struct{ *httptest.ResponseRecorder }

func (panickingWriter) WriteHeader(int) { panic("the head is unfit") }

// Guards against a panic in the handler of a request that leaves no line, ends the process (a request that another instance
// has passed on), or keeps what the request held.
func TestPanicInAHandlerIsLoggedAndHoldsNothing(t *testing.T) {
	const panics = 40 // more than the slots of the server and the drafts for which it has memory
	var mu sync.Mutex
	var log bytes.Buffer
	registry := prometheus.NewRegistry()
	f := newFleetWith(t, func(o *gateway.Options) {
		o.Registry = registry
		o.Log = funcr.New(func(_, args string) {
			mu.Lock()
			defer mu.Unlock()
			log.WriteString(args + "\n")
		}, funcr.Options{})
	})
	f.serve("desk", "desk", 0, 0, func(c net.Conn, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		reply(c, http.StatusOK, "ok")
	})
	f.serve("advice", "advice", 0, 4, func(c net.Conn, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		streamHeader(c)
		chunk(c, event(1))
		chunk(c, "")
	})
	f.publish()
	for _, path := range []string{"/hold/1", "/once/1"} {
		for range panics {
			r := httptest.NewRequest(http.MethodPost, path, strings.NewReader("x"))
			r.Host = "shop"
			r.Header.Set("Balsamlb-Request-Id", requestID)
			r.Header.Set("Api-Key", "key-1")
			func() {
				defer func() {
					if p := recover(); p != http.ErrAbortHandler {
						t.Errorf("the handler ends with %v", p)
					}
				}()
				f.gateway.ServeHTTP(panickingWriter{httptest.NewRecorder()}, r)
			}()
		}
		if r := f.send(http.MethodPost, path, nil, strings.NewReader("x")); r.status != http.StatusOK || r.err != nil {
			t.Errorf("%s after %d panics: status %d, %v, body %q", path, panics, r.status, r.err, r.body)
		}
	}
	mu.Lock()
	defer mu.Unlock()
	if n := strings.Count(log.String(), `"reason"="the head is unfit"`); n != 2*panics {
		t.Errorf("%d panics left %d lines", 2*panics, n)
	}
	if n := requestsEnded(t, registry, "0"); n != 2*panics {
		t.Errorf("%d panics are counted %v times", 2*panics, n)
	}
}

// requestsEnded returns how many requests a gateway has counted with a status.
func requestsEnded(t *testing.T, r *prometheus.Registry, status string) (n float64) {
	t.Helper()
	families, err := r.Gather()
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range families {
		for _, m := range f.GetMetric() {
			if f.GetName() == "balsamlb_gateway_requests_total" && m.GetLabel()[0].GetValue() == status {
				n += m.GetCounter().GetValue()
			}
		}
	}
	return n
}
