package backend

import (
	"errors"
	"strings"
	"testing"
)

var invalidFrames = []string{
	``,
	`{`,
	`null`,
	`{"kind": 7}`,
	`{"kind":"token"}`,
	`{"kind":"tokens","request":"r"}`,
	`{"kind":"token","request":"r","index":-1}`,
	`{"kind":"token","request":"r","index":99999999999}`,
	`{"kind":"alive","request":"r","received":1,"ran":2}`,
	`{"kind":"token","request":"r","text":"` + strings.Repeat("x", maxTextBytes+1) + `"}`,
	`{"kind":"token","request":"` + strings.Repeat("r", maxFrameBytes) + `"}`,
}

func TestInvalidFramesAreRejected(t *testing.T) {
	for _, line := range invalidFrames {
		if _, err := decodeFrame([]byte(line)); !errors.Is(err, ErrBadFrame) {
			t.Errorf("%.60s: %v", line, err)
		}
	}
}

func FuzzDecodeFrame(f *testing.F) {
	for _, line := range invalidFrames {
		f.Add([]byte(line))
	}
	f.Add([]byte(`{"kind":"token","request":"r","attempt":1,"index":3,"text":"a","passed":[{"server":"s","layers":{"from":0,"to":4}}]}`))
	f.Fuzz(func(t *testing.T, line []byte) {
		frame, err := decodeFrame(line)
		if err != nil && !errors.Is(err, ErrBadFrame) {
			t.Fatalf("untyped error %v", err)
		}
		if err == nil && !frame.isValid() {
			t.Fatalf("invalid frame %+v", frame)
		}
	})
}
