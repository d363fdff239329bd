package connguard

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/balsamlb/balsamlb/intake"
	"github.com/matryer/is"
)

// serve serves requests on loopback, whose bodies are read, and returns the guard and the address.
func serve(t *testing.T, limits intake.Limits, h http.HandlerFunc) (*Guard, string) {
	t.Helper()
	g := New(Options{Name: "test", Limits: limits})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: h, ConnContext: ConnContext, ConnState: ConnState}
	go func() { _ = server.Serve(g.Listener(l)) }()
	go func() { _ = g.Run(t.Context()) }()
	t.Cleanup(func() { _ = server.Close() })
	return g, l.Addr().String()
}

// answerWhole answers requests that have arrived whole.
func answerWhole(w http.ResponseWriter, r *http.Request) {
	c := FromContext(r.Context())
	c.BeginBody()
	if _, err := ReadWhole(c, r.Body, r.ContentLength); err != nil || !c.BeginWork() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func dial(t *testing.T, address, data string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_, _ = io.WriteString(c, data) // fails if the connection makes way for others
	return c
}

// status returns the status of the next answer, or 0.
func status(c net.Conn) int {
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	return resp.StatusCode
}

const get = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

func TestConnectionsOfEndedRequestsHoldNothing(t *testing.T) {
	is := is.New(t)
	g, address := serve(t, intake.Limits{Bytes: 1 << 20}, answerWhole)
	const body = 300_000
	for range 5 {
		c := dial(t, address, fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", body, strings.Repeat("x", body)))
		is.Equal(status(c), http.StatusOK)
		_ = c.Close()
	}
	for g.Status().Connections > 0 {
		time.Sleep(time.Millisecond)
	}
	is.Equal(g.Status().Bytes, int64(0))
	is.Equal(g.Status().Closed[stageArriving], uint64(0))
}

// Guards against requests sent ahead whose begin, in the buffer of the server, nobody has counted.
func TestHeadsBehindARequestAreCharged(t *testing.T) {
	is := is.New(t)
	g, address := serve(t, intake.Limits{}, answerWhole)
	c := dial(t, address, get+"GET / HTTP/1.1\r\n"+strings.Repeat("a:\r\n", 500))
	is.Equal(status(c), http.StatusOK)
	time.Sleep(10 * time.Millisecond) // the next head is read
	is.True(g.Status().Bytes > connectionBytes+500*lineBytes)
}

func TestHeadOverTheLimitIsRefused(t *testing.T) {
	is := is.New(t)
	g, address := serve(t, intake.Limits{}, answerWhole)
	g.SetHeadLimits(HeadLimits{Bytes: 8000})
	is.Equal(status(dial(t, address, "GET / HTTP/1.1\r\nHost: h\r\nA: "+strings.Repeat("x", 7900)+"\r\n\r\n")), http.StatusOK)
	is.Equal(status(dial(t, address, "GET / HTTP/1.1\r\nHost: h\r\nA: "+strings.Repeat("x", 8000+readAhead))), http.StatusRequestHeaderFieldsTooLarge)
}

func TestHeadsAndIdleConnectionsEndInTime(t *testing.T) {
	g, address := serve(t, intake.Limits{}, answerWhole)
	g.SetHeadLimits(HeadLimits{Time: time.Millisecond, IdleTime: time.Millisecond})
	for _, sent := range []string{"", "GET / HTTP/1.1\r\n"} {
		if n, err := dial(t, address, sent).Read(make([]byte, 1)); n != 0 || err == nil {
			t.Errorf("after %q: %d, %v", sent, n, err)
		}
	}
}

// Guards against crowds that keep others out by filling the account.
func TestRequestIsServedBesideBodiesThatStop(t *testing.T) {
	is := is.New(t)
	g, address := serve(t, intake.Limits{Bytes: 2 << 20}, answerWhole)
	for range 30 {
		dial(t, address, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 200000\r\n\r\n"+strings.Repeat("x", 199_999))
	}
	time.Sleep(50 * time.Millisecond)
	is.Equal(status(dial(t, address, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 200000\r\n\r\n"+strings.Repeat("x", 200_000))), http.StatusOK)
	is.True(g.Status().Bytes <= 2<<20)
}

// Guards against a request that was passed on and is cut off for others.
func TestRequestThatIsWorkedOnIsNeverCut(t *testing.T) {
	is := is.New(t)
	begun, done := make(chan bool), make(chan bool)
	_, address := serve(t, intake.Limits{Bytes: 300 << 10}, func(w http.ResponseWriter, r *http.Request) {
		if FromContext(r.Context()).BeginWork() && r.URL.Path == "/long" {
			begun <- true
			<-done
		}
	})
	long := dial(t, address, "GET /long HTTP/1.1\r\nHost: h\r\n\r\n")
	<-begun
	for range 100 {
		dial(t, address, "GET / HTTP/1.1\r\n"+strings.Repeat("a:\r\n", 200))
	}
	time.Sleep(2 * time.Second)
	close(done)
	is.Equal(status(long), http.StatusOK)
}

func TestMemoryOfBodiesIsBounded(t *testing.T) {
	is := is.New(t)
	const limit = 6 * bodyStep
	g := New(Options{Limits: intake.Limits{Bytes: 2*connectionBytes + limit}})
	newConn := func() *Conn {
		a, b := net.Pipe()
		t.Cleanup(func() { _ = b.Close() })
		c, _ := g.open(a)
		c.begin(intake.Working) // makes way for nobody
		return c
	}
	slow, other := newConn(), newConn()
	body, err := ReadWhole(slow, strings.NewReader(strings.Repeat("x", limit/2-1)), limit/2)
	is.NoErr(err)
	is.Equal(len(body), limit/2-1)
	is.Equal(g.Status().Bytes, int64(2*connectionBytes+limit/2)) // no more than the length that was stated
	_, err = ReadWhole(other, strings.NewReader(strings.Repeat("x", limit)), limit)
	is.Equal(err, ErrNoMemory)
	_ = other.Close()
	_ = slow.Close()
	is.Equal(g.Status().Bytes, int64(0))
}

// manyFields is a head of the size, without its end, of very short fields.
func manyFields(size int) string {
	head := "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n"
	for n := 0; len(head) < size; n++ {
		head += fmt.Sprintf("%x:\r\n", n)
	}
	return head
}

// heldBytes is the memory of the heap and of the stacks, without garbage.
func heldBytes() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}

// Guards against stages that cost more than they are charged.
func TestChargesCoverWhatConnectionsHold(t *testing.T) {
	for _, c := range []struct{ stage, sent string }{
		{"nothing read", ""},
		{"short head", "GET / HTTP/1.1\r\n"},
		{"head of many fields", manyFields(16 << 10)},
		{"whole head of many fields, begun body", manyFields(16<<10) + "\r\nx"},
		{"body", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n" + strings.Repeat("x", 99_999)},
		{"worked on", "GET /wait HTTP/1.1\r\nHost: h\r\n\r\n"},
	} {
		t.Run(c.stage, func(t *testing.T) {
			const connections = 200
			done := make(chan bool)
			g, address := serve(t, intake.Limits{}, func(w http.ResponseWriter, r *http.Request) {
				answerWhole(w, r)
				if r.URL.Path == "/wait" {
					<-done
				}
			})
			before := heldBytes()
			for range connections {
				dial(t, address, c.sent)
			}
			charged := int64(0)
			for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
				if s := g.Status(); s.Connections == connections && s.Bytes == charged {
					break // all that was sent has been read
				}
				charged = g.Status().Bytes
			}
			held := heldBytes() - before
			close(done)
			t.Logf("a connection holds %d bytes and is charged %d", held/connections, charged/connections)
			if held > charged {
				t.Errorf("%d connections hold %d bytes, and are charged %d", connections, held, charged)
			}
		})
	}
}
