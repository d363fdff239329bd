package backend

import (
	"bufio"
	"context"
	"errors"
	"io"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
)

const (
	// controlTimeout bounds a start and a cancel.
	controlTimeout = 400 * time.Millisecond
	// maxControlBytes bounds the answer to a start or a cancel.
	maxControlBytes = 4 << 10
	// openHeaderTimeout bounds the wait for the header of a stage's answer. A server sends
	// it at once, before it rebuilds a KV cache.
	openHeaderTimeout = 400 * time.Millisecond
)

// ErrRefused means that the server refused a request before it ran any of it.
var ErrRefused = errors.New("backend: the server refused the request before running it")

// OpenStage connects to a stage. It returns once the server has taken the request; the
// frame that says that the stage is opened comes from Next.
func OpenStage(ctx context.Context, open OpenStageRequest) (*Conn, error) {
	ref := open.Chain[open.Stage]
	headerCtx, cancel := context.WithTimeout(ctx, openHeaderTimeout)
	defer cancel()
	c, err := dial(headerCtx, ref.Server, ref.Address)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, c.Close)
	defer stop()
	if err := c.openStage(ref, open); err != nil {
		c.Close()
		return nil, err
	}
	// The stream itself is judged by its progress, so it has no deadline of its own.
	_ = c.conn.SetDeadline(time.Time{})
	return c, nil
}

func (c *Conn) openStage(ref StageRef, open OpenStageRequest) error {
	if err := c.post(ref.Address, PathStage, open); err != nil {
		return err
	}
	c.resp.StreamBody = true
	if err := c.resp.Read(c.in); err != nil {
		return eris.Wrapf(err, "backend: read answer of %s", c.server)
	}
	if err := c.checkStatus("open stage"); err != nil {
		return err
	}
	c.lines = bufio.NewReaderSize(c.resp.BodyStream(), maxFrameBytes)
	return nil
}

// checkStatus tells a refusal before running from any other failure.
func (c *Conn) checkStatus(step string) error {
	code := c.resp.StatusCode()
	if code == fasthttp.StatusOK {
		return nil
	}
	if string(c.resp.Header.Peek(HeaderOutcome)) == OutcomeNotRun {
		return eris.Wrapf(ErrRefused, "backend: %s on %s", step, c.server)
	}
	return eris.Errorf("backend: %s on %s: status %d", step, c.server, code)
}

// Next returns the next frame of a stage's stream.
func (c *Conn) Next() (Frame, error) {
	line, err := c.lines.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		err = ErrBadFrame
	}
	if err != nil {
		return Frame{}, eris.Wrapf(err, "backend: read frame from %s", c.server)
	}
	f, err := decodeFrame(line)
	return f, eris.Wrapf(err, "backend: decode frame from %s", c.server)
}

// StartStage tells the first stage of a chain to begin.
func StartStage(ctx context.Context, ref StageRef, s StartRequest) error {
	return control(ctx, ref, PathStart, s)
}

// CancelStage asks a server to stop working on a request. It is best effort: the server
// also forgets a request some seconds after the stage's connection has closed.
func CancelStage(ctx context.Context, ref StageRef, request string) error {
	return control(ctx, ref, PathCancel, CancelRequest{Request: request})
}

// control sends one short message and waits for its acknowledgement.
func control(ctx context.Context, ref StageRef, path string, body any) error {
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
	if err := c.resp.ReadLimitBody(c.in, maxControlBytes); err != nil && !errors.Is(err, io.EOF) {
		return eris.Wrapf(err, "backend: read answer of %s", ref.Server)
	}
	return c.checkStatus(path)
}
