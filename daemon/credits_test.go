package daemon

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/balsamlb/balsamlb/credit"
	"github.com/balsamlb/balsamlb/replica"
	"github.com/go-logr/logr"
	"github.com/matryer/is"
)

var errNoReply = errors.New("no reply")

// lossyProposer applies every batch but loses some replies.
type lossyProposer struct {
	mu            sync.Mutex
	counter       *credit.Counter
	repliesToLose int
	calls         int
}

func (p *lossyProposer) Propose(_ context.Context, c replica.Command) (replica.Result, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls++
	p.counter.Add(*c.Credits)
	if p.repliesToLose > 0 {
		p.repliesToLose--
		return replica.Result{}, errNoReply
	}
	return replica.Result{}, nil
}

func (p *lossyProposer) draftCount() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counter.Counts()[credit.Account{Member: "m", Kind: "draft"}]
}

func TestCreditIsRecordedBeforeTheAnswerEnds(t *testing.T) {
	is := is.New(t)
	p := &lossyProposer{counter: credit.NewCounter(), repliesToLose: 1}
	r := newCreditRecorder("kandy-1", 1, p, logr.Discard())
	r.waitTimeout = time.Minute // no timeout on a busy machine
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		_ = r.run(ctx)
		close(ended)
	}()
	r.Credit(credit.Entry{Request: "r1", Member: "m", Kind: "draft"})
	is.Equal(p.draftCount(), uint64(1)) // counted once, although the reply to the first proposal was lost
	var wg sync.WaitGroup
	for range 50 {
		wg.Go(func() { r.Credit(credit.Entry{Member: "m", Kind: "draft"}) })
	}
	wg.Wait()
	is.Equal(p.draftCount(), uint64(51))
	cancel()
	<-ended
}

func TestPendingCreditsAreRecordedInOneBatch(t *testing.T) {
	is := is.New(t)
	p := &lossyProposer{counter: credit.NewCounter()}
	r := newCreditRecorder("kandy-1", 1, p, logr.Discard())
	for range 50 {
		is.True(r.pending.Offer(pendingCredit{entry: credit.Entry{Member: "m", Kind: "draft"}, recorded: make(chan struct{})}))
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	is.NoErr(r.run(ctx))
	is.Equal(p.draftCount(), uint64(50))
	is.True(p.calls <= 2) // run may record one credit before it sees that ctx has ended
}

func TestPendingCreditsAreRecordedOnShutdown(t *testing.T) {
	is := is.New(t)
	p := &lossyProposer{counter: credit.NewCounter()}
	r := newCreditRecorder("kandy-1", 1, p, logr.Discard())
	r.Credit(credit.Entry{Member: "m", Kind: "draft"}) // run has not started; the call returns after the timeout
	is.Equal(p.draftCount(), uint64(0))
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	is.NoErr(r.run(ctx))
	is.Equal(p.draftCount(), uint64(1))
}
