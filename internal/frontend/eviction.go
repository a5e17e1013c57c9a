package frontend

import (
	"time"

	"topazfall/internal/metrics"
)

// The order of eviction for a new connection, when too many are open:
//
//  1. the oldest unproven connection whose last answer is written and that only lingers for that to arrive, or that is
//     between requests and has no unread data;
//  2. the oldest of the other unproven ones: a request has been arriving on it, for proveTimeout at most, and is
//     refused; if maxAnswering others are in this state, the new connection waits for one of them;
//  3. the proven connection that has been between requests for longest and has no unread data;
//  4. unproven connections that were just accepted, which 1 and 2 leave out (see isExpected), in the order of 1 and 2;
//  5. the new connection itself: on all others a request is being read or answered.
//
// A connection that another process hands over is always admitted: its client relies on it.

const (
	maxAnswering = 8 // evicted connections whose last request is still answered
	// answeringTimeout is the time for an evicted connection to be answered while a new one waits for its place.
	answeringTimeout = 250 * time.Millisecond
	// expectedWithin is the time from the accept of a connection until its first request is read: a client sends as
	// soon as it is connected.
	expectedWithin = 50 * time.Millisecond
	// expectedShare is the part of all connections that may be kept because a first request is expected on them.
	// Beyond that, clients that connect again and again would drive out proven connections.
	expectedShare = 4
)

// evictOne evicts the first connection in the order given above, and reports whether there is a place for a new one. A
// connection without a request is closed at once: a request that arrives after that is not read. l.mu must be held, and
// is released while evictOne waits.
func (l *listener) evictOne() bool {
	for deadline := time.Now().Add(answeringTimeout); ; {
		if l.closeFirst(l.unproven, l.isOverdue, metrics.CloseEvicted) {
			return true
		}
		arriving := l.oldestArriving()
		if arriving != nil && l.answering < maxAnswering {
			l.closeAfterAnswer(arriving)
			return true
		}
		if arriving == nil || !l.awaitAnswered(deadline) {
			return l.closeFirst(l.proven, (*conn).isUnused, metrics.CloseEvicted) || l.evictExpected()
		}
		if !l.isFull() {
			return true
		}
	}
}

// awaitAnswered waits until an evicted connection has been answered and closed. It reports false if none was by the
// deadline. l.mu must be held, and is released meanwhile.
func (l *listener) awaitAnswered(deadline time.Time) bool {
	answered := l.answered
	l.mu.Unlock()
	defer l.mu.Lock()
	timeout := time.NewTimer(time.Until(deadline))
	defer timeout.Stop()
	select {
	case <-answered:
		return true
	case <-timeout.C:
		return false
	}
}

// isExpected reports whether the first request of an unproven connection is probably on its way or just being read.
// l.mu must be held.
func (l *listener) isExpected(c *conn) bool {
	return !c.isLingering && time.Since(c.acceptedAt) < expectedWithin &&
		l.unproven.Len() <= l.maxConns/expectedShare
}

// evictExpected evicts an unproven connection that was just accepted, and reports whether there was one. l.mu must be
// held.
func (l *listener) evictExpected() bool {
	if l.closeFirst(l.unproven, (*conn).isExpendable, metrics.CloseEvicted) {
		return true
	}
	oldest := l.unproven.Front()
	if oldest == nil || l.answering >= maxAnswering {
		return false
	}
	l.closeAfterAnswer(oldest.Value.(*conn))
	return true
}

// isOverdue reports whether closing an unproven connection loses nothing, and probably never would. l.mu must be held.
func (l *listener) isOverdue(c *conn) bool { return c.isExpendable() && !l.isExpected(c) }

// oldestArriving returns the oldest unproven connection on which a request has begun to arrive, or nil. It is refused
// if the connection is evicted (see closeAfterAnswer). l.mu must be held.
func (l *listener) oldestArriving() *conn {
	for e := l.unproven.Front(); e != nil; e = e.Next() {
		if c := e.Value.(*conn); !l.isExpected(c) {
			return c
		}
	}
	return nil
}

// closeAfterAnswer evicts a connection on which a request has begun to arrive. Its reader may already hold the whole
// request, which would be lost without an answer. Reading therefore ends with the bytes received so far, and the
// connection's own goroutine closes it after it has answered the request, complete or not. l.mu must be held.
func (l *listener) closeAfterAnswer(c *conn) {
	reader, ok := c.Conn.(interface{ CloseRead() error })
	if !ok {
		l.closeNow(c, metrics.CloseEvictedMid)
		return
	}
	l.recordClose(c.Conn, metrics.CloseEvictedMid)
	l.remove(c)
	l.answering++
	c.closesAfterAnswer.Store(true)
	c.Conn.SetWriteDeadline(time.Now().Add(answeringTimeout)) // an earlier answer may be stuck
	reader.CloseRead()
}

// endAnswering records that an evicted connection has been answered and is closed. l.mu must be held.
func (l *listener) endAnswering() {
	l.answering--
	close(l.answered)
	l.answered = make(chan struct{})
}
