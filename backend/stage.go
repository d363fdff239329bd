package backend

import (
	"bufio"
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// controlTimeout bounds a start or cancel request.
	controlTimeout = 400 * time.Millisecond
	// maxControlBytes bounds the response to a start, a cancel or an order.
	maxControlBytes = 4 << 10
	// openHeaderTimeout bounds the wait for the response header of a stage. A server sends the
	// header immediately, before it rebuilds a KV cache.
	openHeaderTimeout = 400 * time.Millisecond
)

// ErrRefused means that the server refused a request before running any part of it.
var ErrRefused = errors.New("backend: the server refused the request before running it")

// OpenStage connects to a stage. It returns once the server has accepted the request; Next
// later returns the FrameOpened that reports the stage as ready. said is what the server says about
// itself, also in a refusal.
func OpenStage(ctx context.Context, open OpenStageRequest) (c *Conn, said SelfReport, err error) {
	ref := open.Chain[open.Stage]
	headerCtx, cancel := context.WithTimeout(ctx, openHeaderTimeout)
	defer cancel()
	c, err = dial(headerCtx, ref.Server, ref.Address)
	if err != nil {
		return nil, said, err
	}
	stop := context.AfterFunc(ctx, c.Close)
	defer stop()
	said, err = c.openStage(ref, open)
	if err != nil {
		c.Close()
		return nil, said, err
	}
	// The caller monitors the stream's progress, so the stream has no deadline.
	_ = c.conn.SetDeadline(time.Time{})
	return c, said, nil
}

func (c *Conn) openStage(ref StageRef, open OpenStageRequest) (said SelfReport, err error) {
	if err := c.post(ref.Address, PathStage, open); err != nil {
		return said, err
	}
	if err := c.readHead(); err != nil {
		return said, err
	}
	said = parseSelfReport(c.resp)
	if err := c.checkStatus("open stage"); err != nil {
		return said, err
	}
	c.frames = bufio.NewReaderSize(c.resp.Body, maxFrameBytes)
	return said, nil
}

// checkStatus returns an error unless the status is 200. The error wraps ErrRefused if the
// server refused the request before running it.
func (c *Conn) checkStatus(step string) error {
	code := c.resp.StatusCode
	if code == http.StatusOK {
		return nil
	}
	if c.resp.Header.Get(HeaderOutcome) == OutcomeNotRun {
		return eris.Wrapf(ErrRefused, "backend: %s on %s", step, c.server)
	}
	return eris.Errorf("backend: %s on %s: status %d", step, c.server, code)
}

// Next returns the next frame of a stage's stream. An error wraps ErrBadFrame if the server sent an
// invalid frame.
func (c *Conn) Next() (Frame, error) {
	line, err := c.frames.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		err = ErrBadFrame
	}
	if err != nil {
		return Frame{}, eris.Wrapf(err, "backend: read frame from %s", c.server)
	}
	f, err := decodeFrame(line)
	return f, eris.Wrapf(err, "backend: decode frame from %s", c.server)
}

// StartStage asks the first stage of a chain to start.
func StartStage(ctx context.Context, ref StageRef, s StartRequest) error {
	return postControl(ctx, ref, PathStart, s)
}

// CancelStage asks a server to stop working on a request. The cancellation is best effort, since
// the server also drops a request some seconds after the stage's connection has closed.
func CancelStage(ctx context.Context, ref StageRef, request string) error {
	return postControl(ctx, ref, PathCancel, CancelRequest{Request: request})
}

// postControl posts one small request and waits for the acknowledgement.
func postControl(ctx context.Context, ref StageRef, path string, body any) error {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	c, err := dial(ctx, ref.Server, ref.Address)
	if err != nil {
		return err
	}
	defer c.Close()
	if err := c.post(ref.Address, path, body); err != nil {
		return err
	}
	if _, err := c.readResponse(maxControlBytes); err != nil {
		return err
	}
	return c.checkStatus(path)
}
