package mesh

import (
	"errors"
	"fmt"
	"testing"

	"github.com/balsamlb/balsamlb/instance/wire"
	"github.com/balsamlb/balsamlb/routing"
	"github.com/matryer/is"
)

// Pattern: documents change often at control instances with little processor time. Guards against work for documents that
// they only pass on (docs/incidents/election-storm.md).
func TestControlInstanceReadsOnlyDocumentsThatItNeeds(t *testing.T) {
	is := is.New(t)
	control := newTestMesh(t, "10.0.0.5:7")
	reads, decode := 0, control.options.Decode
	control.options.Decode = func(text []byte) (*routing.Document, error) {
		reads++
		return decode(text)
	}
	for version := range uint64(5) {
		publish(t, control, version+1, fmt.Sprint("text ", version))
		resp, err := control.FetchRouting(&wire.FetchRoutingRequest{})
		is.NoErr(err)
		is.Equal(resp.Version, version+1)
	}
	is.Equal(reads, 0)
	is.True(control.Snapshot().Table != nil) // as the leader's planner asks for
	control.Snapshot()
	is.Equal(reads, 1)
}

// Guards against a control instance of an older build that keeps a document away which gateways can read.
func TestControlInstancePassesOnADocumentThatItCannotRead(t *testing.T) {
	is := is.New(t)
	control := newTestMesh(t, "10.0.0.5:7")
	publish(t, control, 1, "one")
	table := control.Snapshot().Table
	reads := 0
	control.options.Decode = func([]byte) (*routing.Document, error) {
		reads++
		return nil, errors.New("a field of a newer build")
	}
	publish(t, control, 2, "two")
	is.Equal(control.Snapshot().Table, table)
	is.Equal(control.Snapshot().Table, table)
	is.Equal(reads, 1)
	resp, err := control.FetchRouting(&wire.FetchRoutingRequest{})
	is.NoErr(err)
	is.Equal(resp.Version, uint64(2))
}
