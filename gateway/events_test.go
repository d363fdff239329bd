package gateway

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"
)

// readEvents returns the events of a stream, and the error that ended it.
func readEvents(r io.Reader) (events []event, err error) {
	reader := newEventReader(r)
	for {
		ev, err := reader.next()
		if err != nil {
			return events, err
		}
		events = append(events, ev)
	}
}

func TestCommentsComeWithTheNextEvent(t *testing.T) {
	long := ": " + strings.Repeat("y", 3000) + "\n\n"
	for name, c := range map[string]struct {
		text   string
		events []string
		err    error
	}{
		"an event":                     {"id: 1\ndata: a\n\n", []string{"id: 1\ndata: a\n\n"}, io.EOF},
		"comments before an event":     {": a\n\n: b\n\ndata: c\n\n", []string{": a\n\n: b\n\ndata: c\n\n"}, io.EOF},
		"a comment within an event":    {"data: a\n: b\n\n", []string{"data: a\n: b\n\n"}, io.EOF},
		"comments at the end":          {"data: a\n\n: b\n\n", []string{"data: a\n\n", ": b\n\n"}, io.EOF},
		"a long comment":               {long + "data: a\r\n\r\n", []string{long + "data: a\r\n\r\n"}, io.EOF},
		"a line that fills the buffer": {"data: " + strings.Repeat("x", 2042) + "\nid: 4\n\n", []string{"data: " + strings.Repeat("x", 2042) + "\nid: 4\n\n"}, io.EOF},
		"cut in an event":              {"data: a\n\ndata: b\n", []string{"data: a\n\n"}, io.ErrUnexpectedEOF},
		"cut in a comment":             {": a\n", nil, io.ErrUnexpectedEOF},
		"too many comments":            {strings.Repeat(": a\n\n", maxEventBytes), nil, errEventTooLong},
		"an event that is too long":    {"data: " + strings.Repeat("x", maxEventBytes), nil, errEventTooLong},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			events, err := readEvents(strings.NewReader(c.text))
			is.Equal(err, c.err)
			is.Equal(len(events), len(c.events))
			for i, ev := range events {
				is.Equal(string(ev.bytes), c.events[i])
			}
		})
	}
}

func FuzzEventReader(f *testing.F) {
	for _, seed := range []string{"id: 1\ndata: a\n\n", ": c\n\ndata: b\r\n\r\n", "data", "\n\n\n", ": only\n\n", "id: x\n\nid: 9\n: y\n\n"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, stream []byte) {
		events, err := readEvents(bytes.NewReader(stream))
		var out []byte
		for _, ev := range events {
			out = append(out, ev.bytes...)
		}
		if !bytes.HasPrefix(stream, out) {
			t.Fatalf("the events %q don't begin the stream %q", out, stream)
		}
		if errors.Is(err, io.EOF) && len(out) != len(stream) {
			t.Fatalf("the stream %q ended as complete with %q", stream, out)
		}
		pieces, pieceErr := readEvents(iotest.OneByteReader(bytes.NewReader(stream)))
		if len(pieces) != len(events) || !errors.Is(pieceErr, err) {
			t.Fatalf("in pieces: %d events and %v, want %d and %v", len(pieces), pieceErr, len(events), err)
		}
	})
}
