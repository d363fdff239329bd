// Package trace keeps the latest log lines of an instance, so that operators can follow one
// request through its decisions, or all decisions as they are made.
package trace

import (
	"fmt"
	"sync"
	"time"

	"github.com/go-logr/logr"
)

// Line is one log line.
type Line struct {
	// Sequence numbers the lines of an instance from 1.
	Sequence uint64    `json:"sequence"`
	At       time.Time `json:"at"`
	// Part is the part of the system that wrote the line, such as route.
	Part    string `json:"part"`
	Message string `json:"message"`
	Fields  string `json:"fields"`
	// Request is the id of the request that the line is about, or "".
	Request string `json:"request,omitempty"`
}

// requestKey is the log key that carries a request's id.
const requestKey = "request"

// Recorder keeps the latest lines in a ring of fixed size; the oldest are overwritten.
type Recorder struct {
	now func() time.Time

	mu    sync.Mutex
	lines []Line
	last  uint64
}

// NewRecorder returns a recorder of at most size lines.
func NewRecorder(size int, now func() time.Time) *Recorder {
	return &Recorder{now: now, lines: make([]Line, size)}
}

// Logger returns a logger that writes to log and to the recorder.
func (r *Recorder) Logger(log logr.Logger) logr.Logger {
	return logr.New(&sink{next: log.GetSink(), recorder: r})
}

func (r *Recorder) add(l Line) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.last++
	l.Sequence = r.last
	l.At = r.now()
	r.lines[r.last%uint64(len(r.lines))] = l
}

// After returns up to limit lines with a sequence above after, oldest first.
func (r *Recorder) After(after uint64, limit int) []Line {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Line
	for s := max(after+1, r.oldest()); s <= r.last && len(out) < limit; s++ {
		out = append(out, r.lines[s%uint64(len(r.lines))])
	}
	return out
}

// Last returns the sequence of the latest line.
func (r *Recorder) Last() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.last
}

// Request returns the lines about a request, oldest first.
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

// sink passes lines on and records them.
type sink struct {
	next     logr.LogSink
	recorder *Recorder
	part     string
	values   []any
}

// Init implements logr.LogSink.
func (s *sink) Init(info logr.RuntimeInfo) { s.next.Init(info) }

// Enabled implements logr.LogSink.
func (s *sink) Enabled(level int) bool { return s.next.Enabled(level) }

// Info implements logr.LogSink.
func (s *sink) Info(level int, message string, keysAndValues ...any) {
	s.next.Info(level, message, keysAndValues...)
	s.record(message, keysAndValues)
}

// Error implements logr.LogSink.
func (s *sink) Error(err error, message string, keysAndValues ...any) {
	s.next.Error(err, message, keysAndValues...)
	s.record(message, append([]any{"err", err}, keysAndValues...))
}

// WithValues implements logr.LogSink.
func (s *sink) WithValues(keysAndValues ...any) logr.LogSink {
	c := *s
	c.next = s.next.WithValues(keysAndValues...)
	c.values = append(append([]any(nil), s.values...), keysAndValues...)
	return &c
}

// WithName implements logr.LogSink.
func (s *sink) WithName(name string) logr.LogSink {
	c := *s
	c.next = s.next.WithName(name)
	c.part = name
	if s.part != "" {
		c.part = s.part + "/" + name
	}
	return &c
}

func (s *sink) record(message string, keysAndValues []any) {
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
