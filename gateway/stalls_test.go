package gateway

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// After a crash hundreds of drafts stall at one first server. The gateway must not send it a query
// for each of them.
func TestDraftsAtOneServerShareAStallQuery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		queries := 0
		s := newStallReports(func(context.Context, string) (map[string]string, error) {
			queries++
			time.Sleep(5 * time.Millisecond)
			return map[string]string{"r1": "10.0.0.9:80"}, nil
		})
		var wg sync.WaitGroup
		for range 200 {
			wg.Go(func() {
				address, err := s.stalledBy(t.Context(), "head", "r1")
				is.NoErr(err)
				is.Equal(address, "10.0.0.9:80")
			})
		}
		wg.Wait()
		is.Equal(queries, 1)
		address, err := s.stalledBy(t.Context(), "head", "another")
		is.NoErr(err)
		is.Equal(address, "")
		is.Equal(queries, 1)
		time.Sleep(stallReportTTL)
		_, err = s.stalledBy(t.Context(), "head", "r1")
		is.NoErr(err)
		is.Equal(queries, 2)
		s.removeExpired(time.Now().Add(stallReportTTL))
		is.Equal(len(s.reports), 0)
	})
}

func TestStallQueryContinuesWhenOneDraftEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newStallReports(func(ctx context.Context, _ string) (map[string]string, error) {
			time.Sleep(50 * time.Millisecond)
			return map[string]string{"r2": "10.0.0.9:80"}, ctx.Err()
		})
		ctx, cancel := context.WithCancel(t.Context())
		first := make(chan error, 1)
		go func() {
			_, err := s.stalledBy(ctx, "head", "r1")
			first <- err
		}()
		synctest.Wait()
		second := make(chan string, 1)
		go func() {
			address, _ := s.stalledBy(t.Context(), "head", "r2")
			second <- address
		}()
		synctest.Wait()
		cancel()
		is.True(errors.Is(<-first, context.Canceled))
		is.Equal(<-second, "10.0.0.9:80")
	})
}
