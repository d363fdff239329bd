package dispatch

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"slices"
	"time"

	"github.com/balsamlb/balsamlb/backend"
	"github.com/balsamlb/balsamlb/credit"
	"github.com/balsamlb/balsamlb/fleet"
	"github.com/balsamlb/balsamlb/ledger"
	"github.com/balsamlb/balsamlb/outcome"
	"github.com/balsamlb/balsamlb/replica"
)

const (
	// beginTimeout limits how long a request waits for a quorum. Once no quorum has answered any
	// request for this long, later requests are refused immediately. beginTimeout is longer than a
	// leader change takes on a busy machine.
	beginTimeout = 4 * time.Second
	// finishTimeout limits the time for recording an outcome after the answer is known.
	finishTimeout = 5 * time.Second
	// A duplicate checks the outcome of the first send after duplicatePause, and then after
	// pauses that double up to maxDuplicatePause. At each instance, only one of several
	// identical duplicates checks at a time.
	duplicatePause    = 20 * time.Millisecond
	maxDuplicatePause = time.Second
	// maxServerChoices limits how often a server is chosen again because the chosen one is
	// leaving.
	maxServerChoices = 3
)

// Peers reports on the other instances of the system.
type Peers interface {
	// IsDown reports whether the given incarnation of an instance has ended or is silent.
	IsDown(d ledger.Dispatcher) bool
}

// noPeers knows no other instances, so it never reports a dispatcher as down.
type noPeers struct{}

func (noPeers) IsDown(ledger.Dispatcher) bool { return false }

// UsePeers sets the incarnation of this instance and the source of information on other
// instances. It must be called before the first call.
func (d *Dispatcher) UsePeers(incarnation uint64, p Peers) {
	d.once.self.Incarnation = incarnation
	d.once.peers = p
}

// onceState is the state that non-idempotent calls share.
type onceState struct {
	self     ledger.Dispatcher
	peers    Peers
	flights  *flightGroup
	recorder *outcomeRecorder
	quorum   *quorumGate
	pauses   *pauseDetector
}

// attempt is one non-idempotent call at this instance.
type attempt struct {
	Call
	key    ledger.Key
	digest ledger.Digest
}

// reply is the result of an attempt.
type reply struct {
	answer backend.CallAnswer
	err    *outcome.Error
}

// callOnce runs a non-idempotent call at most once. It dispatches the call only after a quorum
// has recorded the request, and answers only after a quorum has recorded the outcome.
func (d *Dispatcher) callOnce(ctx context.Context, r Call) (backend.CallAnswer, *outcome.Error) {
	a := attempt{
		Call:   r,
		key:    ledger.Key{Workspace: r.Workspace.Name, Service: r.Service.Name, Idempotency: r.Key},
		digest: digestOf(r),
	}
	if d.once.pauses.recentlyPaused() {
		return backend.CallAnswer{}, errPaused()
	}
	result := d.once.flights.do(ctx, a, d.runOnce)
	if result.err != nil {
		result.err = ForCaller(result.err, r.FirstSend)
	}
	return result.answer, result.err
}

// runOnce runs the attempt, or waits for an earlier attempt that holds the same key.
func (d *Dispatcher) runOnce(ctx context.Context, a attempt) reply {
	if !d.once.quorum.isOpen() {
		return reply{err: errNoQuorum()}
	}
	for pause := duplicatePause; ; pause = min(2*pause, maxDuplicatePause) {
		// The ledger is asked also without a server: the request may have run under the same key.
		server, refusal := d.chooseForCall(ctx, a.Request, a.fingerprint(), nil)
		begin, err := d.begin(ctx, a, server, refusal != nil)
		if err == nil && begin.Verdict == ledger.VerdictGranted {
			return d.dispatchOnce(ctx, a, server)
		}
		if refusal == nil {
			d.releaseServers(server.Name)
		}
		if err != nil {
			d.abandonAsync(a)
			return reply{err: errNoQuorum()}
		}
		switch begin.Verdict {
		case ledger.VerdictNew:
			return reply{err: markSettled(refusal)}
		case ledger.VerdictAbandoned:
			return replyFromVerdict(begin) // another instance assumed that this one is down
		}
		begin = d.resolveOrphaned(ctx, a, begin)
		switch begin.Verdict {
		case ledger.VerdictAbandoned:
			continue // the key has been released
		case ledger.VerdictRunning, ledger.VerdictStale:
			if !sleep(ctx, pause) {
				return reply{err: errInProgress()}
			}
		default:
			return replyFromVerdict(begin)
		}
	}
}

