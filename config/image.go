package config

import (
	"errors"
	"slices"
)

// ErrImage means that an image can't be the result of History.Image.
var ErrImage = errors.New("config: the image contains no document")

// Image is a copy of a history's contents, for snapshots.
type Image struct {
	Documents []Document
	// Accepted lists the changes that are remembered to recognize duplicates, oldest first.
	Accepted []AcceptedChange
}

// AcceptedChange is an accepted change and the version that it created.
type AcceptedChange struct {
	ID      string
	Version uint64
}

// Image returns a copy of the history's contents.
func (h *History) Image() Image {
	im := Image{Documents: slices.Clone(h.documents)}
	for _, id := range h.changeIDs {
		im.Accepted = append(im.Accepted, AcceptedChange{ID: id, Version: h.versionByChange[id]})
	}
	return im
}

// FromImage returns a history with the contents of the image.
func FromImage(im Image) (*History, error) {
	if len(im.Documents) == 0 {
		return nil, ErrImage
	}
	h := NewHistory()
	h.documents = nil
	for _, d := range im.Documents {
		h.documents = append(h.documents, d)
		h.totalSize += d.size()
	}
	for _, a := range im.Accepted {
		h.recordAccepted(a)
	}
	return h, nil
}
