package backend

import (
	"encoding/json"
	"errors"
)

// ErrBadFrame means that a server sent a line that is not a valid frame.
var ErrBadFrame = errors.New("backend: bad frame")

const (
	// maxFrameBytes bounds one line of a stage's stream.
	maxFrameBytes = 64 << 10
	// maxFrameCount bounds the indexes and counts in a frame.
	maxFrameCount = 1 << 24
	// maxTextBytes bounds the text of one token.
	maxTextBytes = 4 << 10
)

// decodeFrame decodes one line of a stage's stream and validates it.
func decodeFrame(line []byte) (Frame, error) {
	var f Frame
	if len(line) > maxFrameBytes {
		return f, ErrBadFrame
	}
	if err := json.Unmarshal(line, &f); err != nil {
		return Frame{}, errors.Join(ErrBadFrame, err)
	}
	if !f.isValid() {
		return Frame{}, ErrBadFrame
	}
	return f, nil
}

func (f Frame) isValid() bool {
	for _, n := range []int{f.Attempt, f.Index, f.Received, f.Ran, f.Known, f.Tokens} {
		if n < 0 || n > maxFrameCount {
			return false
		}
	}
	switch f.Kind {
	case FrameOpened, FrameToken, FrameAlive, FrameEnd, FrameError:
	default:
		return false
	}
	return f.Request != "" && len(f.Text) <= maxTextBytes && f.Ran <= f.Received
}
