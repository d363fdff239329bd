package instance

import (
	"github.com/cespare/xxhash/v2"
	"github.com/klauspost/compress/zstd"
	"github.com/rotisserie/eris"
)

// maxViewBytes bounds a view.
const maxViewBytes = 16 << 20

// dictionaryID marks a view that is compressed against the one before.
const dictionaryID = 1

// HashView identifies the bytes of a view.
func HashView(view []byte) uint64 { return xxhash.Sum64(view) }

// CompressView compresses a view. A base that is not nil is a view that the receiver has; it
// serves as dictionary, so that little more than the difference is sent.
func CompressView(view, base []byte) ([]byte, error) {
	options := []zstd.EOption{zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(zstd.SpeedBetterCompression)}
	if base != nil {
		options = append(options, zstd.WithEncoderDictRaw(dictionaryID, base))
	}
	enc, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return nil, eris.Wrap(err, "instance: compress view")
	}
	defer enc.Close()
	return enc.EncodeAll(view, nil), nil
}

// ExpandView undoes CompressView with the same base.
func ExpandView(data, base []byte) ([]byte, error) {
	options := []zstd.DOption{zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxViewBytes)}
	if base != nil {
		options = append(options, zstd.WithDecoderDictRaw(dictionaryID, base))
	}
	dec, err := zstd.NewReader(nil, options...)
	if err != nil {
		return nil, eris.Wrap(err, "instance: expand view")
	}
	defer dec.Close()
	view, err := dec.DecodeAll(data, nil)
	return view, eris.Wrap(err, "instance: expand view")
}
