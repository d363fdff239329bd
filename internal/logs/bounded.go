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
	// backlogLines bounds the lines that wait to be written; at the highest rate that is set
	// in practice (500 a second) it holds four seconds.
	backlogLines = 2048
	// batchBytes bounds one write.
	batchBytes = 64 << 10
)

// Bounded passes lines on to a writer without ever holding up those who log. Lines over the
// rate, and those that find the backlog full, are left out; how many is told in a line of its
// own once the writer takes lines again.
type Bounded struct {
	out   io.Writer
	lines chan []byte
	// perSecond is the highest rate of lines.
	perSecond int
	now       func() time.Time

	mu     sync.Mutex
	second int64
	count  int

	leftOut atomic.Uint64
}

// NewBounded returns a writer that takes one line a call. perSecond bounds the lines of a
// second. Run must be called for anything to be written.
func NewBounded(out io.Writer, perSecond int, now func() time.Time) *Bounded {
	return &Bounded{out: out, lines: make(chan []byte, backlogLines), perSecond: perSecond, now: now}
}

// Write takes one line. It never waits and never fails.
func (b *Bounded) Write(line []byte) (int, error) {
	if !b.allow() {
		b.leftOut.Add(1)
		return len(line), nil
	}
	select {
	case b.lines <- bytes.Clone(line):
	default:
		b.leftOut.Add(1)
	}
	return len(line), nil
}

// allow counts the line in its second.
func (b *Bounded) allow() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.now().Unix(); s != b.second {
		b.second, b.count = s, 0
	}
	b.count++
	return b.count <= b.perSecond
}

// Dropped returns how many lines were left out and not told yet.
func (b *Bounded) Dropped() uint64 { return b.leftOut.Load() }

// Run writes lines until ctx ends, and then those that wait.
func (b *Bounded) Run(ctx context.Context) error {
	for {
		select {
		case line := <-b.lines:
			b.flush(line)
		case <-ctx.Done():
			b.flush(nil)
			return nil
		}
	}
}

// flush writes a line and those that wait behind it, as few writes as there are batches. A
// line that the writer refuses counts as left out.
func (b *Bounded) flush(batch []byte) {
	count := uint64(1)
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
	if n := b.leftOut.Swap(0); n > 0 {
		batch = fmt.Appendf(batch, "{\"time\":%q,\"level\":\"INFO\",\"msg\":\"left out log lines\",\"lines\":%d}\n", b.now().UTC().Format(time.RFC3339Nano), n)
	}
	if len(batch) == 0 {
		return
	}
	if _, err := b.out.Write(batch); err != nil {
		b.leftOut.Add(count)
	}
}