// begin asks the ledger for the right to dispatch the attempt. With lookupOnly it only asks for
// the state of the key.
func (d *Dispatcher) begin(ctx context.Context, a attempt, server fleet.BackendServer, lookupOnly bool) (ledger.Result, error) {
	start := time.Now()
	callCtx, cancel := context.WithTimeout(ctx, beginTimeout)
	defer cancel()
	result, err := d.proposer.Propose(callCtx, replica.Command{Begin: &ledger.Begin{
		Key:        a.key,
		Digest:     a.digest,
		Attempt:    a.ID,
		Dispatcher: d.once.self,
		Server: ledger.Server{
			Name:        server.Name,
			Incarnation: server.Incarnation,
			Address:     server.Address,
			Resolves:    server.ResolvesRequests,
		},
		LookupOnly: lookupOnly,
	}})
	if err != nil {
		d.once.quorum.recordFailure(start, time.Now())
		return ledger.Result{}, err
	}
	d.once.quorum.recordSuccess()
	if result.Ledger == nil {
		return ledger.Result{}, errBadResult
	}
	return *result.Ledger, nil
}

// dispatchOnce sends the granted attempt. From here on only this instance may declare that the
// attempt was not run; another instance may do so only if the server has barred the attempt.
func (d *Dispatcher) dispatchOnce(ctx context.Context, a attempt, server fleet.BackendServer) reply {
	server, refusal := d.confirmServer(ctx, a, server)
	if refusal != nil {
		return d.refuseOnce(ctx, a, refusal)
	}
	if ctx.Err() != nil {
		d.releaseServers(server.Name)
		return d.refuseOnce(ctx, a, errDeadline(outcome.NotRun))
	}
	answer, err := d.sendTracked(ctx, a.Call, server, a.fingerprint())
	switch {
	case err != nil && !wasSent(err):
		d.log.Info("call not sent", "request", a.ID, "server", server.Name, "err", err.Error())
		return d.refuseOnce(ctx, a, errServerFailed(outcome.NotRun, "the backend server could not be reached"))
	case err != nil:
		d.log.Info("call sent, but no answer received", "request", a.ID, "server", server.Name, "err", err.Error())
		return d.resolveUnanswered(ctx, a, server)
	case answer.NotRun:
		d.log.Info("backend server refused the call", "request", a.ID, "server", server.Name, "status", answer.Status)
		return d.refuseOnce(ctx, a, errServerFailed(outcome.NotRun, "the backend server refused the request"))
	}
	d.served(a.ID)
	return d.finishOnce(ctx, a, answer)
}

// confirmServer returns the server if it still accepts new work. Otherwise it chooses another
// one and records that choice in the ledger before it returns it.
func (d *Dispatcher) confirmServer(ctx context.Context, a attempt, server fleet.BackendServer) (fleet.BackendServer, *outcome.Error) {
	for range maxServerChoices {
		if d.isStillAvailable(server) {
			return server, nil
		}
		d.releaseServers(server.Name)
		d.log.Info("chosen backend server is leaving", "request", a.ID, "server", server.Name)
		next, refusal := d.chooseForCall(ctx, a.Request, a.fingerprint(), []string{server.Name})
		if refusal != nil {
			return server, refusal
		}
		begin, err := d.begin(ctx, a, next, false)
		if err != nil || begin.Verdict != ledger.VerdictGranted {
			d.releaseServers(next.Name)
			return server, errNoQuorum()
		}
		server = next
	}
	d.releaseServers(server.Name)
	return server, errServerFailed(outcome.NotRun, "every backend server that was chosen is leaving")
}

