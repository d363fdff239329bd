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

var errNoAnswer = errors.New("no answer")

// bookkeeper applies batches and loses the answers of some.
type bookkeeper struct {
	mu    sync.Mutex
	book  *credit.Counter
	lose  int // answers to lose
	calls int
}

func (b *bookkeeper) Propose(_ context.Context, c replica.Command) (replica.Result, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.calls++
	b.book.Add(*c.Credits)
	if b.lose > 0 {
		b.lose--
		return replica.Result{}, errNoAnswer
	}
	return replica.Result{}, nil
}

func (b *bookkeeper) drafts() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.book.Counts()[credit.Account{Member: "m", Kind: "draft"}]
}

func TestACreditIsRecordedBeforeTheAnswerEnds(t *testing.T) {
	is := is.New(t)
	b := &bookkeeper{book: credit.NewCounter(), lose: 1}
	d := newCreditDuty("kandy-1", 1, b, logr.Discard())
	d.wait = time.Minute // a busy machine must not end the wait
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		_ = d.run(ctx)
		close(ended)
	}()
	d.Credit(credit.Entry{Request: "r1", Member: "m", Kind: "draft"})
	is.Equal(b.drafts(), uint64(1)) // once, though the answer to the first proposal was lost
	var wg sync.WaitGroup
	for range 50 {
		wg.Go(func() { d.Credit(credit.Entry{Member: "m", Kind: "draft"}) })
	}
	wg.Wait()
	is.Equal(b.drafts(), uint64(51))
	cancel()
	<-ended
}

func TestWaitingCreditsAreRecordedInOneBatch(t *testing.T) {
	is := is.New(t)
	b := &bookkeeper{book: credit.NewCounter()}
	d := newCreditDuty("kandy-1", 1, b, logr.Discard())
	for range 50 {
		is.True(d.waiting.Offer(pendingCredit{entry: credit.Entry{Member: "m", Kind: "draft"}, recorded: make(chan struct{})}))
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	is.NoErr(d.run(ctx))
	is.Equal(b.drafts(), uint64(50))
	is.True(b.calls <= 2) // run may take one before it sees the end
}

func TestWhatIsLeftIsRecordedAtTheEnd(t *testing.T) {
	is := is.New(t)
	b := &bookkeeper{book: credit.NewCounter()}
	d := newCreditDuty("kandy-1", 1, b, logr.Discard())
	d.Credit(credit.Entry{Member: "m", Kind: "draft"}) // nobody records yet; the answer goes on
	is.Equal(b.drafts(), uint64(0))
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	is.NoErr(d.run(ctx))
	is.Equal(b.drafts(), uint64(1))
}
