package mesh

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/balsamlb/balsamlb/instance"
	"github.com/balsamlb/balsamlb/instance/wire"
	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
)

// alteredSource changes the answers of a control instance.
type alteredSource struct {
	*Mesh
	alter func(req *wire.FetchRoutingRequest, resp *wire.FetchRoutingResponse)

	mu       sync.Mutex
	requests []*wire.FetchRoutingRequest
}

func (s *alteredSource) FetchRouting(req *wire.FetchRoutingRequest) (*wire.FetchRoutingResponse, error) {
	resp, err := s.Mesh.FetchRouting(req)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests = append(s.requests, req)
	if s.alter != nil {
		s.alter(req, resp)
	}
	return resp, nil
}

// last returns the latest request, and the number of requests.
func (s *alteredSource) last() (*wire.FetchRoutingRequest, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests[len(s.requests)-1], len(s.requests)
}

// Guards against a document that never arrives from a control instance of an older build, which knows no parts.
func TestWholeDocumentOfAnOlderBuildIsTaken(t *testing.T) {
	control := newTestMesh(t, "127.0.0.1:1")
	publish(t, control, 1, document(7, 6000))
	older := &alteredSource{Mesh: control, alter: func(_ *wire.FetchRoutingRequest, resp *wire.FetchRoutingResponse) {
		_, whole := control.Routing()
		*resp = wire.FetchRoutingResponse{Version: 1, Document: whole}
	}}
	r := newReceiver(t)
	r.hear(serveDocuments(t, older), 1)
	r.await(t, 1, applyTarget)
}

// Pattern: a gateway without processor time takes long to put a document in force that it has received whole, and asks
// other control instances meanwhile. Guards against sound ones that then count as failed (docs/incidents/election-storm.md).
func TestFetchBesideACompleteDocumentSucceeds(t *testing.T) {
	is := is.New(t)
	control, gateway := newTestMesh(t, "10.0.0.5:7"), newTestMesh(t, "")
	publish(t, control, 1, "one")
	req, _ := gateway.fetchRequest(1)
	first, err := control.FetchRouting(req)
	is.NoErr(err)
	encoded, _, err := gateway.addPart("10.0.0.5:7", first)
	is.NoErr(err)
	is.True(encoded != nil) // complete, and not in force yet

	req, base := gateway.fetchRequest(1)
	second, err := control.FetchRouting(req)
	is.NoErr(err)
	goesOn, err := gateway.takeAnswer("10.0.0.6:7", req, second, base)
	is.NoErr(err)
	is.True(!goesOn)
	version, _ := gateway.Routing()
	is.Equal(version, uint64(1))
}

// Guards against damaged parts, or parts of two encodings, that are put in force or keep the document away.
func TestDamagedPartsLeadToAWholeFetch(t *testing.T) {
	is := is.New(t)
	control := newTestMesh(t, "127.0.0.1:1")
	publish(t, control, 1, document(7, 6000))
	damaging := &alteredSource{Mesh: control, alter: func(req *wire.FetchRoutingRequest, resp *wire.FetchRoutingResponse) {
		if req.Offset > 0 {
			resp.Document = bytes.Repeat([]byte{1}, len(resp.Document))
		}
	}}
	r := newReceiver(t)
	r.hear(serveDocuments(t, damaging), 1)
	r.await(t, 1, applyTarget)
	last, _ := damaging.last()
	is.True(!last.TakesParts)
}

// Guards against a patch that leads to another text than the control instance has.
func TestPatchWithAnotherResultIsNotPutInForce(t *testing.T) {
	is := is.New(t)
	control := newTestMesh(t, "127.0.0.1:1")
	text := document(7, 600)
	publish(t, control, 1, text)
	other, err := instance.CompressView([]byte("another text"), []byte(text))
	is.NoErr(err)
	damaging := &alteredSource{Mesh: control, alter: func(req *wire.FetchRoutingRequest, resp *wire.FetchRoutingResponse) {
		if resp.Patches {
			resp.Document = other
		}
	}}
	address := serveDocuments(t, damaging)
	r := newReceiver(t)
	r.hear(address, 1)
	r.await(t, 1, applyTarget)
	publish(t, control, 2, text+"end")
	r.hear(address, 2)
	r.await(t, 2, applyTarget)
	is.Equal(string(r.texts.Text(2)), text+"end")
}

