// Package trace keeps the latest log lines of an instance in memory, so that operators can see
// the decisions about one request, or follow all decisions as they are made.
package trace

import (
	"fmt"
	"sync"
	"time"

	"github.com/go-logr/logr"
)

// Line is one log line.
type Line struct {
	// Sequence is the number of the line; an instance counts its lines from 1.
	Sequence uint64    `json:"sequence"`
	At       time.Time `json:"at"`
	// Part is the name of the logger, such as route; nested names are joined by slashes.
	Part    string `json:"part"`
	Message string `json:"message"`
	Fields  string `json:"fields"`
	// Request is the id of the request that the line concerns, or "".
	Request string `json:"request,omitempty"`
}

// requestKey is the log key of request ids.
const requestKey = "request"

// Recorder keeps the latest lines in a ring buffer of fixed size, which overwrites the oldest. It is
// safe for concurrent use.
type Recorder struct {
	now func() time.Time

	mu    sync.Mutex
	lines []Line
	last  uint64
}

// NewRecorder returns a recorder that keeps the latest size lines; size must be above 0.
func NewRecorder(size int, now func() time.Time) *Recorder {
	return &Recorder{now: now, lines: make([]Line, size)}
}

// Logger returns a logger that writes to both log and the recorder.
func (r *Recorder) Logger(log logr.Logger) logr.Logger {
	return logr.New(&recordingSink{next: log.GetSink(), recorder: r})
}

func (r *Recorder) add(l Line) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.last++
	l.Sequence = r.last
	l.At = r.now()
	r.lines[r.last%uint64(len(r.lines))] = l
}

// After returns up to limit lines with sequence numbers above after, oldest first.
func (r *Recorder) After(after uint64, limit int) []Line {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Line
	for s := max(after+1, r.oldest()); s <= r.last && len(out) < limit; s++ {
		out = append(out, r.lines[s%uint64(len(r.lines))])
	}
	return out
}

// Last returns the sequence number of the latest line, or 0 if there is none.
func (r *Recorder) Last() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.last
}

// Request returns the lines that concern a request, oldest first, or nil if none is kept.
func (r *Recorder) Request(id string) []Line {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Line
	for s := r.oldest(); s <= r.last; s++ {
		if l := r.lines[s%uint64(len(r.lines))]; l.Request == id {
			out = append(out, l)
		}
	}
	return out
}

func (r *Recorder) oldest() uint64 {
	if size := uint64(len(r.lines)); r.last > size {
		return r.last - size + 1
	}
	return 1
}

// recordingSink is a logr.LogSink that records each line and forwards it to the next sink.
type recordingSink struct {
	next     logr.LogSink
	recorder *Recorder
	part     string
	values   []any
}

// Init implements logr.LogSink.
func (s *recordingSink) Init(info logr.RuntimeInfo) { s.next.Init(info) }

// Enabled implements logr.LogSink.
func (s *recordingSink) Enabled(level int) bool { return s.next.Enabled(level) }

// Info implements logr.LogSink.
func (s *recordingSink) Info(level int, message string, keysAndValues ...any) {
	s.next.Info(level, message, keysAndValues...)
	s.record(message, keysAndValues)
}

// Error implements logr.LogSink.
func (s *recordingSink) Error(err error, message string, keysAndValues ...any) {
	s.next.Error(err, message, keysAndValues...)
	s.record(message, append([]any{"err", err}, keysAndValues...))
}

// WithValues implements logr.LogSink.
func (s *recordingSink) WithValues(keysAndValues ...any) logr.LogSink {
	c := *s
	c.next = s.next.WithValues(keysAndValues...)
	c.values = append(append([]any(nil), s.values...), keysAndValues...)
	return &c
}

// WithName implements logr.LogSink.
func (s *recordingSink) WithName(name string) logr.LogSink {
	c := *s
	c.next = s.next.WithName(name)
	c.part = name
	if s.part != "" {
		c.part = s.part + "/" + name
	}
	return &c
}

func (s *recordingSink) record(message string, keysAndValues []any) {
	l := Line{Part: s.part, Message: message}
	for _, kv := range [][]any{s.values, keysAndValues} {
		for i := 0; i+1 < len(kv); i += 2 {
			if kv[i] == requestKey {
				l.Request = fmt.Sprint(kv[i+1])
				continue
			}
			if l.Fields != "" {
				l.Fields += " "
			}
			l.Fields += fmt.Sprintf("%v=%v", kv[i], kv[i+1])
		}
	}
	s.recorder.add(l)
}
