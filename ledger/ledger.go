// Package ledger decides whether a non-idempotent request may be dispatched.
//
// A Ledger is a pure state machine that is replicated by the control instances. Every
// request is identified by its key; an attempt is one request received by one instance.
// Only the attempt whose Begin was granted may dispatch, and it does so at most once.
//
// Time is the replicated time of package replica, which only moves forward and never faster
// than a real clock. Records are forgotten after Retention; a forgotten key is refused, and
// never granted again.
package ledger

import "time"

// Bounds of what a ledger keeps.
const (
	// Retention is the time from a Begin after which its record is forgotten.
	Retention = 24 * time.Hour
	// MaxRecords bounds the records; the oldest are forgotten before their time.
	MaxRecords = 200_000
	// MaxAnswerBytes bounds one answer that is kept for duplicates.
	MaxAnswerBytes = 64 << 10
	// MaxAnswersBytes bounds all answers that are kept; the oldest are dropped first.
	MaxAnswersBytes = 32 << 20
	// MaxWithdrawn bounds the attempts that are barred after an Abandon.
	MaxWithdrawn = 100_000
	// maxContentTypeBytes bounds a recorded content type; a longer one is cut.
	maxContentTypeBytes = 256
)

// Key identifies a non-idempotent request over all its re-sends.
type Key struct {
	Workspace string
	Service   string
	// Idempotency is the caller's Idempotency-Key.
	Idempotency string
}

// Digest tells requests with the same key apart.
type Digest [16]byte

// Phase is how far a request has come.
type Phase uint8

// The phases of a request.
const (
	// PhaseBegun means that one attempt may have dispatched the request.
	PhaseBegun Phase = iota + 1
	// PhaseFinished means that the request ran and its outcome is recorded.
	PhaseFinished
	// PhaseUnknown means that the request may or may not have run.
	PhaseUnknown
)

// Answer is a backend server's recorded answer.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
	// Dropped means that the body is not kept.
	Dropped bool
}

// Dispatcher is one start of the instance that may dispatch a request.
type Dispatcher struct {
	Instance    string
	Incarnation uint64
}

// Server is the backend server that a request is dispatched to.
type Server struct {
	Name        string
	Incarnation uint64
	Address     string
	// Resolves means that the server can be asked what became of the request.
	Resolves bool
}

// Record is what the ledger knows of one key.
type Record struct {
	Key        Key
	Phase      Phase
	Digest     Digest
	Attempt    string
	Dispatcher Dispatcher
	Server     Server
	// At is the replicated time of the Begin.
	At time.Duration
	// KeyTime is the time that the key carries, in milliseconds of Unix time; 0 when it
	// carries none that can be trusted.
	KeyTime uint64
	Answer  Answer

	seq uint64 // place in Ledger.order
	// freed means that the ledger holds the record no more.
	freed bool
}

// Begin asks for the right to dispatch.
type Begin struct {
	Key        Key
	Digest     Digest
	Attempt    string
	Dispatcher Dispatcher
	Server     Server
	// Look asks what is known of the key without beginning.
	Look bool
}

// Finish records the outcome of the granted attempt: PhaseFinished or PhaseUnknown.
type Finish struct {
	Key     Key
	Attempt string
	Phase   Phase
	Answer  Answer
}

// Abandon withdraws an attempt that has not run and never will.
type Abandon struct {
	Key     Key
	Attempt string
}

// Verdict is the answer to a command.
type Verdict uint8

// The verdicts.
const (
	// VerdictGranted lets the attempt dispatch.
	VerdictGranted Verdict = iota + 1
	// VerdictRunning means that another attempt may be running.
	VerdictRunning
	// VerdictFinished means that the record holds the answer.
	VerdictFinished
	// VerdictUnknown means that an earlier attempt ended without a known outcome.
	VerdictUnknown
	// VerdictMismatch means that the key was used with another request.
	VerdictMismatch
	// VerdictAbandoned means that the attempt was withdrawn and its key is free.
	VerdictAbandoned
	// VerdictNew answers a look: nothing is known of the key.
	VerdictNew
	// VerdictExpired means that the key was used before and its record is forgotten.
	VerdictExpired
	// VerdictStale means that the attempt does not hold the key.
	VerdictStale
)

// Result is the answer to a command.
type Result struct {
	Verdict Verdict
	// Record is what the ledger knows of the key; empty when the attempt was granted.
	Record Record
}

// Now is the time at which a command is applied.
type Now struct {
	// Replicated orders and expires records.
	Replicated time.Duration
	// Wall is the leader's wall clock; it only decides whether the time in a key is trusted.
	Wall time.Time
}

