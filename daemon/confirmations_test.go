package daemon

import (
	"context"
	"testing"
	"time"

	"github.com/balsamlb/balsamlb/config"
	"github.com/balsamlb/balsamlb/consensus"
	"github.com/balsamlb/balsamlb/control"
	"github.com/balsamlb/balsamlb/instance"
	"github.com/balsamlb/balsamlb/replica"
	"github.com/balsamlb/balsamlb/settings"
	"github.com/balsamlb/balsamlb/storage"
	"github.com/go-logr/logr"
	"github.com/matryer/is"
)

// replyRecorder keeps the epoch of the replica that sends through it.
type replyRecorder struct{ epochs chan uint64 }

func (r *replyRecorder) Send(m consensus.Message) {
	select {
	case r.epochs <- m.Epoch:
	default:
	}
}

func (*replyRecorder) Reach(string, string) {}

// playLeader starts the replica of a control instance that stores a view, and sends it the heartbeats of a
// leader. confirms says whether a quorum answers that leader.
func playLeader(t *testing.T, confirms bool) *instanceState {
	t.Helper()
	is := is.New(t)
	state := replica.NewState()
	state.Apply(1, replica.Command{Change: &config.Change{ID: "one"}})
	data, err := state.Snapshot()
	is.NoErr(err)
	store, _, err := storage.Open(storage.Options{Folder: t.TempDir()})
	is.NoErr(err)
	s := newInstanceState(settings.Process{Name: "kandy-1", DataCentre: "kandy", Advertise: "kandy-1"}, 7, logr.Discard())
	replies := &replyRecorder{epochs: make(chan uint64, 1)}
	voters := []consensus.Voter{{ID: "kandy-1", Disk: store.Identity().Disk}, {ID: "galle-1", Disk: 8}, {ID: "colombo-1", Disk: 9}}
	h, err := control.NewHost(control.Options{
		ID: "kandy-1", Voters: []string{"kandy-1", "galle-1", "colombo-1"}, Storage: store, Sender: replies,
		OnView: s.offerView, Log: logr.Discard(),
	}, storage.Stored{
		HardState: consensus.HardState{Term: 1},
		Snapshot:  consensus.Snapshot{Index: 1, Term: 1, Data: data, Membership: consensus.Membership{Group: 5, Size: 3, Voters: voters}},
	})
	is.NoErr(err)
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{}, 2)
	go func() { _ = h.Run(ctx); ended <- struct{}{} }()
	go func() { _ = newPeerSync(s, h, instance.Dialer{}).runConfirmations(ctx); ended <- struct{}{} }()
	t.Cleanup(func() {
		stop()
		<-ended
		<-ended
		_ = store.Close()
	})
	epoch := uint64(0)
	for round := uint64(2); round < 40; round++ {
		m := consensus.Message{
			Kind: consensus.KindAppend, From: "galle-1", To: "kandy-1", Group: 5, Disk: 8, Epoch: 1 << consensus.EpochNonceBits, Term: 1,
			PrevIndex: 1, PrevTerm: 1, Commit: 1, Round: round, AckedRound: round - 1, AckedEpoch: epoch,
		}
		if confirms {
			m.ConfirmedRound = round - 1
		}
		h.Receive(m)
		time.Sleep(20 * time.Millisecond)
		select {
		case epoch = <-replies.epochs:
		default:
		}
	}
	status, err := h.Status(t.Context())
	is.NoErr(err)
	is.Equal(status.Leader, "galle-1")
	return s
}

// Guards against a control instance that takes its view for the newest because it hears from a leader that is
// cut off from all others.
func TestFollowerOfALeaderWithoutAQuorumDoesNotConfirmItsView(t *testing.T) {
	is := is.New(t)
	s := playLeader(t, false)
	s.mu.Lock()
	defer s.mu.Unlock()
	is.True(s.confirmedAt.IsZero())
}

// Guards against a follower whose view is never confirmed, though a quorum answers its leader.
func TestFollowerOfALeaderWithAQuorumConfirmsItsView(t *testing.T) {
	is := is.New(t)
	s := playLeader(t, true)
	s.mu.Lock()
	defer s.mu.Unlock()
	is.True(!s.confirmedAt.IsZero())
	is.True(s.viewAge(time.Now()) < time.Second)
}
