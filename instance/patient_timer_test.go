package instance

import (
	"context"
	"io"
	"net/http"
	"os"
	"os/exec"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/balsamlb/balsamlb/instance/wire"
	"github.com/balsamlb/balsamlb/internal/meter"
	"github.com/balsamlb/balsamlb/relay"
	"github.com/balsamlb/balsamlb/replica"
	"github.com/matryer/is"
)

func TestPatientTimerSuspectsBeforeItEnds(t *testing.T) {
	is := is.New(t)
	const limit, grace = time.Second, 250 * time.Millisecond
	timer := newPatientTimer(limit, grace, func() {})
	defer timer.Stop()
	start := timer.silence.heard
	at := func(d time.Duration) time.Time { return start.Add(d) }
	isSilent, next := timer.silence.check(at(limit - grace - 1))
	is.Equal(next, time.Duration(1))
	is.True(!isSilent)
	isSilent, next = timer.silence.check(at(10 * time.Second)) // the first check after a halt
	is.Equal(next, grace)
	is.True(!isSilent)
	isSilent, _ = timer.silence.check(at(10*time.Second + grace))
	is.True(isSilent)
}

func TestPatientTimerEndsAtItsLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var ended []time.Duration
		start := time.Now()
		timer := newPatientTimer(time.Second, 250*time.Millisecond, func() { ended = append(ended, time.Since(start)) })
		time.Sleep(900 * time.Millisecond) // suspected
		timer.Reset()
		time.Sleep(time.Second + time.Millisecond)
		synctest.Wait()
		is.Equal(ended, []time.Duration{1900 * time.Millisecond})
		is.True(!timer.Stop())
		timer.Reset()
		time.Sleep(900 * time.Millisecond)
		is.True(timer.Stop())
		time.Sleep(time.Minute)
		synctest.Wait()
		is.Equal(len(ended), 1)
	})
}

// haltedCallerEnv names the call that a copy of this process makes, to the address in haltedCallerPeer.
const (
	haltedCallerEnv  = "BALSAMLB_TEST_HALTED_CALL"
	haltedCallerPeer = "BALSAMLB_TEST_HALTED_PEER"
)

// haltedCalls are calls that wait for an answer of the peer.
var haltedCalls = map[string]func(t *testing.T, d Dialer, address string) error{
	"propose": func(t *testing.T, d Dialer, address string) error {
		p := NewProposer(d, []string{address})
		_, err := p.Propose(t.Context(), replica.Command{})
		return err
	},
	"fetch": func(t *testing.T, d Dialer, address string) error {
		_, err := NewExchanger(d).Fetch(t.Context(), address, &wire.FetchRequest{}, nil)
		return err
	},
	"relay": func(t *testing.T, d Dialer, address string) error {
		request := &relay.Request{Method: http.MethodGet, Target: "/", EndsOnSilence: true}
		answer, err := NewRelayer(d).Do(t.Context(), address, request, func(int) {})
		if err != nil {
			return err
		}
		_, err = io.ReadAll(answer.Body)
		return err
	},
}

// peerOfHalted answers all calls at once, and tells on called that a call has come.
type peerOfHalted struct {
	slowReplica
	PeerHandler
	called chan struct{}
}

func (p *peerOfHalted) FetchView(*wire.FetchRequest) (*wire.FetchResponse, error) {
	p.called <- struct{}{}
	time.Sleep(proposeTimeout / 4)
	return &wire.FetchResponse{Index: 1}, nil
}

func (p *peerOfHalted) AcceptRelay(*relay.Request) (release func(), declined string) {
	return func() {}, ""
}

func (p *peerOfHalted) ServeRelay(w http.ResponseWriter, _ *http.Request, _ *relay.Request, _ relay.Progress) {
	p.called <- struct{}{}
	time.Sleep(proposeTimeout / 4)
	_, _ = w.Write([]byte("answer")) // kept in the writer
}

// Pattern: this process stands still, by its quota or its machine, while a peer answers. Guards against a caller that then
// takes the answer for one that never came: it called again, closed its connections and avoided the peer.
func TestHaltOfTheCallerIsNoSilenceOfThePeer(t *testing.T) {
	if name := os.Getenv(haltedCallerEnv); name != "" {
		d, err := NewDialer("127.0.0.1:0", nil, &meter.Traffic{})
		if err == nil {
			err = haltedCalls[name](t, d, os.Getenv(haltedCallerPeer))
		}
		if err != nil {
			t.Fatal(err)
		}
		return
	}
	for name := range haltedCalls {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			called := make(chan struct{}, 100)
			committed := make(chan struct{})
			peer := &peerOfHalted{called: called}
			peer.leads, peer.committed = true, committed
			l := listenLocal(t)
			server := NewServer(&callingReplica{&peer.slowReplica, called}, peer)
			server.SetRelayHandler(peer)
			go func() { _ = server.Serve(t.Context(), l) }()
			caller := exec.Command(os.Args[0], "-test.run=^TestHaltOfTheCallerIsNoSilenceOfThePeer$")
			caller.Env = append(os.Environ(), haltedCallerEnv+"="+name, haltedCallerPeer+"="+l.Addr().String())
			is.NoErr(caller.Start())
			<-called
			is.NoErr(caller.Process.Signal(syscall.SIGSTOP))
			close(committed)
			time.Sleep(2 * silenceTime)
			is.NoErr(caller.Process.Signal(syscall.SIGCONT))
			is.NoErr(caller.Wait())
			is.Equal(len(called), 0) // called once
		})
	}
}

// callingReplica tells that a proposal has come.
type callingReplica struct {
	*slowReplica
	called chan<- struct{}
}

func (r *callingReplica) Propose(ctx context.Context, data []byte) (replica.Result, error) {
	r.called <- struct{}{}
	return r.slowReplica.Propose(ctx, data)
}
