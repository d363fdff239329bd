package control

import (
	"context"
	"errors"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/balsamlb/balsamlb/consensus"
	"github.com/balsamlb/balsamlb/replica"
	"github.com/balsamlb/balsamlb/storage"
	"github.com/go-logr/logr"
	"github.com/matryer/is"
)

// failingStorage stores nothing and fails from call number failAt on.
type failingStorage struct {
	calls, failAt int
	failed        atomic.Bool
}

func (d *failingStorage) nextCall() error {
	d.calls++
	if d.failAt > 0 && d.calls >= d.failAt {
		d.failed.Store(true)
		return syscall.ENOSPC
	}
	return nil
}

func (d *failingStorage) Save(*consensus.HardState, []consensus.Entry) error { return d.nextCall() }

func (d *failingStorage) SaveSnapshot(consensus.Snapshot, consensus.HardState, []consensus.Entry) error {
	return d.nextCall()
}

func (d *failingStorage) Reset() error               { return nil }
func (d *failingStorage) Identity() storage.Identity { return storage.Identity{Disk: 7, Starts: 1} }

// peerRecorder drops all messages and counts those sent after the storage has failed.
type peerRecorder struct {
	disk             *failingStorage
	sentAfterFailure int
}

func (p *peerRecorder) Send(consensus.Message) {
	if p.disk.failed.Load() {
		p.sentAfterFailure++
	}
}

func (p *peerRecorder) Reach(string, string) {}

func newTestHost(t *testing.T, d *failingStorage, peers Sender) *Host {
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

// commit proposes a command until the host is the leader, and returns the error of that proposal.
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

func TestSingleVoterAppliesCommands(t *testing.T) {
	is := is.New(t)
	d := &failingStorage{}
	h := newTestHost(t, d, &peerRecorder{disk: d})
	ctx, stop := context.WithCancel(t.Context())
	runErr := make(chan error, 1)
	go func() { runErr <- h.Run(ctx) }()
	is.NoErr(commit(t, h))
	s, err := h.Status(t.Context())
	is.NoErr(err)
	is.True(s.Lease)
	stop()
	is.NoErr(<-runErr)
	_, err = h.Propose(t.Context(), nil)
	is.Equal(err, ErrStopped)
}

// A replica must not send or apply anything that is not saved, so it has to stop when the disk is
// full. The first three storage calls save the bootstrap, the election and the command.
func TestFullDiskStopsReplica(t *testing.T) {
	is := is.New(t)
	for failAt := 1; failAt <= 3; failAt++ {
		d := &failingStorage{failAt: failAt}
		peers := &peerRecorder{disk: d}
		h := newTestHost(t, d, peers)
		runErr := make(chan error, 1)
		go func() { runErr <- h.Run(t.Context()) }()
		is.True(errors.Is(commit(t, h), ErrStopped))
		is.True(errors.Is(<-runErr, syscall.ENOSPC))
		is.Equal(peers.sentAfterFailure, 0)
		is.Equal(d.calls, failAt)
	}
}

// Guards against a data race (daemon tests, issue 56): a caller that gives up reads a status that the loop still writes.
func TestStatusIsNotReadAfterItsCallerGaveUp(t *testing.T) {
	is := is.New(t)
	h := newTestHost(t, &failingStorage{}, discardSender{})
	done := make(chan error)
	go func() {
		time.Sleep(50 * time.Millisecond)
		done <- h.pass(nil)
	}()
	ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
	defer cancel()
	_, err := h.Status(ctx)
	is.True(err != nil)
	is.NoErr(<-done)
}

// Guards against a command that is added to the log again with each attempt while its commit takes longer than one.
func TestCommandSentAgainBeforeItsCommitIsAddedOnce(t *testing.T) {
	is := is.New(t)
	d := &failingStorage{}
	h := newTestHost(t, d, &peerRecorder{disk: d})
	ctx, stop := context.WithCancel(t.Context())
	runErr := make(chan error, 1)
	go func() { runErr <- h.Run(ctx) }()
	is.NoErr(commit(t, h))
	stop()
	is.NoErr(<-runErr)
	var sent []*proposal
	propose := func(c replica.Command) {
		data, err := c.Encode()
		is.NoErr(err)
		for range 3 {
			p := &proposal{data: data, result: make(chan proposalResult, 1)}
			h.propose(p)
			sent = append(sent, p)
		}
	}
	propose(replica.Command{Publish: &replica.Publish{Version: 1, Document: []byte("d")}})
	is.Equal(len(h.waiters), 1)
	// Another drain may have ended this one, so a repetition must be committed.
	propose(replica.Command{Drain: &replica.Drain{Server: "advice-2", On: true}})
	is.Equal(len(h.waiters), 1+3)
	is.NoErr(h.process())
	for _, p := range sent {
		is.NoErr((<-p.result).err) // each attempt learns the result
	}
}
