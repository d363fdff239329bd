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
	"testing"
	"time"

	"github.com/balsamlb/balsamlb/settings"
	"github.com/go-logr/logr"
	"github.com/matryer/is"
)

// system is three control instances and a gateway on loopback, before a stand-in server.
type system struct {
	t       *testing.T
	folder  string
	ports   map[string]int
	stops   map[string]func()
	backend string
}

// freePort finds a port that is free on all loopback addresses that the test uses.
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

func controlIP(i int) string { return fmt.Sprintf("127.0.31.%d", i+1) }

func newSystem(t *testing.T) *system {
	t.Helper()
	s := &system{t: t, folder: t.TempDir(), ports: map[string]int{}, stops: map[string]func(){}}
	for _, name := range []string{"instances", "control", "callers", "ready"} {
		s.ports[name] = freePort(t)
	}
	t.Cleanup(func() {
		for _, stop := range s.stops {
			stop()
		}
	})
	return s
}

func (s *system) seeds() string {
	var out []string
	for i := range controlCount {
		out = append(out, fmt.Sprintf("%s:%d", controlIP(i), s.ports["control"]))
	}
	return strings.Join(out, ",")
}

// run starts a member by its settings file and keeps how to stop it.
func (s *system) run(name string, role settings.Role, text string) {
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
		if role == settings.RoleGateway {
			ended <- RunGateway(ctx, path, m, logr.Discard())
			return
		}
		ended <- RunController(ctx, path, m, logr.Discard())
	}()
	s.stops[name] = func() {
		cancel()
		if err := <-ended; err != nil {
			s.t.Errorf("%s: %v", name, err)
		}
		delete(s.stops, name)
	}
}

func (s *system) runController(i int, founding bool) {
	s.run(fmt.Sprint("control-", i), settings.RoleController, fmt.Sprintf(`[instance]
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

func (s *system) runGateway() {
	s.run("gateway", settings.RoleGateway, fmt.Sprintf(`[instance]
name = gateway-1
data_centre = a
[listen]
callers = 127.0.31.9:%d
ready = 127.0.31.9:%d
instances = 127.0.31.9:%d
[join]
seeds = %s
[limits]
grace_s = 3
`, s.ports["callers"], s.ports["ready"], s.ports["instances"], s.seeds()))
}

// serveBackend plays a plain server.
func (s *system) serveBackend() {
	l, err := net.Listen("tcp", "127.0.31.8:0")
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

// call sends a request and returns status and body; status 0 stands for no answer.
func (s *system) call(method, url, host, body string) (int, string) {
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

func (s *system) control(i int, method, path, body string) (int, string) {
	return s.call(method, fmt.Sprintf("http://%s:%d%s", controlIP(i), s.ports["control"], path), "", body)
}

// until waits for what holds in the end.
func (s *system) until(holds func() bool) {
	s.t.Helper()
	for !holds() {
		select {
		case <-s.t.Context().Done():
			s.t.Fatal("never came to hold")
		case <-time.After(10 * time.Millisecond):
		}
	}
}

func (s *system) document(version int, prefix string) string {
	return fmt.Sprintf(`{"Version":%d,"Routes":[{"Name":"r","Hostname":"shop","PathPrefix":"/%s/","Kind":"idempotent","TimeoutMs":2000,"Service":"desk","MaxAttempts":2}],"Services":[{"Name":"desk"}]}`, version, prefix)
}

// publish sends a document until it is acknowledged, as the operator does.
func (s *system) publish(version int, prefix string) {
	s.until(func() bool {
		status, _ := s.control(version%controlCount, http.MethodPut, "/-/config", s.document(version, prefix))
		return status == http.StatusOK
	})
}

func (s *system) ask(path string) int {
	s.beat()
	status, _ := s.call(http.MethodGet, fmt.Sprintf("http://127.0.31.9:%d%s", s.ports["callers"], path), "shop", "")
	return status
}

var beats = 0

// beat lets the server announce itself at any control instance.
func (s *system) beat() {
	beats++
	body := fmt.Sprintf(`{"Service":"desk","Address":%q,"Zone":"a","Slots":6,"State":"ready","Seq":%d,"born":5}`, s.backend, beats)
	for i := range controlCount {
		if status, _ := s.control(i, http.MethodPut, "/-/instances/d1", body); status == http.StatusOK {
			return
		}
	}
}

// TestTheWholePath founds a group from seeds, publishes, serves, loses control instances one
// after the other, and loses the disk of one.
func TestTheWholePath(t *testing.T) {
	is := is.New(t)
	s := newSystem(t)
	s.serveBackend()
	for i := range controlCount {
		s.runController(i, true)
	}
	s.runGateway()
	ready := fmt.Sprintf("http://127.0.31.9:%d/-/readiness", s.ports["ready"])
	s.until(func() bool {
		status, _ := s.call(http.MethodGet, ready, "", "")
		return status == http.StatusServiceUnavailable
	})
	s.publish(3, "one")
	s.until(func() bool { return s.ask("/one/x") == http.StatusOK })
	status, _ := s.call(http.MethodGet, ready, "", "")
	is.Equal(status, http.StatusOK)
	status, _ = s.control(0, http.MethodPut, "/-/config", s.document(3, "other"))
	is.Equal(status, http.StatusConflict)

	for i := range controlCount {
		s.stops[fmt.Sprint("control-", i)]()
		s.publish(10+i, fmt.Sprint("lost", i))
		s.until(func() bool { return s.ask(fmt.Sprintf("/lost%d/x", i)) == http.StatusOK })
		is.Equal(s.ask("/one/x"), http.StatusNotFound)
		s.runController(i, false)
		s.until(func() bool {
			status, _ := s.control(i, http.MethodGet, "/-/config", "")
			return status == http.StatusOK
		})
	}

	s.stops["control-1"]()
	is.NoErr(os.RemoveAll(filepath.Join(s.folder, "data-1")))
	s.runController(1, false)
	s.publish(20, "wiped")
	s.until(func() bool {
		status, text := s.control(1, http.MethodGet, "/-/config", "")
		return status == http.StatusOK && text == s.document(20, "wiped")
	})
	s.until(func() bool { return s.ask("/wiped/x") == http.StatusOK })
}

func TestChangedSeedsAreTakenOver(t *testing.T) {
	s := newSystem(t)
	s.serveBackend()
	for i := range controlCount {
		s.runController(i, true)
	}
	path := filepath.Join(s.folder, "gateway.ini")
	s.run("gateway", settings.RoleGateway, fmt.Sprintf(`[instance]
name = gateway-1
data_centre = a
[listen]
callers = 127.0.31.9:%d
ready = 127.0.31.9:%d
instances = 127.0.31.9:%d
[join]
seeds = 127.0.31.77:1
`, s.ports["callers"], s.ports["ready"], s.ports["instances"]))
	s.publish(3, "one")
	text, err := os.ReadFile(path)
	is.New(t).NoErr(err)
	is.New(t).NoErr(os.WriteFile(path, bytes.ReplaceAll(text, []byte("127.0.31.77:1"), []byte(s.seeds())), 0o600))
	s.until(func() bool { return s.ask("/one/x") == http.StatusOK })
}
