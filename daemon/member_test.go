package daemon

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/balsamlb/balsamlb/internal/lab"
	"github.com/balsamlb/balsamlb/settings"
	"github.com/go-logr/logr"
	"github.com/matryer/is"
)

// testSystem runs three control instances and a gateway on loopback addresses, with a fake backend
// server.
type testSystem struct {
	t         *testing.T
	folder    string
	ports     map[string]int
	stopFuncs map[string]func()
	backend   string
	// ended receives instances that have ended without being stopped.
	ended chan error
}

// freePort returns a port that is free on 127.0.0.1; the tests use it on other loopback addresses.
func freePort(t *testing.T) int {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port
}

const controlCount = 3

// The ports of the instances are none that the kernel gives to outgoing connections, which would take them.
var testPorts = map[string]int{"instances": 8084, "control": 8085, "callers": 8080, "ready": 8081}

// testNetwork is a loopback network that no other process uses.
var testNetwork = sync.OnceValue(func() string {
	network, listener, err := lab.ClaimNetwork()
	if err != nil {
		panic(err)
	}
	networkClaim = listener
	return network
})

// networkClaim keeps the claim until the process ends.
var networkClaim net.Listener

func controlIP(i int) string { return fmt.Sprintf("%s.31.%d", testNetwork(), i+1) }

func gatewayIP() string { return testNetwork() + ".31.9" }

func newTestSystem(t *testing.T) *testSystem {
	t.Helper()
	s := &testSystem{t: t, folder: t.TempDir(), ports: testPorts, stopFuncs: map[string]func(){}, ended: make(chan error, controlCount+1)}
	t.Cleanup(func() {
		for _, stop := range s.stopFuncs {
			stop()
		}
	})
	return s
}

func (s *testSystem) seeds() string {
	var out []string
	for i := range controlCount {
		out = append(out, fmt.Sprintf("%s:%d", controlIP(i), s.ports["control"]))
	}
	return strings.Join(out, ",")
}

// start writes the settings file of a gateway or controller, starts it, and stores the function that
// stops it.
func (s *testSystem) start(name string, role settings.Role, text string) {
	s.t.Helper()
	path := filepath.Join(s.folder, name+".ini")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		s.t.Fatal(err)
	}
	m, err := settings.ReadMember(path, role)
	if err != nil {
		s.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() {
		run := RunController
		if role == settings.RoleGateway {
			run = RunGateway
		}
		err := run(ctx, path, m, logr.Discard())
		if ctx.Err() == nil {
			s.ended <- fmt.Errorf("%s ended by itself: %w", name, err)
		}
		ended <- err
	}()
	s.stopFuncs[name] = func() {
		cancel()
		if err := <-ended; err != nil {
			s.t.Errorf("%s: %v", name, err)
		}
		delete(s.stopFuncs, name)
	}
}

func (s *testSystem) startController(i int, founding bool) {
	s.start(fmt.Sprint("control-", i), settings.RoleController, fmt.Sprintf(`[instance]
name = control-%d
data_centre = a
[listen]
control = %s:%d
instances = %s:%d
[control]
data_folder = %s
founding = %t
[join]
seeds = %s
[fleet]
announce_interval_ms = 50
`, i, controlIP(i), s.ports["control"], controlIP(i), s.ports["instances"], filepath.Join(s.folder, fmt.Sprint("data-", i)), founding, s.seeds()))
}

func (s *testSystem) startGateway() {
	s.start("gateway", settings.RoleGateway, fmt.Sprintf(`[instance]
name = gateway-1
data_centre = a
[listen]
callers = %[1]s:%[2]d
ready = %[1]s:%[3]d
instances = %[1]s:%[4]d
[join]
seeds = %[5]s
[limits]
grace_s = 3
`, gatewayIP(), s.ports["callers"], s.ports["ready"], s.ports["instances"], s.seeds()))
}

// serveBackend runs a fake backend server that answers every request with status 200.
func (s *testSystem) serveBackend() {
	l, err := net.Listen("tcp", testNetwork()+".31.8:0")
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = l.Close() })
	s.backend = l.Addr().String()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				br := bufio.NewReader(c)
				for {
					r, err := http.ReadRequest(br)
					if err != nil {
						return
					}
					fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nBalsamlb-Request-Id: %s\r\nBalsamlb-Response-Stamp: s\r\nContent-Length: 2\r\n\r\nok", r.Header.Get("Balsamlb-Request-Id"))
				}
			}()
		}
	}()
}

// call sends a request and returns the status and the body, or status 0 if there was no answer.
func (s *testSystem) call(method, url, host, body string) (int, string) {
	r, err := http.NewRequestWithContext(s.t.Context(), method, url, bytes.NewBufferString(body))
	if err != nil {
		s.t.Fatal(err)
	}
	r.Host = host
	r.Header.Set("Balsamlb-Request-Id", "r1")
	r.Close = true
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(text)
}

