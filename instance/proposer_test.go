package instance

import (
	"context"
	"errors"
	"testing"

	"github.com/balsamlb/balsamlb/replica"
	"github.com/matryer/is"
)

// Guards against a panic of an instance that knows no control instance yet.
func TestProposerWithoutControlInstancesReportsNoQuorum(t *testing.T) {
	is := is.New(t)
	p := NewProposer(Dialer{}, nil)
	is.Equal(p.pickTarget(0), "")
	ctx, cancel := context.WithTimeout(t.Context(), 2*proposeRetryDelay)
	defer cancel()
	_, err := p.Propose(ctx, replica.Command{})
	is.True(errors.Is(err, ErrNoQuorum))
}
