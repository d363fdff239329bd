// Package ledger decides whether a non-idempotent request may be dispatched.
//
// A Ledger is a pure state machine that the control instances replicate. Each request is
// identified by its key. An attempt is one call with this key that one instance received. Only the
// instance of the attempt whose Begin was granted may dispatch the request, and it does so at most
// once.
//
// Time is the replicated time of package replica, which never moves backwards and never runs
// faster than a real clock. Records expire after Retention. A key whose record has expired is
// refused and never granted again.
package ledger

import "time"

// Limits of a ledger's contents.
const (
	// Retention is how long a record is kept after its Begin.
	Retention = 24 * time.Hour
	// MaxRecords is the maximum number of records. If there are more, the oldest ones expire early.
	MaxRecords = 200_000
	// MaxAnswerBytes is the maximum size of a stored answer's body. Answers are stored to be
	// returned to duplicates of the request.
	MaxAnswerBytes = 64 << 10
	// MaxAnswersBytes is the maximum total size of the stored bodies. The oldest are dropped
	// first.
	MaxAnswersBytes = 32 << 20
	// MaxWithdrawn is the maximum number of abandoned attempts that are stored. A stored attempt is
	// refused if its Begin arrives after its Abandon.
	MaxWithdrawn = 100_000
	// maxContentTypeBytes is the maximum length of a stored content type. Longer ones are
	// truncated.
	maxContentTypeBytes = 256
)

// Key identifies a non-idempotent request and all its retries.
type Key struct {
	Workspace string
	Service   string
	// Idempotency is the caller's Idempotency-Key.
	Idempotency string
}

// Digest is a hash of a request. A different digest for the same key reveals that the key was
// reused for another request.
type Digest [16]byte

// Phase is the state of a request.
type Phase uint8

// The phases of a request.
const (
	// PhaseBegun means that one attempt was granted, and that its instance may have dispatched the
	// request.
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
	// Dropped means that the body is not stored.
	Dropped bool
}

// Dispatcher identifies the instance that may dispatch a request, and the start of that instance.
type Dispatcher struct {
	Instance    string
	Incarnation uint64
}

// Server is the backend server that a request is dispatched to.
type Server struct {
	Name        string
	Incarnation uint64
	Address     string
	// Resolves means that the server can be asked for the outcome of the request.
	Resolves bool
}

// Record is the ledger's entry for one key.
type Record struct {
	Key        Key
	Phase      Phase
	Digest     Digest
	Attempt    string
	Dispatcher Dispatcher
	Server     Server
	// At is the replicated time of the Begin.
	At time.Duration
	// KeyTime is the time that the key contains, in milliseconds of Unix time. It is 0 if the key
	// contains no time or a time that is not trusted.
	KeyTime uint64
	Answer  Answer

	queueSeq uint64 // position in Ledger.queue
	// removed means that the record was removed from the ledger.
	removed bool
}

