package ledger

import "time"

// maxExpiredPerCommand is the maximum number of records that expire in one command.
const maxExpiredPerCommand = 64

// recordQueue holds the records in the order of their Begins. It may contain records that were
// removed from the ledger.
type recordQueue struct {
	first   uint64
	records []*Record
}

func (q *recordQueue) push(r *Record) {
	r.queueSeq = q.end()
	q.records = append(q.records, r)
}

func (q *recordQueue) pop() {
	q.records[0] = nil
	q.records = q.records[1:]
	q.first++
}

func (q *recordQueue) end() uint64 { return q.first + uint64(len(q.records)) }

func (q *recordQueue) at(seq uint64) *Record { return q.records[seq-q.first] }

// minCompactRecords is the length below which a queue is not compacted.
const minCompactRecords = 1024

// compact drops the removed records from the queue once they are the majority. It renumbers the
// positions of the records; only the order of the positions matters.
func (l *Ledger) compact() {
	if len(l.queue.records) < minCompactRecords || len(l.queue.records) < 2*len(l.records) {
		return
	}
	var compacted recordQueue
	for _, r := range l.queue.records {
		if !r.removed {
			compacted.push(r)
		}
	}
	l.queue = compacted
	l.oldestAnswer = 0
}

// expire removes the records that are older than Retention, and the oldest ones while there are
// more than MaxRecords.
func (l *Ledger) expire(now time.Duration) {
	l.withdrawn.expire(now)
	for done := 0; done < maxExpiredPerCommand && len(l.queue.records) > 0; {
		r := l.queue.at(l.queue.first)
		if !r.removed && now-r.At < Retention && len(l.records) <= MaxRecords {
			return
		}
		l.queue.pop()
		if !r.removed {
			l.expireRecord(r)
			done++
		}
	}
}

// expireRecord removes an expired record and marks its key as used.
func (l *Ledger) expireRecord(r *Record) {
	delete(l.records, r.Key)
	l.answerBytes -= len(r.Answer.Body)
	l.expired.add(*r)
}

// accountAnswer adds the answer of a record that has just finished to the total size. While the
// total exceeds MaxAnswersBytes, it drops the bodies of the oldest records.
func (l *Ledger) accountAnswer(r *Record) {
	l.answerBytes += len(r.Answer.Body)
	l.oldestAnswer = max(min(l.oldestAnswer, r.queueSeq), l.queue.first)
	for l.answerBytes > MaxAnswersBytes && l.oldestAnswer < l.queue.end() {
		oldest := l.queue.at(l.oldestAnswer)
		l.oldestAnswer++
		if oldest.removed || len(oldest.Answer.Body) == 0 {
			continue
		}
		l.answerBytes -= len(oldest.Answer.Body)
		oldest.Answer.Body = nil
		oldest.Answer.Dropped = true
	}
}

// withdrawals stores the abandoned attempts.
type withdrawals struct {
	// abandonedAt is the replicated time at which each attempt was abandoned.
	abandonedAt map[string]time.Duration
	// order lists the attempts, oldest first.
	order []string
}

func newWithdrawals() withdrawals {
	return withdrawals{abandonedAt: make(map[string]time.Duration)}
}

func (w *withdrawals) has(attempt string) bool {
	_, ok := w.abandonedAt[attempt]
	return ok
}

func (w *withdrawals) add(attempt string, now time.Duration) {
	if w.has(attempt) {
		return
	}
	w.abandonedAt[attempt] = now
	w.order = append(w.order, attempt)
}

// expire removes withdrawals after Retention, and the oldest ones while there are more than
// MaxWithdrawn. If the Begin of such an attempt arrives after that, the attempt is granted, but no
// instance dispatches the request: the key is blocked, but nothing runs twice.
func (w *withdrawals) expire(now time.Duration) {
	for len(w.order) > 0 {
		if now-w.abandonedAt[w.order[0]] < Retention && len(w.order) <= MaxWithdrawn {
			return
		}
		delete(w.abandonedAt, w.order[0])
		w.order = w.order[1:]
	}
}
