package gateway

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
	"strings"
)

// errEventTooLong is returned for an event of more than maxEventBytes.
var errEventTooLong = errors.New("gateway: an event of the stream is too long")

// maxEventBytes bounds the size of one event; no server sends longer ones.
const maxEventBytes = 1 << 20

// event is one complete event of a server-sent event stream.
type event struct {
	// bytes is the event as received, including the empty line that ends it.
	bytes []byte
	// id is -1 if the event has none.
	id int64
}

// eventReader splits a stream into events.
type eventReader struct{ r *bufio.Reader }

func newEventReader(r io.Reader) *eventReader { return &eventReader{bufio.NewReaderSize(r, 2048)} }

// next returns the next complete event, or io.EOF at the end of the stream. A stream that ends in
// the middle of an event returns io.ErrUnexpectedEOF.
func (e *eventReader) next() (event, error) {
	ev := event{id: -1}
	for {
		line, err := e.r.ReadSlice('\n')
		ev.bytes = append(ev.bytes, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			if len(ev.bytes) > maxEventBytes {
				return event{}, errEventTooLong
			}
			continue
		case errors.Is(err, io.EOF) && len(ev.bytes) > 0:
			return event{}, io.ErrUnexpectedEOF
		case err != nil:
			return event{}, err
		}
		text := bytes.TrimRight(line, "\r\n")
		if value, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			if id, err := strconv.ParseInt(strings.TrimSpace(string(value)), 10, 64); err == nil {
				ev.id = id
			}
		}
		if len(text) == 0 {
			return ev, nil
		}
		if len(ev.bytes) > maxEventBytes {
			return event{}, errEventTooLong
		}
	}
}
