// Package ledger decides whether a non-idempotent request may be dispatched.
//
// A Ledger is a pure state machine that is replicated by the control instances. Every
// request is identified by its key; an attempt is one request received by one instance.
// Only the attempt whose Begin was granted may dispatch, and it does so at most once.
package ledger

import "time"

// Key identifies a non-idempotent request over all its re-sends.
type Key struct {
	Workspace string `json:"w"`
	Service   string `json:"s"`
	// Idempotency is the caller's Idempotency-Key.
	Idempotency string `json:"k"`
}

// Phase is how far a request has come.
type Phase uint8

// The phases of a request.
const (
	// PhaseBegun means that one attempt may have dispatched the request.
	PhaseBegun Phase = iota + 1
	// PhaseFinished means that the outcome is recorded.
	PhaseFinished
	// PhaseUnknown means that the request may or may not have run.
	PhaseUnknown
)

// Answer is a backend server's recorded answer.
type Answer struct {
	Status      int    `json:"c"`
	ContentType string `json:"t,omitempty"`
	Body        []byte `json:"b,omitempty"`
}

// Record is what the ledger knows of one key.
type Record struct {
	Phase    Phase     `json:"p"`
	Digest   uint64    `json:"d"`
	Attempt  string    `json:"a"`
	Instance string    `json:"i"`
	At       time.Time `json:"at"`
	Answer   Answer    `json:"ans"`
}

// Begin asks for the right to dispatch.
type Begin struct {
	Key      Key       `json:"key"`
	Digest   uint64    `json:"digest"`
	Attempt  string    `json:"attempt"`
	Instance string    `json:"instance"`
	At       time.Time `json:"at"`
}

// Finish records the outcome of the granted attempt.
type Finish struct {
	Key     Key       `json:"key"`
	Attempt string    `json:"attempt"`
	Phase   Phase     `json:"phase"`
	Answer  Answer    `json:"answer"`
	At      time.Time `json:"at"`
}

// Abandon withdraws an attempt that has not dispatched and never will.
type Abandon struct {
	Key     Key       `json:"key"`
	Attempt string    `json:"attempt"`
	At      time.Time `json:"at"`
}

// Verdict is the answer to a Begin.
type Verdict uint8

// The verdicts on a Begin.
const (
	// VerdictGranted lets the attempt dispatch.
	VerdictGranted Verdict = iota + 1
	// VerdictRunning means that another attempt may be running.
	VerdictRunning
	// VerdictFinished means that the record holds the answer.
	VerdictFinished
	// VerdictUnknown means that an earlier attempt ended without a known outcome.
	VerdictUnknown
	// VerdictMismatch means that the key was used with another body.
	VerdictMismatch
	// VerdictAbandoned means that the attempt was withdrawn before its Begin arrived.
	VerdictAbandoned
)

// Result is the answer to a command.
type Result struct {
	Verdict Verdict `json:"v"`
	Record  Record  `json:"r"`
}

// Ledger maps keys to records.
type Ledger struct {
	records   map[Key]Record
	abandoned map[string]time.Time
}

// New returns an empty ledger.
func New() *Ledger {
	return &Ledger{records: make(map[Key]Record), abandoned: make(map[string]time.Time)}
}

// Begin grants the first attempt of a key and tells every other one what became of it.
func (l *Ledger) Begin(b Begin) Result {
	if _, ok := l.abandoned[b.Attempt]; ok {
		return Result{Verdict: VerdictAbandoned}
	}
	r, ok := l.records[b.Key]
	if !ok {
		r = Record{Phase: PhaseBegun, Digest: b.Digest, Attempt: b.Attempt, Instance: b.Instance, At: b.At}
		l.records[b.Key] = r
		return Result{Verdict: VerdictGranted, Record: r}
	}
	if r.Digest != b.Digest {
		return Result{Verdict: VerdictMismatch}
	}
	// A proposal that was sent twice must not turn a grant into a refusal.
	if r.Phase == PhaseBegun && r.Attempt == b.Attempt {
		return Result{Verdict: VerdictGranted, Record: r}
	}
	return Result{Verdict: verdictOf(r.Phase), Record: r}
}

// Finish records the outcome. It is idempotent, and ignored from any but the granted attempt.
func (l *Ledger) Finish(f Finish) Result {
	r, ok := l.records[f.Key]
	if !ok || r.Attempt != f.Attempt {
		return Result{Verdict: VerdictMismatch}
	}
	if r.Phase == PhaseBegun {
		r.Phase = f.Phase
		r.Answer = f.Answer
		r.At = f.At
		l.records[f.Key] = r
	}
	return Result{Verdict: verdictOf(r.Phase), Record: r}
}

// Abandon frees the key if the attempt holds it, and bars a Begin that arrives later.
func (l *Ledger) Abandon(a Abandon) Result {
	l.abandoned[a.Attempt] = a.At
	r, ok := l.records[a.Key]
	if ok && r.Phase == PhaseBegun && r.Attempt == a.Attempt {
		delete(l.records, a.Key)
	}
	return Result{Verdict: VerdictAbandoned}
}

// Lookup returns the record of a key.
func (l *Ledger) Lookup(k Key) (Record, bool) {
	r, ok := l.records[k]
	return r, ok
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
