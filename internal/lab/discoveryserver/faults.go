package discoveryserver

import (
	"net"
	"time"

	"github.com/valyala/fasthttp"
)

// Fault is what is wrong with discovery.
type Fault int

// The faults.
const (
	NoFault      Fault = iota
	Unresponsive       // calls are taken and never answered
	Slow               // each answer takes SlowTime
	Unavailable        // calls are answered 503, with a Retry-After
	Overloaded         // nine calls in ten are refused
)

// SlowDelay is what an answer of a slow discovery takes: less than what a call waits for it.
const SlowDelay = time.Second

const (
	crowdedOneIn = 10 // calls of which one is answered
	retryAfter   = "10"
)

// SetFault lets the fault hold from the next call on. Calls that a silent discovery has not answered stay without an
// answer.
func (s *Server) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
	close(s.healed)
	s.healed = make(chan struct{})
}

// Calls is how many calls have come.
func (s *Server) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// hinder does to a call what the fault says, and tells whether that is all that becomes of it.
func (s *Server) hinder(ctx *fasthttp.RequestCtx) bool {
	s.mu.Lock()
	s.calls++
	fault, healed, number := s.fault, s.healed, s.calls
	s.mu.Unlock()
	switch {
	case fault == Unresponsive:
		<-healed
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(net.Conn) {})
		return true
	case fault == Slow:
		time.Sleep(SlowDelay)
	case fault == Unavailable, fault == Overloaded && number%crowdedOneIn != 0:
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		ctx.Response.Header.Set("Retry-After", retryAfter)
		return true
	}
	return false
}
