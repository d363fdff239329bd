package ledger

import "time"

// maxExpiredPerCommand bounds the records that one command forgets.
const maxExpiredPerCommand = 64

// queue holds records in the order of their Begins, those that were freed among them.
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

// minCompact keeps short queues from being compacted.
const minCompact = 1024

// compact removes the freed records once they are the most. Places are numbered anew, which
// shows nowhere, since only their order matters.
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

// expire forgets the records whose time is over, and the oldest above MaxRecords.
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

func (l *Ledger) forget(r *Record) {
	delete(l.records, r.Key)
	l.answerBytes -= len(r.Answer.Body)
	l.forgotten.add(*r)
}

// keepAnswer counts the answer of a record that has just finished and drops the bodies of
// the oldest records while there are too many bytes of them.
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

// withdrawals are the attempts that were abandoned, oldest first.
type withdrawals struct {
	at    map[string]time.Duration
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

// expire forgets withdrawals after Retention, and the oldest above MaxWithdrawn. A Begin that
// arrives even later holds its key without dispatching, which loses nothing but the key.
func (w *withdrawals) expire(now time.Duration) {
	for len(w.order) > 0 {
		if now-w.at[w.order[0]] < Retention && len(w.order) <= MaxWithdrawn {
			return
		}
		delete(w.at, w.order[0])
		w.order = w.order[1:]
	}
}
