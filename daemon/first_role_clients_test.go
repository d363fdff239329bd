package daemon

import (
	"fmt"
	"io"
	"log/slog"
	"math"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"runtime/debug"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/balsamlb/balsamlb/backend"
	"github.com/balsamlb/balsamlb/caller"
	"github.com/balsamlb/balsamlb/config"
	"github.com/balsamlb/balsamlb/operator"
	"github.com/balsamlb/balsamlb/settings"
	"github.com/go-logr/logr"
)

// firstRoleMB is the memory that a Daemon of a test may use.
const firstRoleMB = 128

// startFirstRole starts a Daemon that is its own control instance, and returns its settings.
func startFirstRole(t *testing.T, memoryMB int) settings.Process {
	t.Helper()
	address := func(i int) string { return fmt.Sprintf("127.0.34.%d:%d", i, freePort(t)) }
	p := settings.Process{
		Name: "kandy-1", DataCentre: "kandy", Callers: address(1), Backends: address(2), Operators: address(3), Platform: address(4),
		Instances: address(5), DataFolder: t.TempDir(), MemoryMB: memoryMB,
	}
	p.Advertise = p.Instances
	p.Voters = []settings.Voter{{Name: p.Name, Address: p.Advertise}}
	t.Cleanup(func() { debug.SetMemoryLimit(math.MaxInt64) })
	d, err := New(p, logr.FromSlogHandler(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- d.Run(t.Context()) }()
	t.Cleanup(func() {
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	return p
}

// answers reports whether a request over a new connection is answered with the status.
func answers(address, path string, status int) bool {
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + address + path)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == status
}

func eventuallyAnswers(t *testing.T, address, path string, status int) {
	t.Helper()
	for end := time.Now().Add(hangTimeout); !answers(address, path, status); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Errorf("%s%s doesn't answer with %d", address, path, status)
			return
		}
	}
}

// Guards against clients that fill the memory of a process without a role with bodies that never end.
func TestDaemonOutlivesBodiesThatStop(t *testing.T) {
	p := startFirstRole(t, firstRoleMB)
	isServed := func() {
		t.Helper()
		eventuallyAnswers(t, p.Callers, "/nowhere", http.StatusNotFound)
		eventuallyAnswers(t, p.Operators, operator.PathStatus, http.StatusOK)
		eventuallyAnswers(t, p.Platform, "/livez", http.StatusOK)
	}
	isServed()
	body := make([]byte, 16<<20)
	var sending sync.WaitGroup
	for _, door := range []struct {
		address, path, fields string
		length, connections   int
	}{
		{p.Callers, caller.PathServices + "stock", "", 16 << 20, 12},
		{p.Callers, caller.PathServices + "stock", "Content-Type: multipart/form-data; boundary=b\r\n", 16 << 20, 12},
		{p.Operators, operator.PathConfig, "", 8 << 20, 24},
	} {
		for range door.connections {
			c, err := net.Dial("tcp", door.address)
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			sending.Go(func() {
				_ = c.SetWriteDeadline(time.Now().Add(4 * time.Second))
				_, _ = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h\r\n%sContent-Length: %d\r\n\r\n", door.path, door.fields, door.length)
				_, _ = io.WriteString(c, "--b\r\nContent-Disposition: form-data; name=\"a\"\r\n\r\n")
				_, _ = c.Write(body[:door.length-100])
			})
		}
	}
	sending.Wait()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	t.Logf("%d MB of heap in use", m.HeapAlloc>>20)
	if m.HeapAlloc > firstRoleMB<<20 {
		t.Errorf("%d MB of heap are in use, more than %d MB", m.HeapAlloc>>20, firstRoleMB)
	}
	isServed()
}

// Guards against an account in which the largest call inside the limits has no place in calm.
func TestLargestCallIsAnsweredInCalm(t *testing.T) {
	const largest = 16 << 20
	p := startFirstRole(t, 384) // what docs/design/0618-connections-of-clients.md states
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n, _ := io.Copy(io.Discard, r.Body)
		_, _ = fmt.Fprint(w, n)
	}))
	defer server.Close()
	eventuallyAnswers(t, p.Operators, operator.PathStatus, http.StatusOK)
	post := func(address, path, body string) (status int, answer string) {
		r, err := http.NewRequest(http.MethodPost, "http://"+address+path, strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		r.Header.Set(caller.HeaderWorkspace, "kandy")
		resp, err := http.DefaultClient.Do(r)
		if err != nil {
			return 0, err.Error()
		}
		defer resp.Body.Close()
		data, _ := io.ReadAll(resp.Body)
		return resp.StatusCode, string(data)
	}
	change := config.Change{ID: "first", Base: fmt.Sprintf("[limits]\nmax_body = %d\n[service stock]\n[workspace kandy]\n", largest)}
	announce := func(sequence int) {
		post(p.Backends, backend.PathAnnounce, fmt.Sprintf(`{"name":"stock-0","incarnation":1,"sequence":%d,"address":"%s","data_centre":"kandy","services":["stock"],"slots":4}`,
			sequence, server.Listener.Addr()))
	}
	status, answer := 0, ""
	for sequence, end := 1, time.Now().Add(hangTimeout); status != http.StatusOK && time.Now().Before(end); sequence++ {
		_, _ = operator.NewClient(p.Operators).Change(change) // accepted once
		announce(sequence)
		status, answer = post(p.Callers, caller.PathServices+"stock", "ordinary")
	}
	if status != http.StatusOK {
		t.Fatalf("an ordinary call: status %d: %s", status, answer)
	}
	announce(1 << 20)
	status, answer = post(p.Callers, caller.PathServices+"stock", strings.Repeat("x", largest))
	if status != http.StatusOK || answer != fmt.Sprint(largest) {
		t.Errorf("the largest call: status %d: %s", status, answer)
	}
}
