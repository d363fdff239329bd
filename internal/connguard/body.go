package connguard

import (
	"errors"
	"io"
)

// bodyStep is the size in bytes of the memory that a body begins with.
const bodyStep = 16 << 10

// ErrNoMemory is returned if there is no memory for a request.
var ErrNoMemory = errors.New("connguard: no memory is left for the request")

// ReadWhole reads a body of a length, which is -1 if it isn't known. It takes memory for what has arrived, not for what
// a caller announces, and holds twice as much at most.
func ReadWhole(conn *Conn, body io.Reader, length int64) ([]byte, error) {
	var buffer []byte
	for {
		if len(buffer) == cap(buffer) {
			size := max(bodyStep, 2*cap(buffer))
			if length > int64(len(buffer)) {
				size = int(min(int64(size), length))
			}
			if !conn.Grow(int64(size)) {
				return nil, ErrNoMemory
			}
			grown := make([]byte, len(buffer), size)
			copy(grown, buffer)
			conn.Shrink(int64(cap(buffer)))
			buffer = grown
		}
		n, err := body.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		switch {
		case errors.Is(err, io.EOF) || err == nil && int64(len(buffer)) == length:
			return buffer, nil
		case err != nil:
			return nil, err
		}
	}
}
