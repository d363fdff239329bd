package ledger

import "time"

// maxExpiredPerCommand bounds the records that one command forgets.
const maxExpiredPerCommand = 64

// queue holds keys in the order of their Begins. A place may be empty when its key was freed
// or begun anew.
type queue struct {
	first uint64
	keys  []Key
}

func (q *queue) push(k Key) uint64 {
	q.keys = append(q.keys, k)
	return q.first + uint64(len(q.keys)) - 1
}

func (q *queue) pop() {
	q.keys[0] = Key{}
	q.keys = q.keys[1:]
	q.first++
}

func (q *queue) end() uint64 { return q.first + uint64(len(q.keys)) }

// minCompactKeys keeps short queues from being compacted.
const minCompactKeys = 1024

// compact removes the empty places once they are the most. Places are numbered anew, which
// shows nowhere, since only their order matters.
func (l *Ledger) compact() {
	if len(l.order.keys) < minCompactKeys || len(l.order.keys) < 2*len(l.records) {
		return
	}
	var fresh queue
	for seq := l.order.first; seq < l.order.end(); seq++ {
		if r, ok := l.at(seq); ok {
			r.seq = fresh.push(r.Key)
			l.records[r.Key] = r
		}
	}
	l.order = fresh
	l.answerFrom = 0
}

// at returns the record at a place of the queue, or false when the place is empty.
func (l *Ledger) at(seq uint64) (Record, bool) {
	r, ok := l.records[l.order.keys[seq-l.order.first]]
	return r, ok && r.seq == seq
}

// expire forgets the records whose time is over, and the oldest above MaxRecords.
func (l *Ledger) expire(now time.Duration) {
	l.withdrawn.expire(now)
	for done := 0; done < maxExpiredPerCommand && len(l.order.keys) > 0; {
		r, ok := l.at(l.order.first)
		if ok && now-r.At < Retention && len(l.records) <= MaxRecords {
			return
		}
		l.order.pop()
		if ok {
			l.forget(r)
			done++
		}
	}
}

func (l *Ledger) forget(r Record) {
	delete(l.records, r.Key)
	l.answerBytes -= len(r.Answer.Body)
	l.forgotten.add(r)
}

// keepAnswer counts the answer of a record that has just finished and drops the bodies of
// the oldest records while there are too many bytes of them.
func (l *Ledger) keepAnswer(r Record) {
	l.answerBytes += len(r.Answer.Body)
	l.answerFrom = max(min(l.answerFrom, r.seq), l.order.first)
	for l.answerBytes > MaxAnswersBytes && l.answerFrom < l.order.end() {
		old, ok := l.at(l.answerFrom)
		l.answerFrom++
		if !ok || len(old.Answer.Body) == 0 {
			continue
		}
		l.answerBytes -= len(old.Answer.Body)
		old.Answer.Body = nil
		old.Answer.Dropped = true
		l.records[old.Key] = old
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
