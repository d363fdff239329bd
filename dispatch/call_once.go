package dispatch

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"time"

	"github.com/balsamlb/balsamlb/backend"
	"github.com/balsamlb/balsamlb/credit"
	"github.com/balsamlb/balsamlb/fleet"
	"github.com/balsamlb/balsamlb/ledger"
	"github.com/balsamlb/balsamlb/outcome"
	"github.com/balsamlb/balsamlb/replica"
)

const (
	// beginTimeout bounds the wait for a quorum, over all requests: once none has answered for
	// so long, requests are refused at once. It is longer than a change of leader on a busy
	// machine.
	beginTimeout = 4 * time.Second
	// finishTimeout bounds the recording of an outcome after the answer is known.
	finishTimeout = 5 * time.Second
	// A duplicate looks for the first one's outcome after duplicatePause, and then after
	// pauses that double up to maxDuplicatePause. One duplicate of a key looks at a time.
	duplicatePause    = 20 * time.Millisecond
	maxDuplicatePause = time.Second
	// maxServerChoices bounds the servers that are chosen anew because they began to leave.
	maxServerChoices = 3
)

// Peers knows the instances of the system.
type Peers interface {
	// IsGone reports whether that start of the instance has ended or fallen silent.
	IsGone(d ledger.Dispatcher) bool
}

// noPeers knows nobody, so no dispatcher counts as gone.
type noPeers struct{}

func (noPeers) IsGone(ledger.Dispatcher) bool { return false }

// UsePeers tells the dispatcher which start of its instance it belongs to, and who knows the
// others. It must be called before the first call.
func (d *Dispatcher) UsePeers(incarnation uint64, p Peers) {
	d.once.self.Incarnation = incarnation
	d.once.peers = p
}

// onceCaller is what non-idempotent calls share.
type onceCaller struct {
	self    ledger.Dispatcher
	peers   Peers
	flights *flights
	settler *settler
	quorum  *quorumGate
	stall   *stallWatch
}

// attempt is one non-idempotent call at this instance.
type attempt struct {
	Call
	key    ledger.Key
	digest ledger.Digest
}

// reply is how an attempt ended.
type reply struct {
	answer backend.CallAnswer
	err    *outcome.Error
}

// callOnce dispatches only after a quorum has recorded the request, and answers only after
// a quorum has recorded the outcome.
func (d *Dispatcher) callOnce(ctx context.Context, r Call) (backend.CallAnswer, *outcome.Error) {
	a := attempt{
		Call:   r,
		key:    ledger.Key{Workspace: r.Workspace.Name, Service: r.Service.Name, Idempotency: r.Key},
		digest: digestOf(r),
	}
	if d.once.stall.stalled() {
		return backend.CallAnswer{}, errStalled()
	}
	rep := d.once.flights.do(ctx, a, d.runOnce)
	if rep.err != nil {
		rep.err = ForCaller(rep.err, r.FirstSend)
	}
	return rep.answer, rep.err
}

// runOnce runs the attempt, or waits for the one that holds the key.
func (d *Dispatcher) runOnce(ctx context.Context, a attempt) reply {
	if !d.once.quorum.isOpen() {
		return reply{err: errNoQuorum()}
	}
	for pause := duplicatePause; ; pause = min(2*pause, maxDuplicatePause) {
		server, chooseErr := d.chooseServer(a.Request, nil)
		begin, err := d.begin(ctx, a, server, chooseErr != nil)
		if err == nil && begin.Verdict == ledger.VerdictGranted {
			return d.dispatchOnce(ctx, a, server)
		}
		if chooseErr == nil {
			d.ended(server.Name)
		}
		if err != nil {
			d.withdraw(a)
			return reply{err: errNoQuorum()}
		}
		switch begin.Verdict {
		case ledger.VerdictNew:
			return reply{err: granted(asOutcome(chooseErr))}
		case ledger.VerdictAbandoned:
			return settled(begin) // another instance took this one for gone
		}
		begin = d.resolveGone(ctx, a, begin)
		switch begin.Verdict {
		case ledger.VerdictAbandoned:
			continue // the key is free again
		case ledger.VerdictRunning, ledger.VerdictStale:
			if !sleep(ctx, pause) {
				return reply{err: errInProgress()}
			}
		default:
			return settled(begin)
		}
	}
}

// begin asks for the right to dispatch; look only asks what is known of the key.
func (d *Dispatcher) begin(ctx context.Context, a attempt, server fleet.BackendServer, look bool) (ledger.Result, error) {
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
		LookupOnly: look,
	}})
	if err != nil {
		d.once.quorum.missed(start, time.Now())
		return ledger.Result{}, err
	}
	d.once.quorum.answered()
	if result.Ledger == nil {
		return ledger.Result{}, errBadResult
	}
	return *result.Ledger, nil
}

