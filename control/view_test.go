package control

import (
	"testing"

	"github.com/balsamlb/balsamlb/config"
	"github.com/balsamlb/balsamlb/consensus"
	"github.com/balsamlb/balsamlb/replica"
	"github.com/balsamlb/balsamlb/storage"
	"github.com/go-logr/logr"
	"github.com/matryer/is"
)

type noSender struct{}

func (noSender) Send(consensus.Message) {}

func (noSender) Reach(string, string) {}

// TestARestartedReplicaDoesNotPublishAnOlderView restarts a replica that had version 2 in
// force, from a snapshot of version 1 and a log whose end it doesn't know to be committed.
func TestARestartedReplicaDoesNotPublishAnOlderView(t *testing.T) {
	is := is.New(t)
	state := replica.NewState()
	state.Apply(1, replica.Command{Change: &config.Change{ID: "one", Base: "one"}})
	data, err := state.Snapshot()
	is.NoErr(err)
	change, err := replica.Command{Change: &config.Change{ID: "two", Expect: 1, Base: "two"}}.Encode()
	is.NoErr(err)
	store, _, err := storage.Open(storage.Options{Folder: t.TempDir()})
	is.NoErr(err)
	t.Cleanup(func() { _ = store.Close() })
	var versions []uint64
	h, err := NewHost(Options{
		ID: "kandy-1", Voters: []string{"kandy-1", "galle-1", "colombo-1"}, Storage: store, Sender: noSender{},
		OnView: func(v replica.View) { versions = append(versions, v.Config.Version) }, Log: logr.Discard(),
	}, storage.Stored{
		HardState: consensus.HardState{Term: 1},
		Snapshot:  consensus.Snapshot{Index: 1, Term: 1, Data: data},
		Entries:   []consensus.Entry{{Index: 2, Term: 1, Data: change}},
	})
	is.NoErr(err)
	is.NoErr(h.process())
	is.Equal(versions, nil) // nobody has said yet what is committed
	h.quietUntil = 1
	is.NoErr(h.process())
	is.Equal(versions, []uint64{1}) // as it would have been
}