// Guards against asking a control instance without end that always sends the same part, or parts that were not asked for.
func TestControlInstanceThatRepeatsAPartIsAFailure(t *testing.T) {
	control := newTestMesh(t, "127.0.0.1:1")
	publish(t, control, 1, document(7, 12000))
	first, err := control.FetchRouting(&wire.FetchRoutingRequest{TakesParts: true})
	is.New(t).NoErr(err)
	repeating := &alteredSource{Mesh: control, alter: func(_ *wire.FetchRoutingRequest, resp *wire.FetchRoutingResponse) {
		proto.Reset(resp)
		proto.Merge(resp, first)
	}}
	r := newReceiver(t)
	r.hear(serveDocuments(t, repeating), 1)
	for deadline := time.Now().Add(applyTarget); r.DeliveryStatus().Failures[FetchDamaged] == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			_, n := repeating.last()
			t.Fatalf("no failure after %d requests", n)
		}
	}
	r.hear(serveDocuments(t, &alteredSource{Mesh: control}), 1)
	r.await(t, 1, applyTarget)
}

// Guards against parts that are thrown away when the control instance that sent them hangs.
func TestAnotherControlInstanceContinuesTheDocument(t *testing.T) {
	is := is.New(t)
	control := newTestMesh(t, "127.0.0.1:1")
	publish(t, control, 1, document(7, 12000))
	stuck := make(chan struct{})
	defer close(stuck)
	hanging := &alteredSource{Mesh: control}
	hangingAt, continuing := make(chan struct{}), &alteredSource{Mesh: control}
	hanging.alter = func(req *wire.FetchRoutingRequest, _ *wire.FetchRoutingResponse) {
		if req.Offset > 0 {
			close(hangingAt)
			<-stuck
		}
	}
	r := newReceiver(t)
	r.hear(serveDocuments(t, hanging), 1)
	<-hangingAt
	r.hear(serveDocuments(t, continuing), 1)
	r.await(t, 1, applyTarget)
	is.Equal(continuing.requests[0].Offset, uint64(instance.PartBytes))
}

// Guards against a part of unbounded size, and against a fetch that never ends since documents change faster than it
// goes on.
func TestPartsAreBoundedAndOutliveTheirDocument(t *testing.T) {
	is := is.New(t)
	control := newTestMesh(t, "127.0.0.1:1")
	publish(t, control, 1, document(7, 12000))
	_, encoded := control.Routing()
	got := []byte{}
	for version := uint64(2); len(got) < len(encoded); version++ {
		resp, err := control.FetchRouting(&wire.FetchRoutingRequest{TakesParts: true, Version: 1, Offset: uint64(len(got))})
		is.NoErr(err)
		is.Equal(resp.Version, uint64(1))
		is.True(len(resp.Document) <= instance.PartBytes)
		got = append(got, resp.Document...)
		publish(t, control, version, document(version, 600))
	}
	is.True(bytes.Equal(got, encoded))
	for version := uint64(10); version < 10+2*maxEarlierDocuments; version++ {
		publish(t, control, version, document(version, 600))
	}
	is.Equal(len(control.earlier), maxEarlierDocuments)
	resp, err := control.FetchRouting(&wire.FetchRoutingRequest{TakesParts: true, Version: 1, Offset: 5})
	is.NoErr(err)
	is.Equal(resp.Offset, uint64(0)) // the first part of another document
}

// Guards against patches for instances that serve the encoded document on, and against patches that save nothing.
func TestPatchIsSentOnlyWhereItServes(t *testing.T) {
	is := is.New(t)
	control := newTestMesh(t, "127.0.0.1:1")
	text := document(7, 600)
	publish(t, control, 1, text)
	have := instance.HashView([]byte(text))
	publish(t, control, 2, strings.Replace(text, "route 5 ", "route 5x ", 1))
	isPatch := func(req *wire.FetchRoutingRequest) bool {
		resp, err := control.FetchRouting(req)
		is.NoErr(err)
		return resp.Patches
	}
	is.True(isPatch(&wire.FetchRoutingRequest{HaveVersion: 1, HaveHash: have, TakesParts: true}))
	is.True(!isPatch(&wire.FetchRoutingRequest{HaveVersion: 1, HaveHash: have + 1, TakesParts: true}))
	is.True(!isPatch(&wire.FetchRoutingRequest{HaveVersion: 1, TakesParts: true}))
	publish(t, control, 3, "a")
	is.True(!isPatch(&wire.FetchRoutingRequest{HaveVersion: 1, HaveHash: have, TakesParts: true}))
	standby := newTestMesh(t, "127.0.0.1:2")
	publish(t, standby, 1, text)
	req, base := standby.fetchRequest(2)
	is.True(base == nil)
	is.Equal(req.HaveHash, uint64(0))
}