// Begin requests the right to dispatch a request.
type Begin struct {
	Key        Key
	Digest     Digest
	Attempt    string
	Dispatcher Dispatcher
	Server     Server
	// LookupOnly asks only for the state of the key, without granting the attempt.
	LookupOnly bool
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

// Verdict is the decision on a command.
type Verdict uint8

// The verdicts.
const (
	// VerdictGranted means that the instance of the attempt may dispatch the request.
	VerdictGranted Verdict = iota + 1
	// VerdictRunning means that another attempt may be running.
	VerdictRunning
	// VerdictFinished means that the request has run and the record contains the answer.
	VerdictFinished
	// VerdictUnknown means that an earlier attempt ended without a known outcome.
	VerdictUnknown
	// VerdictMismatch means that the key was used for another request.
	VerdictMismatch
	// VerdictAbandoned means that the attempt was withdrawn and its key is free again.
	VerdictAbandoned
	// VerdictNew means that the key is not known. It is the result of a Begin with
	// LookupOnly.
	VerdictNew
	// VerdictExpired means that the key was used before and its record has expired.
	VerdictExpired
	// VerdictStale means that the attempt does not hold the key.
	VerdictStale
)

// Result is the answer to a command.
type Result struct {
	Verdict Verdict
	// Record is the record of the key. It is empty if the attempt was granted.
	Record Record
}

// CommandTime is the time at which a command is applied.
type CommandTime struct {
	// Replicated is the replicated time, by which records are ordered and expire.
	Replicated time.Duration
	// Wall is the leader's wall clock. It serves only to decide whether the time in a key is trusted.
	Wall time.Time
}

// Ledger maps keys to records. It is not safe for concurrent use.
type Ledger struct {
	records      map[Key]*Record
	queue        recordQueue
	answerBytes  int
	oldestAnswer uint64 // no record before this position has a stored body
	withdrawn    withdrawals
	expired      expiredKeys
}

// New returns an empty ledger.
func New() *Ledger {
	return &Ledger{
		records:   make(map[Key]*Record),
		withdrawn: newWithdrawals(),
		expired:   newExpiredKeys(),
	}
}

// Begin grants the first attempt of a key. For all other attempts it returns the state of the
// key.
func (l *Ledger) Begin(now CommandTime, b Begin) Result {
	l.expire(now.Replicated)
	if l.withdrawn.has(b.Attempt) {
		return Result{Verdict: VerdictAbandoned}
	}
	r, ok := l.records[b.Key]
	switch {
	case !ok && l.expired.has(b.Key):
		return Result{Verdict: VerdictExpired}
	case !ok && b.LookupOnly:
		return Result{Verdict: VerdictNew}
	case !ok:
		l.grant(now, b)
		return Result{Verdict: VerdictGranted}
	case r.Digest != b.Digest:
		return Result{Verdict: VerdictMismatch}
	// A command that was sent twice must get the same grant again.
	case r.Phase == PhaseBegun && r.Attempt == b.Attempt && !b.LookupOnly:
		r.Server = b.Server
		return Result{Verdict: VerdictGranted}
	}
	return Result{Verdict: verdictOf(r.Phase), Record: *r}
}

func (l *Ledger) grant(now CommandTime, b Begin) {
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
	l.queue.push(r)
	l.records[b.Key] = r
}

// Finish records the outcome of the granted attempt and ignores all other attempts. It is
// idempotent. An unknown outcome may be replaced by a known one, since the granted attempt ran
// at most once.
func (l *Ledger) Finish(now CommandTime, f Finish) Result {
	l.expire(now.Replicated)
	r, ok := l.records[f.Key]
	if !ok || r.Attempt != f.Attempt {
		return Result{Verdict: VerdictStale}
	}
	if r.Phase != PhaseFinished && f.Phase > 0 {
		l.answerBytes -= len(r.Answer.Body)
		r.Phase = f.Phase
		r.Answer = LimitAnswer(f.Answer)
		l.accountAnswer(r)
	}
	return Result{Verdict: verdictOf(r.Phase), Record: *r}
}

// Abandon frees the key if the attempt holds it and has not finished. A Begin of the attempt that
// arrives later is refused. The verdict is VerdictAbandoned if the key is free, which means that
// no attempt with this key has run so far. It is VerdictStale if another attempt has used the key
// meanwhile and may have run.
func (l *Ledger) Abandon(now CommandTime, a Abandon) Result {
	l.expire(now.Replicated)
	r, ok := l.records[a.Key]
	if ok && r.Attempt == a.Attempt {
		if r.Phase == PhaseFinished {
			return Result{Verdict: VerdictFinished, Record: *r}
		}
		r.removed = true
		delete(l.records, a.Key)
		l.answerBytes -= len(r.Answer.Body)
		l.compact()
		ok = false
	}
	l.withdrawn.add(a.Attempt, now.Replicated)
	if ok || l.expired.has(a.Key) {
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

// LimitAnswer returns the answer in the form in which it is stored: a body larger than
// MaxAnswerBytes is dropped and a long content type is truncated.
func LimitAnswer(a Answer) Answer {
	if len(a.ContentType) > maxContentTypeBytes {
		a.ContentType = a.ContentType[:maxContentTypeBytes]
	}
	if len(a.Body) > MaxAnswerBytes {
		a.Body = nil
		a.Dropped = true
	}
	return a
}