// isStillAvailable reports whether the server accepts new work and has not been restarted.
func (d *Dispatcher) isStillAvailable(server fleet.BackendServer) bool {
	return holds(d.available(), server)
}

// isAnnounced is isStillAvailable without regard to what the server has said in answers.
func (d *Dispatcher) isAnnounced(server fleet.BackendServer) bool {
	return holds(d.fleet.Available(), server)
}

// holds reports whether a list holds this incarnation of a server.
func holds(servers []fleet.BackendServer, server fleet.BackendServer) bool {
	return slices.ContainsFunc(servers, func(s fleet.BackendServer) bool {
		return s.Name == server.Name && s.Incarnation == server.Incarnation
	})
}

// finishOnce records the answer in the ledger before it returns the answer for the caller.
func (d *Dispatcher) finishOnce(ctx context.Context, a attempt, answer backend.CallAnswer) reply {
	c := replica.Command{Finish: d.finishOf(a, a.ID, answer)}
	if _, err := d.propose(ctx, c); err != nil {
		d.once.recorder.add(c)
		return reply{err: errUnknown("the outcome could not be recorded yet")}
	}
	return reply{answer: answer}
}

func (d *Dispatcher) finishOf(a attempt, id string, answer backend.CallAnswer) *replica.Finish {
	return &replica.Finish{
		Finish: ledger.Finish{
			Key:     a.key,
			Attempt: id,
			Phase:   ledger.PhaseFinished,
			// LimitAnswer drops the body of a long answer here, so that the body doesn't go through
			// the replicated log.
			Answer: ledger.LimitAnswer(ledger.Answer{Status: answer.Status, ContentType: answer.ContentType, Body: answer.Body}),
		},
		Credit: credit.Entry{Member: a.Workspace.Member, Kind: a.Service.Name},
	}
}

// propose runs a command that settles an attempt, even after the caller's deadline.
func (d *Dispatcher) propose(ctx context.Context, c replica.Command) (ledger.Result, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), finishTimeout)
	defer cancel()
	result, err := d.proposer.Propose(ctx, c)
	if err != nil {
		return ledger.Result{}, err
	}
	if result.Ledger == nil {
		return ledger.Result{}, errBadResult
	}
	return *result.Ledger, nil
}

// refuseOnce releases the key of an attempt that was not run, and refuses the request. While this
// instance was paused, another instance may have released the key and run the request, so only the
// ledger can confirm that the attempt still held the key.
func (d *Dispatcher) refuseOnce(ctx context.Context, a attempt, e *outcome.Error) reply {
	c := replica.Command{Abandon: &ledger.Abandon{Key: a.key, Attempt: a.ID}}
	result, err := d.propose(ctx, c)
	if err != nil {
		d.once.recorder.add(c)
		return reply{err: e}
	}
	if result.Verdict == ledger.VerdictAbandoned {
		e = markSettled(e)
	}
	return reply{err: e}
}

// abandonAsync releases, in the background, the key of an attempt that was never dispatched and
// never will be. Until the ledger has recorded the release, duplicates see the attempt as running.
func (d *Dispatcher) abandonAsync(a attempt) {
	d.once.recorder.add(replica.Command{Abandon: &ledger.Abandon{Key: a.key, Attempt: a.ID}})
}

// digestOf returns a digest of the service, content type and body, which identify the request
// besides its key.
func digestOf(r Call) ledger.Digest {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(r.Service.Name), []byte(r.ContentType), r.Body} {
		var length [8]byte
		binary.LittleEndian.PutUint64(length[:], uint64(len(part)))
		h.Write(length[:])
		h.Write(part)
	}
	return ledger.Digest(h.Sum(nil)[:len(ledger.Digest{})])
}

// sleep waits for d. It returns false if ctx ends before that.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
