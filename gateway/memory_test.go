package gateway

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestMemoryOfBufferedResponsesIsBounded(t *testing.T) {
	is := is.New(t)
	var b responseBuffers
	response := strings.Repeat("x", 2*maxBufferedResponse)
	var releases []func()
	buffered := 0
	for range 2 * maxBufferedTogether / maxBufferedResponse {
		part, isWhole, release, err := b.buffer(nil, strings.NewReader(response))
		is.NoErr(err)
		is.True(!isWhole)
		buffered += len(part)
		releases = append(releases, release)
	}
	is.Equal(buffered, maxBufferedTogether)
	for _, release := range releases {
		release()
	}
	is.Equal(b.used.Load(), int64(0))
	whole, isWhole, _, err := b.buffer(nil, bytes.NewReader([]byte("short")))
	is.NoErr(err)
	is.True(isWhole)
	is.Equal(string(whole), "short")
}
