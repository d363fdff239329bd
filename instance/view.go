package instance

import (
	"math/bits"

	"github.com/cespare/xxhash/v2"
	"github.com/klauspost/compress/zstd"
	"github.com/rotisserie/eris"
)

// maxViewBytes bounds a view after decompression.
const maxViewBytes = 16 << 20

// maxPatchWindow bounds the window of a patch. It covers a view and its base.
const maxPatchWindow = 2 * maxViewBytes

// dictionaryID marks a view that is compressed with an earlier view as dictionary.
const dictionaryID = 1

// HashView returns a hash of the bytes of a view.
func HashView(view []byte) uint64 { return xxhash.Sum64(view) }

// CompressView compresses a view. If base is not nil, it must be a view that the receiver already
// has. It serves as the dictionary, so that little more than the difference is sent.
func CompressView(view, base []byte) ([]byte, error) {
	options := []zstd.EOption{zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(zstd.SpeedBetterCompression)}
	if base != nil {
		// With a window of both texts, the encoder's buffers are no larger than it needs.
		window := 1 << bits.Len(uint(len(base)+len(view)))
		options = append(options, zstd.WithEncoderDictRaw(dictionaryID, base), zstd.WithLowerEncoderMem(true),
			zstd.WithWindowSize(max(zstd.MinWindowSize, min(window, maxPatchWindow))))
	}
	enc, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return nil, eris.Wrap(err, "instance: compress view")
	}
	defer enc.Close()
	return enc.EncodeAll(view, nil), nil
}

// ExpandView decompresses the output of CompressView, given the same base.
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
