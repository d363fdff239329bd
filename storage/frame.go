package storage

import (
	"encoding/binary"
	"hash/crc32"
)

const (
	// The header holds the length of the body and the CRC-32C of the length and the body.
	frameHeaderBytes = 8
	maxFrameBytes    = 64 << 20
)

var crc32cTable = crc32.MakeTable(crc32.Castagnoli)

// framer encodes and decodes the frames of one file. The checksum is seeded with the disk ID and
// the number of the file, so that neither bytes of another file nor a command crafted by a caller
// is accepted as a frame.
type framer struct {
	seed uint32
}

func newFramer(disk, file uint64) framer {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], disk)
	binary.LittleEndian.PutUint64(b[8:], file)
	return framer{seed: crc32.Checksum(b[:], crc32cTable)}
}

func (f framer) checksum(length, body []byte) uint32 {
	return crc32.Update(crc32.Update(f.seed, crc32cTable, length), crc32cTable, body)
}

// appendFrame appends one frame with the body to b.
func (f framer) appendFrame(b, body []byte) []byte {
	var header [frameHeaderBytes]byte
	binary.LittleEndian.PutUint32(header[:4], uint32(len(body)))
	binary.LittleEndian.PutUint32(header[4:], f.checksum(header[:4], body))
	return append(append(b, header[:]...), body...)
}

// decodeFrame returns the body and the size of the frame at the start of data, or false if there
// is no complete and valid frame.
func (f framer) decodeFrame(data []byte) (body []byte, size int, ok bool) {
	if len(data) < frameHeaderBytes {
		return nil, 0, false
	}
	length := binary.LittleEndian.Uint32(data[:4])
	if length == 0 || length > maxFrameBytes || int(length) > len(data)-frameHeaderBytes {
		return nil, 0, false
	}
	body = data[frameHeaderBytes : frameHeaderBytes+int(length)]
	if f.checksum(data[:4], body) != binary.LittleEndian.Uint32(data[4:frameHeaderBytes]) {
		return nil, 0, false
	}
	return body, frameHeaderBytes + int(length), true
}

// isTornTail reports whether the invalid frame at the start of data may be a torn write, which is
// the case if no valid frame follows. Each Save writes one frame, and only after the previous frame
// was synced, so a valid frame after an invalid one proves that the invalid one is not a torn write.
func (f framer) isTornTail(data []byte) bool {
	for i := 1; i < len(data); i++ {
		if _, _, ok := f.decodeFrame(data[i:]); ok {
			return false
		}
	}
	return true
}
