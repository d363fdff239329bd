package mesh

import (
	"net"
	"strings"
	"testing"
	"time"

	"github.com/balsamlb/balsamlb/instance/wire"
	"github.com/go-logr/logr/funcr"
)

// Guards against a gateway that stays behind silently: which document, since when, who was asked and what came of it.
func TestDocumentThatStaysOutIsLogged(t *testing.T) {
	lines := make(chan string, 64)
	r := newReceiver(t)
	r.mu.Lock()
	r.options.Log = funcr.New(func(_, args string) { lines <- args }, funcr.Options{})
	r.mu.Unlock()
	frozen := hang(t)
	refusing := "127.0.0.1:1"
	r.hear(frozen, 7)
	r.hear(refusing, 7)
	timeout := time.After(applyTarget)
	for {
		select {
		case line := <-lines:
			if !strings.Contains(line, "is not in force") {
				continue
			}
			for _, part := range []string{`"version"=7`, `"in_force"=0`, `"named_by"="` + frozen, frozen + " version 7", refusing + " version 7", "refused"} {
				if !strings.Contains(line, part) {
					t.Errorf("the line lacks %q: %s", part, line)
				}
			}
			return
		case <-timeout:
			t.Fatal("nothing was logged")
		}
	}
}

// Guards against failures that are counted under another reason than theirs, so that a hung control instance can't be told
// from one that is gone or sends damaged documents.
func TestFailedFetchesAreCountedByReason(t *testing.T) {
	control := newTestMesh(t, "127.0.0.1:1")
	publish(t, control, 7, "seven")
	empty := &alteredSource{Mesh: control, alter: func(_ *wire.FetchRoutingRequest, resp *wire.FetchRoutingResponse) { resp.Document = nil }}
	closing := listenLoopback(t, func(c net.Conn) { _ = c.Close() })
	for reason, address := range map[FetchFailure]string{
		FetchRefused: "127.0.0.1:1", FetchTimedOut: hang(t), FetchDamaged: serveDocuments(t, empty), FetchBroken: closing,
	} {
		r := newReceiver(t)
		r.hear(address, 7)
		for deadline := time.Now().Add(applyTarget); r.DeliveryStatus().Failures[reason] == 0; time.Sleep(time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatalf("no failure is counted as %s: %v", reason, r.DeliveryStatus().Failures)
			}
		}
		if s := r.DeliveryStatus(); len(s.Failures) != 1 || s.Heard != 7 || s.InForce != 0 || s.BehindFor <= 0 {
			t.Errorf("%s: %+v", reason, s)
		}
	}
}

// Guards against a gateway that counts as behind although the document is in force.
func TestStatusOfADeliveredDocument(t *testing.T) {
	control := newTestMesh(t, "127.0.0.1:1")
	publish(t, control, 7, "seven")
	r := newReceiver(t)
	r.hear(serveDocuments(t, control), 7)
	r.await(t, 7, applyTarget)
	if s := r.DeliveryStatus(); s.Heard != 7 || s.InForce != 7 || s.BehindFor != 0 || s.WholeBytes == 0 || s.PatchBytes != 0 {
		t.Errorf("%+v", s)
	}
}
