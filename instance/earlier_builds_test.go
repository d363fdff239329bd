package instance

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/balsamlb/balsamlb/consensus"
	"github.com/balsamlb/balsamlb/control"
	"github.com/balsamlb/balsamlb/instance/wire"
	"github.com/balsamlb/balsamlb/replica"
	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
)

// What an earlier landing has written must stay readable. The files of each were written by that build;
// c3c2c99 is the one that wrote commits in records of their own.
func TestFilesAndMessagesOfEarlierBuildsAreRead(t *testing.T) {
	for _, test := range []struct {
		build  string
		commit consensus.Position
	}{
		{"54072c9", consensus.Position{}},
		{"f7e7bc0", consensus.Position{}},
		{"c3c2c99", consensus.Position{Term: 2, Index: 6}},
	} {
		t.Run(test.build, func(t *testing.T) {
			is := is.New(t)
			from := filepath.Join("testdata", "builds", test.build)
			folder := t.TempDir()
			is.NoErr(os.CopyFS(folder, os.DirFS(filepath.Join(from, "folder"))))
			for range 2 { // as it was written, and as this build has left it
				l, stored, err := control.OpenStorage(folder, "kandy-1")
				is.NoErr(err)
				is.NoErr(l.Close())
				is.Equal(stored.HardState, consensus.HardState{Term: 3, Vote: "kandy-1", Commit: test.commit})
				is.Equal(stored.Snapshot.Membership.Group, uint64(9))
				checkState(t, stored.Snapshot, stored.Entries)
			}
			data, err := os.ReadFile(filepath.Join(from, "messages"))
			is.NoErr(err)
			var r wire.StepRequest
			is.NoErr(proto.Unmarshal(data, &r))
			var kinds []consensus.Kind
			for _, w := range r.Messages {
				m, ok := fromWire(w)
				is.True(ok)
				is.Equal(m.FormLevel, uint32(0))
				kinds = append(kinds, m.Kind)
			}
			is.Equal(kinds, []consensus.Kind{consensus.KindAppend, consensus.KindHelloReply, consensus.KindSnapshot})
		})
	}
}

// checkState applies the entries to the snapshot.
func checkState(t *testing.T, snapshot consensus.Snapshot, entries []consensus.Entry) {
	t.Helper()
	is := is.New(t)
	state, err := replica.Restore(snapshot.Data)
	is.NoErr(err)
	again, err := state.Snapshot()
	is.NoErr(err)
	is.Equal(again, snapshot.Data) // an earlier build can read what this one writes
	is.Equal(state.Routing.Version, uint64(7))
	is.Equal(len(entries), 4)
	for _, e := range entries {
		c, err := replica.Decode(e.Data)
		is.NoErr(err)
		state.Apply(e.Index, c)
	}
	is.Equal(state.Routing.Version, uint64(8))
	is.Equal(string(state.Routing.Bytes), "document 8")
	is.Equal(state.Config.Current().Author, "ana")
	is.True(state.Drains["advice-1"].On)
	is.Equal(state.Ledger.Len(), 1)
	is.Equal(len(state.Credits.Counts()), 1)
}
