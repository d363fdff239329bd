package config

import (
	"errors"
	"slices"
)

// ErrImage means that an image was not made by Image.
var ErrImage = errors.New("config: the image is not consistent")

// Image is all that a history holds, for snapshots.
type Image struct {
	Documents []Document
	// Accepted lists the changes that are deduplicated, oldest first.
	Accepted []Accepted
}

// Accepted is a change that became a version.
type Accepted struct {
	ID      string
	Version uint64
}

// Image returns a copy of what the history holds.
func (h *History) Image() Image {
	im := Image{Documents: slices.Clone(h.documents)}
	for _, id := range h.order {
		im.Accepted = append(im.Accepted, Accepted{ID: id, Version: h.versions[id]})
	}
	return im
}

// FromImage returns a history that holds what the image does.
func FromImage(im Image) (*History, error) {
	if len(im.Documents) == 0 {
		return nil, ErrImage
	}
	h := NewHistory()
	h.documents = nil
	for _, d := range im.Documents {
		h.documents = append(h.documents, d)
		h.bytes += d.bytes()
	}
	for _, a := range im.Accepted {
		h.remember(a)
	}
	return h, nil
}
