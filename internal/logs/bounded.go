package logs

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// backlogLines bounds the lines that wait to be written. It holds four seconds of log at
	// 500 lines per second, the highest rate that is configured in practice.
	backlogLines = 2048
	// batchBytes is the size at which a batch takes no further lines and is written.
	batchBytes = 64 << 10
)

// Bounded forwards log lines to a writer without ever blocking the code that logs. It drops
// lines over the rate limit and lines that don't fit into the backlog. The number of dropped
// lines is logged in a separate line as soon as the writer accepts lines again. It is safe for
// concurrent use.
type Bounded struct {
	out   io.Writer
	lines chan []byte
	// perSecond is the rate limit in lines per second.
	perSecond int
	now       func() time.Time

	mu     sync.Mutex
	second int64
	count  int

	dropped atomic.Uint64
}

// NewBounded returns a writer that expects one line per call and accepts perSecond lines in
// each second. Nothing is written until Run is called.
func NewBounded(out io.Writer, perSecond int, now func() time.Time) *Bounded {
	return &Bounded{out: out, lines: make(chan []byte, backlogLines), perSecond: perSecond, now: now}
}

// Write queues or drops one line. It never blocks and never returns an error.
func (b *Bounded) Write(line []byte) (int, error) {
	if !b.allow() {
		b.dropped.Add(1)
		return len(line), nil
	}
	select {
	case b.lines <- bytes.Clone(line):
	default:
		b.dropped.Add(1)
	}
	return len(line), nil
}

// allow counts a line and reports whether it is within the rate limit of the current second.
func (b *Bounded) allow() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.now().Unix(); s != b.second {
		b.second, b.count = s, 0
	}
	b.count++
	return b.count <= b.perSecond
}

// Dropped returns the number of dropped lines that are not logged yet.
func (b *Bounded) Dropped() uint64 { return b.dropped.Load() }

// Run writes lines until ctx ends, and then the lines that are still queued.
func (b *Bounded) Run(ctx context.Context) error {
	for {
		select {
		case line := <-b.lines:
			b.flush(line)
		case <-ctx.Done():
			b.flushQueued()
			return nil
		}
	}
}

// flushQueued writes the lines that are queued now. Lines that are queued meanwhile may be lost, so
// that it returns also while others log.
func (b *Bounded) flushQueued() {
	for queued := len(b.lines); ; {
		before := queued
		queued -= b.flush(nil)
		if queued <= 0 || queued == before {
			return
		}
	}
}

// flush writes a batch together with queued lines, until it reaches batchBytes or the queue is
// empty, and returns the number of lines in it. Lines that the writer does not accept count as
// dropped.
func (b *Bounded) flush(line []byte) int {
	batch, count := line, 0
	if line != nil {
		count = 1
	}
	for {
		select {
		case line := <-b.lines:
			batch = append(batch, line...)
			count++
			if len(batch) < batchBytes {
				continue
			}
		default:
		}
		break
	}
	n := b.dropped.Swap(0)
	if n > 0 {
		batch = fmt.Appendf(batch, "{\"time\":%q,\"level\":\"INFO\",\"msg\":\"left out log lines\",\"lines\":%d}\n", b.now().UTC().Format(time.RFC3339Nano), n)
	}
	if len(batch) == 0 {
		return count
	}
	if _, err := b.out.Write(batch); err != nil {
		b.dropped.Add(uint64(count) + n)
	}
	return count
}
