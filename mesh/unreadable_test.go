package mesh

import (
	"bytes"
	"context"
	"errors"
	"testing"
	"time"

	"github.com/balsamlb/balsamlb/instance"
	"github.com/balsamlb/balsamlb/internal/meter"
	"github.com/balsamlb/balsamlb/routing"
	"github.com/go-logr/logr"
)

// Guards against a document that this build can't read and that keeps away a later one, which it can read.
func TestUnreadableDocumentDoesNotKeepTheNextOneAway(t *testing.T) {
	control := newTestMesh(t, "127.0.0.1:1")
	publish(t, control, 1, document(7, 6000))
	traffic := &meter.Traffic{}
	dialer, err := instance.NewDialer("127.0.0.1:0", nil, traffic)
	if err != nil {
		t.Fatal(err)
	}
	m, err := New(Options{Name: "g", Dialer: dialer, Log: logr.Discard(),
		Decode: func(text []byte) (*routing.Document, error) {
			if bytes.HasSuffix(text, []byte("unknown")) {
				return nil, errors.New("a field of a newer build")
			}
			return &routing.Document{}, nil
		}})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- m.Run(ctx) }()
	defer func() { cancel(); <-done }()
	r := receiver{Mesh: m, traffic: traffic}
	address := serveDocuments(t, control)
	publish(t, control, 2, document(8, 6000)+"unknown")
	r.hear(address, 2)
	time.Sleep(300 * time.Millisecond)
	publish(t, control, 3, document(9, 6000))
	r.hear(address, 3)
	r.await(t, 3, applyTarget)
}
