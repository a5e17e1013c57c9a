package discoveryserver

import (
	"net"
	"time"

	"github.com/valyala/fasthttp"
)

// Fault is the way in which the server fails.
type Fault int

// The faults.
const (
	NoFault      Fault = iota
	Unresponsive       // calls are accepted and never answered
	Slow               // each answer is delayed by SlowDelay
	Unavailable        // calls are answered 503, with a Retry-After
	Overloaded         // nine calls in ten are answered 503
)

// SlowDelay is the delay of an answer under the fault Slow: shorter than a caller's timeout.
const SlowDelay = time.Second

const (
	overloadedAnswerEvery = 10   // an overloaded server answers every tenth call
	retryAfter            = "10" // seconds
)

// SetFault sets the fault for all later calls. Calls that an unresponsive server holds back are closed without an
// answer.
func (s *Server) SetFault(fault Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
	close(s.faultCleared)
	s.faultCleared = make(chan struct{})
}

// Calls returns how many calls the server has received.
func (s *Server) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.callCount
}

// applyFault applies the current fault to a call, and reports whether the call has been dealt with.
func (s *Server) applyFault(ctx *fasthttp.RequestCtx) bool {
	s.mu.Lock()
	s.callCount++
	fault, faultCleared, number := s.fault, s.faultCleared, s.callCount
	s.mu.Unlock()
	switch {
	case fault == Unresponsive:
		<-faultCleared
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(net.Conn) {})
		return true
	case fault == Slow:
		time.Sleep(SlowDelay)
	case fault == Unavailable, fault == Overloaded && number%overloadedAnswerEvery != 0:
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		ctx.Response.Header.Set("Retry-After", retryAfter)
		return true
	}
	return false
}
