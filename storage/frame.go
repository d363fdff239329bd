package storage

import (
	"encoding/binary"
	"hash/crc32"
)

const (
	// frameHeaderBytes holds the length of the body and the CRC-32C of length and body.
	frameHeaderBytes = 8
	maxFrameBytes    = 64 << 20
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// framer frames records of one file. The checksum starts from a number of the folder and
// the file, so that neither the bytes of another file nor a command that a caller made up
// passes for a frame.
type framer struct {
	seed uint32
}

func newFramer(disk, file uint64) framer {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], disk)
	binary.LittleEndian.PutUint64(b[8:], file)
	return framer{seed: crc32.Checksum(b[:], castagnoli)}
}

func (f framer) sum(length, body []byte) uint32 {
	return crc32.Update(crc32.Update(f.seed, castagnoli, length), castagnoli, body)
}

// append adds one frame to b.
func (f framer) append(b, body []byte) []byte {
	var header [frameHeaderBytes]byte
	binary.LittleEndian.PutUint32(header[:4], uint32(len(body)))
	binary.LittleEndian.PutUint32(header[4:], f.sum(header[:4], body))
	return append(append(b, header[:]...), body...)
}

// next returns the frame at the start of data; false means that there is no whole one.
func (f framer) next(data []byte) (body []byte, size int, ok bool) {
	if len(data) < frameHeaderBytes {
		return nil, 0, false
	}
	length := binary.LittleEndian.Uint32(data[:4])
	if length == 0 || length > maxFrameBytes || int(length) > len(data)-frameHeaderBytes {
		return nil, 0, false
	}
	body = data[frameHeaderBytes : frameHeaderBytes+int(length)]
	if f.sum(data[:4], body) != binary.LittleEndian.Uint32(data[4:frameHeaderBytes]) {
		return nil, 0, false
	}
	return body, frameHeaderBytes + int(length), true
}

// isTail reports whether nothing valid follows the damage at the start of data. Each Save
// writes one frame and the next one is written only after a sync, so a frame after the
// damage proves that the damage is not a torn write.
func (f framer) isTail(data []byte) bool {
	for i := 1; i < len(data); i++ {
		if _, _, ok := f.next(data[i:]); ok {
			return false
		}
	}
	return true
}