func (s *testSystem) control(i int, method, path, body string) (int, string) {
	return s.call(method, fmt.Sprintf("http://%s:%d%s", controlIP(i), s.ports["control"], path), "", body)
}

// eventually waits until the condition holds. It fails the test if that never happens.
func (s *testSystem) eventually(holds func() bool) {
	s.t.Helper()
	for !holds() {
		select {
		case <-s.t.Context().Done():
			s.t.Fatal("the condition never became true")
		case err := <-s.ended:
			s.t.Fatal(err)
		case <-time.After(10 * time.Millisecond):
		}
	}
}

func (s *testSystem) document(version int, prefix string) string {
	return fmt.Sprintf(`{"Version":%d,"Routes":[{"Name":"r","Hostname":"shop","PathPrefix":"/%s/","Kind":"idempotent","TimeoutMs":2000,"Service":"desk","MaxAttempts":2}],"Services":[{"Name":"desk"}]}`, version, prefix)
}

// publish sends a document to a control instance until it is acknowledged, as operators do.
func (s *testSystem) publish(version int, prefix string) {
	s.eventually(func() bool {
		status, _ := s.control(version%controlCount, http.MethodPut, "/-/config", s.document(version, prefix))
		return status == http.StatusOK
	})
}

func (s *testSystem) get(path string) int {
	s.announce()
	status, _ := s.call(http.MethodGet, fmt.Sprintf("http://%s:%d%s", gatewayIP(), s.ports["callers"], path), "shop", "")
	return status
}

var announcements = 0

// announce sends an announcement of the server to the first control instance that accepts it.
func (s *testSystem) announce() {
	announcements++
	body := fmt.Sprintf(`{"Service":"desk","Address":%q,"Zone":"a","Slots":6,"State":"ready","Seq":%d,"born":5}`, s.backend, announcements)
	for i := range controlCount {
		if status, _ := s.control(i, http.MethodPut, "/-/instances/d1", body); status == http.StatusOK {
			return
		}
	}
}

// Founds a control group from seeds, publishes documents and serves requests, while each control
// instance in turn is stopped and restarted and one of them loses its disk.
func TestGatewayServesThroughControlFailures(t *testing.T) {
	is := is.New(t)
	s := newTestSystem(t)
	s.serveBackend()
	for i := range controlCount {
		s.startController(i, true)
	}
	s.startGateway()
	ready := fmt.Sprintf("http://%s:%d/-/readiness", gatewayIP(), s.ports["ready"])
	s.eventually(func() bool {
		status, _ := s.call(http.MethodGet, ready, "", "")
		return status == http.StatusServiceUnavailable
	})
	s.publish(3, "one")
	s.eventually(func() bool { return s.get("/one/x") == http.StatusOK })
	status, _ := s.call(http.MethodGet, ready, "", "")
	is.Equal(status, http.StatusOK)
	status, _ = s.control(0, http.MethodPut, "/-/config", s.document(3, "other"))
	is.Equal(status, http.StatusConflict)

	for i := range controlCount {
		s.stopFuncs[fmt.Sprint("control-", i)]()
		s.publish(10+i, fmt.Sprint("lost", i))
		s.eventually(func() bool { return s.get(fmt.Sprintf("/lost%d/x", i)) == http.StatusOK })
		is.Equal(s.get("/one/x"), http.StatusNotFound)
		s.startController(i, false)
		s.eventually(func() bool {
			status, _ := s.control(i, http.MethodGet, "/-/config", "")
			return status == http.StatusOK
		})
	}

	s.stopFuncs["control-1"]()
	is.NoErr(os.RemoveAll(filepath.Join(s.folder, "data-1")))
	s.startController(1, false)
	s.publish(20, "wiped")
	s.eventually(func() bool {
		status, text := s.control(1, http.MethodGet, "/-/config", "")
		return status == http.StatusOK && text == s.document(20, "wiped")
	})
	s.eventually(func() bool { return s.get("/wiped/x") == http.StatusOK })
}

func TestChangedSeedsAreReloaded(t *testing.T) {
	s := newTestSystem(t)
	s.serveBackend()
	for i := range controlCount {
		s.startController(i, true)
	}
	path := filepath.Join(s.folder, "gateway.ini")
	s.start("gateway", settings.RoleGateway, fmt.Sprintf(`[instance]
name = gateway-1
data_centre = a
[listen]
callers = %[1]s:%[2]d
ready = %[1]s:%[3]d
instances = %[1]s:%[4]d
[join]
seeds = 127.0.31.77:1
`, gatewayIP(), s.ports["callers"], s.ports["ready"], s.ports["instances"]))
	s.publish(3, "one")
	text, err := os.ReadFile(path)
	is.New(t).NoErr(err)
	is.New(t).NoErr(os.WriteFile(path, bytes.ReplaceAll(text, []byte("127.0.31.77:1"), []byte(s.seeds())), 0o600))
	s.eventually(func() bool { return s.get("/one/x") == http.StatusOK })
}
