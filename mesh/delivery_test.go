package mesh

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/balsamlb/balsamlb/instance"
	"github.com/balsamlb/balsamlb/instance/wire"
	"github.com/balsamlb/balsamlb/internal/emulate"
	"github.com/balsamlb/balsamlb/internal/meter"
	"github.com/balsamlb/balsamlb/routing"
	"github.com/go-logr/logr"
	"github.com/matryer/is"
)

// applyTarget is the time within which deployments want a named document in force.
const applyTarget = 3 * time.Second

// receiver is a gateway's mesh that hears of documents and fetches them.
type receiver struct {
	*Mesh
	traffic *meter.Traffic
}

func newReceiver(t *testing.T) receiver {
	t.Helper()
	r := receiver{traffic: &meter.Traffic{}}
	dialer, err := instance.NewDialer("127.0.0.1:0", nil, r.traffic)
	if err != nil {
		t.Fatal(err)
	}
	r.Mesh, err = New(Options{Name: "g", Dialer: dialer, Log: logr.Discard(),
		Decode: func(text []byte) (*routing.Document, error) { return &routing.Document{}, nil }})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- r.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return r
}

// hear passes a heartbeat on that names the version.
func (r receiver) hear(address string, version uint64) {
	r.mergeHeartbeat(address, &wire.WatchBeat{RoutingVersion: version})
}

// await fails the test unless the version is in force within the limit.
func (r receiver) await(t *testing.T, version uint64, limit time.Duration) {
	t.Helper()
	timeout := time.After(limit)
	for {
		changed := r.Changed()
		if have, _ := r.Routing(); have >= version {
			return
		}
		select {
		case <-changed:
		case <-timeout:
			t.Fatalf("document %d is not in force %v after it was named", version, limit)
		}
	}
}

// listen calls serve for each connection to a loopback address, until the test ends.
func listenLoopback(t *testing.T, serve func(net.Conn)) string {
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
			go serve(c)
		}
	}()
	return l.Addr().String()
}

// hang returns the address of a process that accepts connections and never answers.
func hang(t *testing.T) string {
	return listenLoopback(t, func(c net.Conn) { _, _ = io.Copy(io.Discard, c) })
}

// serveDocuments returns the address of a control instance with the source of documents.
func serveDocuments(t *testing.T, m instance.WatchSource) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := instance.NewServer(nil, nil)
	s.SetWatchSource(m)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- s.Serve(ctx, l) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return l.Addr().String()
}

// narrow returns an address from which the other one is reached by a link of the given rate, in bytes a second,
// over all connections. It sends in blocks of 1 KiB.
func narrow(t *testing.T, address string, rate int) string {
	t.Helper()
	const block = 1 << 10
	link, err := emulate.NarrowLink(t.Context(), address, block, block*time.Second/time.Duration(rate))
	if err != nil {
		t.Fatal(err)
	}
	return link
}

// document returns a text of lines that hardly compresses, for the seed.
func document(seed uint64, lines int) string {
	random := rand.New(rand.NewPCG(seed, 0))
	var b strings.Builder
	for i := range lines {
		fmt.Fprintf(&b, "route %d %016x%016x\n", i, random.Uint64(), random.Uint64())
	}
	return b.String()
}

func publish(t *testing.T, m *Mesh, version uint64, text string) {
	t.Helper()
	if err := m.Publish(routing.Publication{Version: version, Bytes: compressed(t, text)}); err != nil {
		t.Fatal(err)
	}
}

// Guards against control instances that hang before a sound one is asked: each took the whole time of a fetch.
func TestHangingControlInstancesDoNotHoldUpASoundOne(t *testing.T) {
	control := newTestMesh(t, "127.0.0.1:1")
	publish(t, control, 1, "one")
	r := newReceiver(t)
	for range 4 {
		r.hear(hang(t), 1)
	}
	r.hear(serveDocuments(t, control), 1)
	r.await(t, 1, applyTarget)
}

// Guards against the name of a document that is dropped since a hanging control instance has filled a queue.
func TestNoNamedDocumentIsDropped(t *testing.T) {
	control := newTestMesh(t, "127.0.0.1:1")
	publish(t, control, 1, "one")
	sound, frozen := serveDocuments(t, control), hang(t)
	r := newReceiver(t)
	for range 40 {
		r.hear(frozen, 1)
	}
	r.hear(sound, 1)
	r.await(t, 1, applyTarget)
}

// Guards against a fetch that fails and is taken up only by a later heartbeat.
func TestFailedFetchIsRepeatedWithoutAnotherHeartbeat(t *testing.T) {
	control := newTestMesh(t, "127.0.0.1:1")
	publish(t, control, 1, "one")
	sound := serveDocuments(t, control)
	refusals := make(chan struct{}, 2)
	address := listenLoopback(t, func(c net.Conn) {
		defer c.Close()
		select {
		case refusals <- struct{}{}:
			return
		default:
		}
		up, err := net.Dial("tcp", sound)
		if err != nil {
			return
		}
		defer up.Close()
		go func() { _, _ = io.Copy(up, c) }()
		_, _ = io.Copy(c, up)
	})
	r := newReceiver(t)
	r.hear(address, 1)
	r.await(t, 1, applyTarget)
}

