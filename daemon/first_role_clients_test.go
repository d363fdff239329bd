package daemon

import (
	"fmt"
	"io"
	"log/slog"
	"math"
	"net"
	"net/http"
	"runtime"
	"runtime/debug"
	"sync"
	"testing"
	"time"

	"github.com/balsamlb/balsamlb/caller"
	"github.com/balsamlb/balsamlb/operator"
	"github.com/balsamlb/balsamlb/settings"
	"github.com/go-logr/logr"
)

// firstRoleMB is the memory that a Daemon of a test may use.
const firstRoleMB = 128

// startFirstRole starts a Daemon that is its own control instance, and returns its settings.
func startFirstRole(t *testing.T) settings.Process {
	t.Helper()
	address := func(i int) string { return fmt.Sprintf("127.0.34.%d:%d", i, freePort(t)) }
	p := settings.Process{
		Name: "kandy-1", DataCentre: "kandy", Callers: address(1), Backends: address(2), Operators: address(3), Platform: address(4),
		Instances: address(5), DataFolder: t.TempDir(), MemoryMB: firstRoleMB,
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
	p := startFirstRole(t)
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
