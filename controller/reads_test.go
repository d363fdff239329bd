package controller

import (
	"context"
	"errors"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against a read for each of a crowd, and against results that are older than the question.
func TestReadsAreSharedButNeverOlderThanTheQuestion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		reads, finish := 0, make(chan bool)
		s := &sharedReads{read: func() ([]byte, error) {
			reads++
			text := strconv.Itoa(reads)
			<-finish
			return []byte(text), nil
		}}
		results := make(chan string)
		ask := func() {
			text, _ := s.get(t.Context())
			results <- string(text)
		}
		go ask()
		synctest.Wait()
		for range 100 {
			go ask()
		}
		synctest.Wait()
		finish <- true
		is.Equal(<-results, "1")
		finish <- true
		for range 100 {
			is.Equal(<-results, "2")
		}
		is.Equal(reads, 2)
	})
}

func TestReaderThatLeavesIsNotKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		finish := make(chan bool)
		s := &sharedReads{read: func() ([]byte, error) { <-finish; return nil, nil }}
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		_, err := s.get(ctx)
		is.True(errors.Is(err, context.Canceled))
		finish <- true
	})
}

// Guards against reads that wait for one that takes long, as under a late leader.
func TestReadDoesNotWaitForASlowOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		slow := true
		s := &sharedReads{read: func() ([]byte, error) {
			if slow {
				slow = false
				time.Sleep(publishTimeout)
			}
			return nil, nil
		}}
		go func() { _, _ = s.get(t.Context()) }()
		synctest.Wait()
		asked := time.Now()
		_, err := s.get(t.Context())
		is.NoErr(err)
		is.True(time.Since(asked) <= readInterval)
		time.Sleep(publishTimeout)
	})
}
