package instance

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/balsamlb/balsamlb/instance/wire"
)

const (
	// progressBytes is how much must come to count as progress, so that a peer that only trickles makes none.
	progressBytes = 1 << 10
	// silenceTime is how long a call for a document may make no progress.
	silenceTime = time.Second
)

// errNoProgress means that a call was ended since nothing came.
var errNoProgress = fmt.Errorf("instance: less than %d bytes came within %v: %w", progressBytes, silenceTime, context.DeadlineExceeded)

// movingConn is a connection for calls with large answers. A call goes on, over a link however narrow, as long as it
// makes progress. It carries at most one call at a time.
type movingConn struct {
	conn     peerConn
	progress *progress
}

func (d Dialer) newMovingConn(address string, onProgress func(bytes int)) movingConn {
	p := &progress{onProgress: onProgress}
	d.onReceived = p.record
	return movingConn{conn: peerConn{dialer: d, address: address}, progress: p}
}

// call runs f on the connection, which it opens if necessary.
func (c *movingConn) call(ctx context.Context, f func(context.Context, wire.DRPCInstanceClient) error) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timer := newPatientTimer(silenceTime, silenceGrace, func() { cancel(errNoProgress) })
	defer timer.Stop()
	c.progress.begin(timer)
	err := c.conn.call(ctx, f)
	if cause := context.Cause(ctx); err != nil && errors.Is(cause, errNoProgress) {
		return fmt.Errorf("instance: call %s: %w", c.conn.address, cause)
	}
	return err
}

func (c *movingConn) close() { c.conn.close() }

// progress observes what is received on a connection. It is safe for concurrent use.
type progress struct {
	onProgress func(bytes int) // may be nil

	mu       sync.Mutex
	received int // since the last progress
	// silence ends the call when it fires.
	silence *patientTimer
}

func (p *progress) begin(silence *patientTimer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silence, p.received = silence, 0
}

// record counts the bytes of a read, or a new connection if there are none.
func (p *progress) record(bytes int) {
	p.mu.Lock()
	isNew := bytes == 0
	if p.received += bytes; isNew {
		p.received = 0
	}
	bytes, isProgress := p.received, isNew || p.received >= progressBytes
	if isProgress {
		p.received = 0
		p.silence.Reset()
	}
	p.mu.Unlock()
	if isProgress && p.onProgress != nil {
		p.onProgress(bytes)
	}
}
