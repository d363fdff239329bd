package gateway

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestMemoryOfBodiesIsBounded(t *testing.T) {
	is := is.New(t)
	const limit = 6 * bodyStep
	b := requestBodies{limit: limit}
	slow, other := &job{}, &job{}
	body, err := b.read(slow, strings.NewReader(strings.Repeat("x", limit/2)))
	is.NoErr(err)
	is.Equal(len(body), limit/2)
	is.Equal(b.used.Load(), int64(limit/2)) // what has arrived, without the unused part of a step
	_, err = b.read(other, strings.NewReader(strings.Repeat("x", limit)))
	is.True(errors.Is(err, errNoBodyMemory))
	b.release(other)
	b.release(slow)
	is.Equal(b.used.Load(), int64(0))
}

func TestMemoryOfBufferedResponsesIsBounded(t *testing.T) {
	is := is.New(t)
	var b responseBuffers
	response := strings.Repeat("x", 2*maxBufferedResponse)
	var releases []func()
	buffered := 0
	for range 2 * maxBufferedTogether / maxBufferedResponse {
		part, isWhole, release, err := b.buffer(strings.NewReader(response))
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
	whole, isWhole, _, err := b.buffer(bytes.NewReader([]byte("short")))
	is.NoErr(err)
	is.True(isWhole)
	is.Equal(string(whole), "short")
}
