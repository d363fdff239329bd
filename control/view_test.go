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

type discardSender struct{}

func (discardSender) Send(consensus.Message) {}

func (discardSender) Reach(string, string) {}

// TestRestartedReplicaDoesNotPublishOlderView restarts a replica that used version 2 of the
// configuration before the restart. Its snapshot contains version 1, and the last log entry, with
// version 2, is not yet known to be committed.
func TestRestartedReplicaDoesNotPublishOlderView(t *testing.T) {
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
		ID: "kandy-1", Voters: []string{"kandy-1", "galle-1", "colombo-1"}, Storage: store, Sender: discardSender{},
		OnView: func(v replica.View) { versions = append(versions, v.Config.Version) }, Log: logr.Discard(),
	}, storage.Stored{
		HardState: consensus.HardState{Term: 1},
		Snapshot:  consensus.Snapshot{Index: 1, Term: 1, Data: data},
		Entries:   []consensus.Entry{{Index: 2, Term: 1, Data: change}},
	})
	is.NoErr(err)
	is.NoErr(h.process())
	is.Equal(versions, nil) // the commit index is not known yet
	h.minPublishCommit = 1
	is.NoErr(h.process())
	is.Equal(versions, []uint64{1}) // the old view is published if minPublishCommit doesn't prevent it
}
