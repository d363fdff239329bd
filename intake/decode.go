package intake

import "bytes"

const (
	// decodeFactor is the memory that decoding needs for each byte of a text, with the copies that a handler makes.
	decodeFactor = 4
	// objectBytes and valueBytes are the memory of a decoded object and of any other element of a list: a text may
	// consist of very short ones.
	objectBytes = 384
	valueBytes  = 64
)

// DecodedBytes returns how much memory it may take to decode a JSON text.
func DecodedBytes(text []byte) int64 {
	return decodeFactor*int64(len(text)) + objectBytes*int64(bytes.Count(text, []byte{'{'})) + valueBytes*int64(bytes.Count(text, []byte{','}))
}
