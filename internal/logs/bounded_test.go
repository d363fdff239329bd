package logs

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// blockedWriter blocks every write until open is closed.
type blockedWriter struct {
	open chan struct{}
	mu   sync.Mutex
	text bytes.Buffer
}

func (w *blockedWriter) Write(b []byte) (int, error) {
	<-w.open
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.Write(b)
}

// A writer that blocks, such as a full pipe, must not block the code that logs, and every line
// must be written or counted as dropped.
func TestBlockedWriterDoesNotBlockLogging(t *testing.T) {
	is := is.New(t)
	pipe := &blockedWriter{open: make(chan struct{})}
	clock := time.Unix(1000, 0)
	b := NewBounded(pipe, 1<<30, func() time.Time { return clock })
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- b.Run(ctx) }()
	const lines = 10 * backlogLines
	for i := range lines {
		fmt.Fprintf(b, "line %d\n", i) // returns although the writer is blocked
	}
	is.True(b.Dropped() > 0)
	close(pipe.open)
	stop()
	is.NoErr(<-done)
	text := pipe.text.String()
	written := strings.Count(text, "line ")
	var dropped, reported int
	for _, l := range strings.Split(text, "\n") {
		if _, rest, ok := strings.Cut(l, `"lines":`); ok {
			_, err := fmt.Sscanf(rest, "%d", &reported)
			is.NoErr(err)
			dropped += reported
		}
	}
	is.Equal(written+dropped+int(b.Dropped()), lines)
}

func TestLinesOverRateLimitAreCounted(t *testing.T) {
	is := is.New(t)
	clock := time.Unix(1000, 0)
	var out bytes.Buffer
	b := NewBounded(&out, 2, func() time.Time { return clock })
	for range 5 {
		_, _ = b.Write([]byte("x\n"))
	}
	is.Equal(b.Dropped(), uint64(3))
	clock = clock.Add(time.Second)
	_, _ = b.Write([]byte("y\n"))
	b.flush(nil)
	is.Equal(out.String(), "x\nx\ny\n{\"time\":\"1970-01-01T00:16:41Z\",\"level\":\"INFO\",\"msg\":\"left out log lines\",\"lines\":3}\n")
}

// failingWriter refuses every write while isFailing is set.
type failingWriter struct {
	isFailing bool
	text      bytes.Buffer
}

func (w *failingWriter) Write(b []byte) (int, error) {
	if w.isFailing {
		return 0, errors.New("no space")
	}
	return w.text.Write(b)
}

// Guards against losing the number of dropped lines when the write that reports it fails.
func TestFailedWriteLosesNoCount(t *testing.T) {
	is := is.New(t)
	out := &failingWriter{isFailing: true}
	b := NewBounded(out, 2, func() time.Time { return time.Unix(1000, 0) })
	for range 5 {
		_, _ = b.Write([]byte("x\n"))
	}
	b.flush(nil)
	is.Equal(b.Dropped(), uint64(5))
	b.flush(nil) // the queue is empty now
	is.Equal(b.Dropped(), uint64(5))
	out.isFailing = false
	b.flush(nil)
	is.True(strings.Contains(out.text.String(), `"lines":5}`))
	is.Equal(b.Dropped(), uint64(0))
}

// Guards against losing queued lines at the end of the process: only one batch was written then.
func TestAllQueuedLinesAreWrittenAtTheEnd(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	b := NewBounded(&out, 1<<30, func() time.Time { return time.Unix(1000, 0) })
	line := append(bytes.Repeat([]byte("x"), 16*batchBytes/backlogLines), '\n')
	for range backlogLines {
		_, _ = b.Write(line)
	}
	ctx, stop := context.WithCancel(context.Background())
	stop()
	is.NoErr(b.Run(ctx))
	is.Equal(bytes.Count(out.Bytes(), []byte("\n")), backlogLines)
}
