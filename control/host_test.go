package control

import (
	"context"
	"errors"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/balsamlb/balsamlb/consensus"
	"github.com/balsamlb/balsamlb/replica"
	"github.com/balsamlb/balsamlb/storage"
	"github.com/go-logr/logr"
	"github.com/matryer/is"
)

// failingDisk keeps nothing and fails from a call on.
type failingDisk struct {
	calls, failAt int
	failed        atomic.Bool
}

func (d *failingDisk) next() error {
	d.calls++
	if d.failAt > 0 && d.calls >= d.failAt {
		d.failed.Store(true)
		return syscall.ENOSPC
	}
	return nil
}

func (d *failingDisk) Save(*consensus.HardState, []consensus.Entry) error { return d.next() }

func (d *failingDisk) SaveSnapshot(consensus.Snapshot, consensus.HardState, []consensus.Entry) error {
	return d.next()
}

func (d *failingDisk) Reset() error               { return nil }
func (d *failingDisk) Identity() storage.Identity { return storage.Identity{Disk: 7, Starts: 1} }

// noPeers drops messages and counts those after a failure.
type noPeers struct {
	disk *failingDisk
	late int
}

func (p *noPeers) Send(consensus.Message) {
	if p.disk.failed.Load() {
		p.late++
	}
}

func (p *noPeers) Reach(string, string) {}

func newTestHost(t *testing.T, d *failingDisk, peers Sender) *Host {
	t.Helper()
	h, err := NewHost(Options{
		ID: "kandy-1", Voters: []string{"kandy-1"}, Storage: d, Sender: peers,
		OnView: func(replica.View) {}, Log: logr.Discard(),
	}, storage.Stored{})
	if err != nil {
		t.Fatal(err)
	}
	return h
}

// commit proposes until the host leads, and returns the first other result.
func commit(t *testing.T, h *Host) error {
	t.Helper()
	data, err := replica.Command{Drain: &replica.Drain{Server: "advice-1", On: true}}.Encode()
	if err != nil {
		t.Fatal(err)
	}
	for {
		_, err = h.Propose(t.Context(), data)
		if !errors.Is(err, consensus.ErrNotLeader) {
			return err
		}
	}
}

func TestCommandsOfASingleVoterAreApplied(t *testing.T) {
	is := is.New(t)
	d := &failingDisk{}
	h := newTestHost(t, d, &noPeers{disk: d})
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- h.Run(ctx) }()
	is.NoErr(commit(t, h))
	s, err := h.Status(t.Context())
	is.NoErr(err)
	is.True(s.Lease)
	stop()
	is.NoErr(<-ended)
	_, err = h.Propose(t.Context(), nil)
	is.Equal(err, ErrStopped)
}

// The calls save the founding, the election and the command. A disk that is full ends the replica: it must not say, or do, anything that is not saved.
func TestFullDiskEndsTheReplica(t *testing.T) {
	is := is.New(t)
	for failAt := 1; failAt <= 3; failAt++ {
		d := &failingDisk{failAt: failAt}
		peers := &noPeers{disk: d}
		h := newTestHost(t, d, peers)
		ended := make(chan error, 1)
		go func() { ended <- h.Run(t.Context()) }()
		is.True(errors.Is(commit(t, h), ErrStopped))
		is.True(errors.Is(<-ended, syscall.ENOSPC))
		is.Equal(peers.late, 0)
		is.Equal(d.calls, failAt)
	}
}
