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

// maxEventBytes bounds the size of one event, with the comments before it.
const maxEventBytes = 128 << 10

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
// the middle of an event returns io.ErrUnexpectedEOF. Comments are returned with the event that follows
// them, so that a server that sends only comments counts as silent.
func (e *eventReader) next() (event, error) {
	ev := event{id: -1}
	hasField := false    // a line other than a comment was read
	isWithin := false    // the last line was not empty
	isContinued := false // the line began before the bytes that are read next
	for {
		line, err := e.r.ReadSlice('\n')
		ev.bytes = append(ev.bytes, line...)
		isWhole := !isContinued
		isContinued = errors.Is(err, bufio.ErrBufferFull)
		text := bytes.TrimRight(line, "\r\n")
		if isWhole && len(line) > 0 {
			isWithin = len(text) > 0
			hasField = hasField || isWithin && text[0] != ':'
		}
		switch {
		case len(ev.bytes) > maxEventBytes:
			return event{}, errEventTooLong
		case isContinued:
			continue
		case errors.Is(err, io.EOF) && len(line) == 0 && !isWithin && !hasField && len(ev.bytes) > 0:
			return ev, nil // comments at the end of the stream
		case errors.Is(err, io.EOF) && len(ev.bytes) > 0:
			return event{}, io.ErrUnexpectedEOF
		case err != nil:
			return event{}, err
		}
		if value, ok := bytes.CutPrefix(text, []byte("id:")); ok && isWhole {
			if id, err := strconv.ParseInt(strings.TrimSpace(string(value)), 10, 64); err == nil {
				ev.id = id
			}
		}
		if isWhole && !isWithin && hasField {
			return ev, nil
		}
	}
}