// Guards against a document that is never in force since it needs longer than one call lasts.
func TestDocumentLargerThanOneCallMovesArrives(t *testing.T) {
	control := newTestMesh(t, "127.0.0.1:1")
	text := document(7, 12000)
	publish(t, control, 1, text)
	_, encoded := control.Routing()
	address := narrow(t, serveDocuments(t, control), 192<<10)
	r := newReceiver(t)
	for range 5 { // heartbeats go on
		r.hear(address, 1)
	}
	t.Logf("document of %d bytes, encoded %d, link of %d bytes a second", len(text), len(encoded), 192<<10)
	r.await(t, 1, 5*applyTarget) // the link takes over one second, the rest is room for a loaded machine
}

// Guards against a document that is never in force since no part of it comes within a second.
func TestDocumentArrivesOverALinkThatCarriesNoPartInASecond(t *testing.T) {
	control := newTestMesh(t, "127.0.0.1:1")
	publish(t, control, 1, document(7, 3600))
	_, encoded := control.Routing()
	t.Logf("document of %d bytes", len(encoded))
	r := newReceiver(t)
	r.hear(narrow(t, serveDocuments(t, control), 16<<10), 1)
	r.await(t, 1, 5*applyTarget) // the link takes 5 s
}

// Guards against a slow control instance that moves and holds up a fast one.
func TestSlowControlInstanceIsOvertakenByAFastOne(t *testing.T) {
	control := newTestMesh(t, "127.0.0.1:1")
	publish(t, control, 1, document(7, 6000))
	address := serveDocuments(t, control)
	r := newReceiver(t)
	slow := narrow(t, address, 20<<10)
	r.hear(slow, 1)
	for r.traffic.Received() < 8<<10 { // it is asked, and moves
		time.Sleep(time.Millisecond)
	}
	r.hear(address, 1)
	r.await(t, 1, applyTarget)
}

// Guards against the whole document being sent for a change of one line.
func TestChangeOfOneLineIsSentAsAPatch(t *testing.T) {
	is := is.New(t)
	control := newTestMesh(t, "127.0.0.1:1")
	address := serveDocuments(t, control)
	r := newReceiver(t)
	text := document(7, 6000)
	publish(t, control, 1, text)
	r.hear(address, 1)
	r.await(t, 1, applyTarget)
	whole := r.traffic.Received()
	changed := strings.Replace(text, "route 3000 ", "route 3000x ", 1)
	publish(t, control, 2, changed)
	r.hear(address, 2)
	r.await(t, 2, applyTarget)
	patch := r.traffic.Received() - whole
	t.Logf("whole document %d bytes, change %d bytes", whole, patch)
	is.True(patch < whole/20)
}

// Guards against a fetch that asks for the first part again and again: the control instance had a newer document by then
// than the one that it had named, of which this instance had nothing.
func TestDocumentThatIsReplacedBeforeItIsFetched(t *testing.T) {
	control := newTestMesh(t, "127.0.0.1:1")
	publish(t, control, 2, document(7, 6000))
	r := newReceiver(t)
	r.hear(serveDocuments(t, control), 1)
	r.await(t, 2, applyTarget)
}

// Guards against a fetch that can't keep its parts beside those of newer documents, and begins again and again.
func TestPartsOfTooManyDocumentsEndTheFetch(t *testing.T) {
	is := is.New(t)
	var d partialDocuments
	part := func(version uint64) error {
		_, _, err := d.add(&wire.FetchRoutingResponse{Version: version, Size: 2, Document: []byte("x")})
		return err
	}
	is.NoErr(part(4))
	is.NoErr(part(3))
	is.True(errors.Is(part(2), errTooManyDocuments))
	is.NoErr(part(5)) // in place of the oldest
	is.Equal(d.upTo(4).version, uint64(4))
	is.Equal(d.upTo(3), nil)
}

// Pattern: control instances that have newer documents are lost while these are fetched, and one that lags remains. Guards
// against its document being refused for the parts of the newer ones, which nobody completes.
func TestPartsThatNobodyCompletesMakeWay(t *testing.T) {
	is := is.New(t)
	m := newTestMesh(t, "")
	part := func(address string, version, offset uint64) ([]byte, error) {
		encoded, _, err := m.addPart(address, &wire.FetchRoutingResponse{Version: version, Size: 2, Offset: offset, Document: []byte("x")})
		return encoded, err
	}
	_, err := part("a", 5, 0)
	is.NoErr(err)
	_, err = part("b", 4, 0)
	is.NoErr(err)
	_, err = part("c", 3, 0)
	is.NoErr(err)
	encoded, err := part("c", 3, 1)
	is.NoErr(err)
	is.Equal(string(encoded), "xx")

	_, err = part("b", 4, 0) // in place of the oldest
	is.NoErr(err)
	m.fetches.plan.Heard(time.Now(), "a", 5)
	is.Equal(m.fetches.plan.Next(time.Now()).Ask, "a")
	_, err = part("c", 3, 0)
	is.True(errors.Is(err, errTooManyDocuments)) // a newer one is on its way
}