// Ledger maps keys to records.
type Ledger struct {
	records     map[Key]*Record
	order       queue
	answerBytes int
	answerFrom  uint64 // no record before this place holds an answer's body
	withdrawn   withdrawals
	forgotten   forgotten
}

// New returns an empty ledger.
func New() *Ledger {
	return &Ledger{
		records:   make(map[Key]*Record),
		withdrawn: newWithdrawals(),
		forgotten: newForgotten(),
	}
}

// Begin grants the first attempt of a key and tells every other one what became of it.
func (l *Ledger) Begin(now Now, b Begin) Result {
	l.expire(now.Replicated)
	if l.withdrawn.has(b.Attempt) {
		return Result{Verdict: VerdictAbandoned}
	}
	r, ok := l.records[b.Key]
	switch {
	case !ok && l.forgotten.has(b.Key):
		return Result{Verdict: VerdictExpired}
	case !ok && b.Look:
		return Result{Verdict: VerdictNew}
	case !ok:
		l.grant(now, b)
		return Result{Verdict: VerdictGranted}
	case r.Digest != b.Digest:
		return Result{Verdict: VerdictMismatch}
	// A proposal that was sent twice must not turn a grant into a refusal.
	case r.Phase == PhaseBegun && r.Attempt == b.Attempt && !b.Look:
		r.Server = b.Server
		return Result{Verdict: VerdictGranted}
	}
	return Result{Verdict: verdictOf(r.Phase), Record: *r}
}

func (l *Ledger) grant(now Now, b Begin) {
	r := &Record{
		Key:        b.Key,
		Phase:      PhaseBegun,
		Digest:     b.Digest,
		Attempt:    b.Attempt,
		Dispatcher: b.Dispatcher,
		Server:     b.Server,
		At:         now.Replicated,
		KeyTime:    trustedKeyTime(b.Key.Idempotency, now.Wall),
	}
	l.order.push(r)
	l.records[b.Key] = r
}

// Finish records the outcome. It is idempotent, and ignored from any but the granted attempt.
// An unknown outcome may become known later, since the granted attempt ran at most once.
func (l *Ledger) Finish(now Now, f Finish) Result {
	l.expire(now.Replicated)
	r, ok := l.records[f.Key]
	if !ok || r.Attempt != f.Attempt {
		return Result{Verdict: VerdictStale}
	}
	if r.Phase != PhaseFinished && f.Phase > 0 {
		r.Phase = f.Phase
		r.Answer = BoundAnswer(f.Answer)
		l.keepAnswer(r)
	}
	return Result{Verdict: verdictOf(r.Phase), Record: *r}
}

// Abandon frees the key if the attempt holds it and has not finished, and bars a Begin of
// the attempt that arrives later. The verdict is VerdictAbandoned when the key is
// free: then no send of it has run so far. It is VerdictStale when another attempt has come
// between, which may have run.
func (l *Ledger) Abandon(now Now, a Abandon) Result {
	l.expire(now.Replicated)
	r, ok := l.records[a.Key]
	if ok && r.Attempt == a.Attempt {
		if r.Phase == PhaseFinished {
			return Result{Verdict: VerdictFinished, Record: *r}
		}
		r.freed = true
		delete(l.records, a.Key)
		l.compact()
		ok = false
	}
	l.withdrawn.add(a.Attempt, now.Replicated)
	if ok || l.forgotten.has(a.Key) {
		return Result{Verdict: VerdictStale}
	}
	return Result{Verdict: VerdictAbandoned}
}

// Lookup returns the record of a key.
func (l *Ledger) Lookup(k Key) (Record, bool) {
	r, ok := l.records[k]
	if !ok {
		return Record{}, false
	}
	return *r, true
}

// Len returns the number of records.
func (l *Ledger) Len() int { return len(l.records) }

func verdictOf(p Phase) Verdict {
	switch p {
	case PhaseFinished:
		return VerdictFinished
	case PhaseUnknown:
		return VerdictUnknown
	default:
		return VerdictRunning
	}
}

// BoundAnswer returns the answer as it is recorded: a body above MaxAnswerBytes is dropped.
func BoundAnswer(a Answer) Answer {
	if len(a.ContentType) > maxContentTypeBytes {
		a.ContentType = a.ContentType[:maxContentTypeBytes]
	}
	if len(a.Body) > MaxAnswerBytes {
		a.Body = nil
		a.Dropped = true
	}
	return a
}
