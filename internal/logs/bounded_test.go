package logs

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// fullPipe takes nothing until it is opened.
type fullPipe struct {
	open chan struct{}
	mu   sync.Mutex
	text bytes.Buffer
}

func (p *fullPipe) Write(b []byte) (int, error) {
	<-p.open
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.text.Write(b)
}

// A full pipe holds nobody up; every line is written or counted.
func TestFullPipeHoldsNothingUp(t *testing.T) {
	is := is.New(t)
	pipe := &fullPipe{open: make(chan struct{})}
	clock := time.Unix(1000, 0)
	b := NewBounded(pipe, 1<<30, func() time.Time { return clock })
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- b.Run(ctx) }()
	const lines = 10 * backlogLines
	for i := range lines {
		fmt.Fprintf(b, "line %d\n", i) // returns though nothing is taken
	}
	is.True(b.Dropped() > 0)
	close(pipe.open)
	stop()
	is.NoErr(<-done)
	text := pipe.text.String()
	written := strings.Count(text, "line ")
	var leftOut, told int
	for _, l := range strings.Split(text, "\n") {
		if _, rest, ok := strings.Cut(l, `"lines":`); ok {
			_, err := fmt.Sscanf(rest, "%d", &told)
			is.NoErr(err)
			leftOut += told
		}
	}
	is.Equal(written+leftOut+int(b.Dropped()), lines)
}

func TestLinesOverTheRateAreCounted(t *testing.T) {
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
