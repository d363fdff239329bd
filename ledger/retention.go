package ledger

import "time"

// maxExpiredPerCommand is the maximum number of records that expire in one command.
const maxExpiredPerCommand = 64

// queue holds the records in the order of their Begins. It may contain records that were freed.
type queue struct {
	first   uint64
	records []*Record
}

func (q *queue) push(r *Record) {
	r.seq = q.end()
	q.records = append(q.records, r)
}

func (q *queue) pop() {
	q.records[0] = nil
	q.records = q.records[1:]
	q.first++
}

func (q *queue) end() uint64 { return q.first + uint64(len(q.records)) }

func (q *queue) at(seq uint64) *Record { return q.records[seq-q.first] }

// minCompact is the length below which a queue is not compacted.
const minCompact = 1024

// compact removes the freed records from the queue once they are the majority. It renumbers the
// positions; only their order matters.
func (l *Ledger) compact() {
	if len(l.order.records) < minCompact || len(l.order.records) < 2*len(l.records) {
		return
	}
	var fresh queue
	for _, r := range l.order.records {
		if !r.freed {
			fresh.push(r)
		}
	}
	l.order = fresh
	l.answerFrom = 0
}

// expire removes the records that are older than Retention, and the oldest ones above
// MaxRecords.
func (l *Ledger) expire(now time.Duration) {
	l.withdrawn.expire(now)
	for done := 0; done < maxExpiredPerCommand && len(l.order.records) > 0; {
		r := l.order.at(l.order.first)
		if !r.freed && now-r.At < Retention && len(l.records) <= MaxRecords {
			return
		}
		l.order.pop()
		if !r.freed {
			l.forget(r)
			done++
		}
	}
}

// forget removes an expired record and remembers that its key was used.
func (l *Ledger) forget(r *Record) {
	delete(l.records, r.Key)
	l.answerBytes -= len(r.Answer.Body)
	l.forgotten.add(*r)
}

// keepAnswer adds the answer of a record that has just finished to the total size. While the
// total exceeds MaxAnswersBytes, it drops the bodies of the oldest records.
func (l *Ledger) keepAnswer(r *Record) {
	l.answerBytes += len(r.Answer.Body)
	l.answerFrom = max(min(l.answerFrom, r.seq), l.order.first)
	for l.answerBytes > MaxAnswersBytes && l.answerFrom < l.order.end() {
		old := l.order.at(l.answerFrom)
		l.answerFrom++
		if old.freed || len(old.Answer.Body) == 0 {
			continue
		}
		l.answerBytes -= len(old.Answer.Body)
		old.Answer.Body = nil
		old.Answer.Dropped = true
	}
}

// withdrawals stores the abandoned attempts.
type withdrawals struct {
	// at is the replicated time at which each attempt was abandoned.
	at map[string]time.Duration
	// order lists the attempts, oldest first.
	order []string
}

func newWithdrawals() withdrawals {
	return withdrawals{at: make(map[string]time.Duration)}
}

func (w *withdrawals) has(attempt string) bool {
	_, ok := w.at[attempt]
	return ok
}

func (w *withdrawals) add(attempt string, now time.Duration) {
	if w.has(attempt) {
		return
	}
	w.at[attempt] = now
	w.order = append(w.order, attempt)
}

// expire removes withdrawals after Retention, and the oldest ones above MaxWithdrawn. If a Begin
// of the attempt arrives after that, it is granted and never dispatched: its key is blocked, but
// nothing runs twice.
func (w *withdrawals) expire(now time.Duration) {
	for len(w.order) > 0 {
		if now-w.at[w.order[0]] < Retention && len(w.order) <= MaxWithdrawn {
			return
		}
		delete(w.at, w.order[0])
		w.order = w.order[1:]
	}
}
