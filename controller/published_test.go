package controller

import (
	"context"
	"errors"
	"testing"

	"github.com/balsamlb/balsamlb/consensus"
	"github.com/balsamlb/balsamlb/control"
	"github.com/balsamlb/balsamlb/replica"
	"github.com/balsamlb/balsamlb/routing"
	"github.com/go-logr/logr"
	"github.com/matryer/is"
)

type noPeers struct{}

func (noPeers) Send(consensus.Message) {}
func (noPeers) Reach(string, string)   {}

// lateProposer learns no result in time.
type lateProposer struct{ discardProposer }

func (lateProposer) Propose(ctx context.Context, _ replica.Command) (replica.Result, error) {
	<-ctx.Done()
	return replica.Result{}, ctx.Err()
}

// Guards against reads of the configuration that fail while commits take longer than operators wait, though the replica
// knows that its document is the newest.
func TestDocumentIsReadWhileCommitsAreLate(t *testing.T) {
	is := is.New(t)
	store, stored, err := control.OpenStorage(t.TempDir(), "c")
	is.NoErr(err)
	c := newTestController(t)
	c.options.Proposer = lateProposer{}
	h, err := control.NewHost(control.Options{ID: "c", Voters: []string{"c"}, Storage: store, Sender: noPeers{},
		OnView: func(replica.View) {}, OnRouting: func(routing.Publication) {}, Log: logr.Discard()}, stored)
	is.NoErr(err)
	c.SetHost(h)
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error)
	go func() { ended <- h.Run(ctx) }()
	defer func() {
		stop()
		is.NoErr(<-ended)
		is.NoErr(store.Close())
	}()
	text := []byte(`{"Version":3}`)
	data, err := replica.Command{Publish: &replica.Publish{Version: 3, Document: c.encoder.EncodeAll(text, nil)}}.Encode()
	is.NoErr(err)
	for err = consensus.ErrNotLeader; errors.Is(err, consensus.ErrNotLeader); {
		_, err = h.Propose(ctx, data)
	}
	is.NoErr(err)
	got, err := c.Published(t.Context())
	is.NoErr(err)
	is.Equal(string(got), string(text))
}
