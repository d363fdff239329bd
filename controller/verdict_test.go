package controller

import (
	"context"
	"errors"
	"testing"

	"github.com/balsamlb/balsamlb/mesh"
	"github.com/balsamlb/balsamlb/replica"
	"github.com/balsamlb/balsamlb/routing"
	"github.com/go-logr/logr"
	"github.com/klauspost/compress/zstd"
	"github.com/matryer/is"
)

// stateProposer applies commands to a state at once, as the leader of a group would.
type stateProposer struct {
	discardProposer
	state *replica.State
	index uint64
}

func (p *stateProposer) Propose(_ context.Context, c replica.Command) (replica.Result, error) {
	p.index++
	return p.state.Apply(p.index, c), nil
}

// Guards against a document that is refused when it is sent again, because another build or another library has
// compressed it in another way.
func TestDocumentSentAgainIsAcceptedHoweverItWasCompressed(t *testing.T) {
	is := is.New(t)
	m, err := mesh.New(mesh.Options{Name: "c", ControlAddress: "10.0.0.1:7", Log: logr.Discard(),
		Decode: func([]byte) (*routing.Document, error) { return &routing.Document{}, nil }})
	is.NoErr(err)
	proposer := &stateProposer{state: replica.NewState()}
	c, err := New(Options{Name: "c", Mesh: m, Proposer: proposer, Log: logr.Discard()})
	is.NoErr(err)
	other, err := zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedBestCompression), zstd.WithEncoderCRC(false))
	is.NoErr(err)
	text := []byte(`{"Version":3,"Routes":[]}`)
	_, err = proposer.Propose(t.Context(), replica.Command{Publish: &replica.Publish{Version: 3, Document: other.EncodeAll(text, nil)}})
	is.NoErr(err)
	before := proposer.state.Routing
	publish := func(version uint64, text string) routing.Verdict {
		v, err := c.Publish(t.Context(), &routing.Document{Version: version}, []byte(text))
		is.NoErr(err)
		return v
	}
	is.Equal(publish(3, string(text)), routing.VerdictAccepted)
	is.Equal(publish(3, `{"Version":3,"Routes":[ ]}`), routing.VerdictConflict)
	is.Equal(publish(2, string(text)), routing.VerdictOutdated)
	is.Equal(proposer.state.Routing, before) // what is stored doesn't depend on the build
}

// Guards against a document without a version that is acknowledged and not stored.
func TestDocumentOfVersionZeroIsInvalid(t *testing.T) {
	is := is.New(t)
	c := newTestController(t)
	c.options.Proposer = &stateProposer{state: replica.NewState()}
	_, err := c.Publish(t.Context(), &routing.Document{}, []byte("{}"))
	is.True(errors.Is(err, routing.ErrInvalid))
}
