package daemon

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/balsamlb/balsamlb/config"
	"github.com/balsamlb/balsamlb/consensus"
	"github.com/balsamlb/balsamlb/control"
	"github.com/balsamlb/balsamlb/replica"
	"github.com/balsamlb/balsamlb/storage"
	"github.com/go-logr/logr"
	"github.com/matryer/is"
)

// heldStorage counts the entries that are saved, and doesn't return while it is held.
type heldStorage struct {
	entries atomic.Int64
	held    atomic.Pointer[chan struct{}]
}

func (s *heldStorage) Save(_ *consensus.HardState, entries []consensus.Entry) error {
	if held := s.held.Load(); held != nil {
		<-*held
	}
	for _, e := range entries {
		if len(e.Data) > 0 { // an empty entry only spreads a commit
			s.entries.Add(1)
		}
	}
	return nil
}

func (s *heldStorage) SaveSnapshot(consensus.Snapshot, consensus.HardState, []consensus.Entry) error {
	return nil
}

func (s *heldStorage) Reset() error               { return nil }
func (s *heldStorage) Identity() storage.Identity { return storage.Identity{Disk: 7, Starts: 1} }

type nobody struct{}

func (nobody) Send(consensus.Message) {}
func (nobody) Reach(string, string)   {}

// Pattern: the disk is slow, and proposers send their commands again. Guards against a log with an entry for each attempt: what
// this instance adds to a command differs between them.
func TestCommandSentAgainBeforeItsCommitIsAddedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		disk := &heldStorage{}
		h, err := control.NewHost(control.Options{
			ID: "c", Voters: []string{"c"}, Storage: disk, Sender: nobody{}, OnView: func(replica.View) {}, Log: logr.Discard(),
		}, storage.Stored{})
		is.NoErr(err)
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		stopped := make(chan error, 1)
		go func() { stopped <- h.Run(ctx) }()
		r := &hostReplica{Host: h, timestamps: newTimestamper("c")}
		propose := func(c replica.Command) error {
			data, err := c.Encode()
			is.NoErr(err)
			_, err = r.Propose(ctx, data)
			return err
		}
		drain := replica.Command{Drain: &replica.Drain{Server: "s", On: true}}
		for errors.Is(propose(drain), consensus.ErrNotLeader) {
		}
		for _, c := range []replica.Command{
			{Publish: &replica.Publish{Version: 1, Document: []byte("d")}},
			{Change: &config.Change{ID: "change"}},
		} {
			before := disk.entries.Load()
			held := make(chan struct{})
			disk.held.Store(&held)
			ended := make(chan error, 4)
			go func() { ended <- propose(drain) }()
			synctest.Wait() // its entry is being saved
			for range 3 {
				go func() { ended <- propose(c) }()
				time.Sleep(time.Millisecond) // the next one has another timestamp
			}
			synctest.Wait()
			disk.held.Store(nil)
			close(held)
			for range 4 {
				is.NoErr(<-ended)
			}
			is.Equal(disk.entries.Load()-before, int64(2))
		}
		stop()
		is.NoErr(<-stopped)
	})
}