// dispatchOnce sends the granted attempt. From here on only this instance may say that it was
// not run, unless the server has barred it.
func (d *Dispatcher) dispatchOnce(ctx context.Context, a attempt, server fleet.BackendServer) reply {
	server, refusal := d.confirmServer(ctx, a, server)
	if refusal != nil {
		return d.refuseOnce(ctx, a, refusal)
	}
	if ctx.Err() != nil {
		d.ended(server.Name)
		return d.refuseOnce(ctx, a, errDeadline(outcome.NotRun))
	}
	answer, err := d.sendGuarded(ctx, a.Call, server, a.fingerprint())
	switch {
	case err != nil && !wasSent(err):
		d.log.Info("a call was not sent", "request", a.ID, "server", server.Name, "err", err.Error())
		return d.refuseOnce(ctx, a, errServerFailed(outcome.NotRun, "the backend server could not be reached"))
	case err != nil:
		d.log.Info("a call has no answer", "request", a.ID, "server", server.Name, "err", err.Error())
		return d.loseAnswer(ctx, a, server)
	case answer.NotRun:
		d.log.Info("the backend server refused a call", "request", a.ID, "server", server.Name, "status", answer.Status)
		return d.refuseOnce(ctx, a, errServerFailed(outcome.NotRun, "the backend server refused the request"))
	}
	d.served(a.ID)
	return d.finishOnce(ctx, a, answer)
}

// confirmServer returns the server if it may still be given work, else another one, which is
// recorded first.
func (d *Dispatcher) confirmServer(ctx context.Context, a attempt, server fleet.BackendServer) (fleet.BackendServer, *outcome.Error) {
	for range maxServerChoices {
		if d.isSameServer(server) {
			return server, nil
		}
		d.ended(server.Name)
		d.log.Info("the chosen server is leaving", "request", a.ID, "server", server.Name)
		next, err := d.chooseServer(a.Request, []string{server.Name})
		if err != nil {
			return server, asOutcome(err)
		}
		begin, err := d.begin(ctx, a, next, false)
		if err != nil || begin.Verdict != ledger.VerdictGranted {
			d.ended(next.Name)
			return server, errNoQuorum()
		}
		server = next
	}
	d.ended(server.Name)
	return server, errServerFailed(outcome.NotRun, "every backend server that was chosen is leaving")
}

// isSameServer reports whether the server may be given new work and has not been restarted.
func (d *Dispatcher) isSameServer(server fleet.BackendServer) bool {
	for _, s := range d.fleet.Available() {
		if s.Name == server.Name {
			return s.Incarnation == server.Incarnation
		}
	}
	return false
}

// finishOnce records the answer before the caller gets it.
func (d *Dispatcher) finishOnce(ctx context.Context, a attempt, answer backend.CallAnswer) reply {
	c := replica.Command{Finish: d.finishOf(a, a.ID, answer)}
	if _, err := d.propose(ctx, c); err != nil {
		d.once.settler.add(c)
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
			// A long body must not go through the log only to be dropped.
			Answer: ledger.LimitAnswer(ledger.Answer{Status: answer.Status, ContentType: answer.ContentType, Body: answer.Body}),
		},
		Credit: credit.Entry{Member: a.Workspace.Member, Kind: a.Service.Name},
	}
}

// propose runs a command that settles an attempt, also after the caller's deadline.
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

// refuseOnce frees the key of an attempt that was not run, and tells its caller so. The
// instance may have been frozen meanwhile, and another one may have freed the key and run the
// request, so only the ledger can say that the attempt still held it.
func (d *Dispatcher) refuseOnce(ctx context.Context, a attempt, e *outcome.Error) reply {
	c := replica.Command{Abandon: &ledger.Abandon{Key: a.key, Attempt: a.ID}}
	result, err := d.propose(ctx, c)
	if err != nil {
		d.once.settler.add(c)
		return reply{err: e}
	}
	if result.Verdict == ledger.VerdictAbandoned {
		e = granted(e)
	}
	return reply{err: e}
}

// withdraw frees the key of an attempt that was not dispatched and never will be. Until that
// is recorded, duplicates take the attempt for one that is running.
func (d *Dispatcher) withdraw(a attempt) {
	d.once.settler.add(replica.Command{Abandon: &ledger.Abandon{Key: a.key, Attempt: a.ID}})
}

// digestOf identifies all that makes the request what it is, beside its key.
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
