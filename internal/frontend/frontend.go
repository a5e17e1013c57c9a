// Package frontend is the client-facing HTTP server: it accepts messages (client requests), waits for the one final
// answer to each and writes it. Workers send their callbacks to the same address; these go to a CallbackHandler.
package frontend

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
	"unicode"

	"github.com/valyala/fasthttp"

	"topazfall"
	"topazfall/internal/decide/affinity"
	"topazfall/internal/dispatch"
	"topazfall/internal/exchange"
	"topazfall/internal/metrics"
)

const (
	maxBodyBytes          = 64 << 10
	maxHeaderBytes        = 16 << 10
	maxHeaderFields       = 100 // trailers included
	maxClientTimeout      = time.Hour
	readTimeout           = 10 * time.Second // for one request, from its first byte
	writeTimeout          = 10 * time.Second // for an answer that its client does not read
	idleTimeout           = 2 * time.Minute
	idleWorkerTimeout     = 250 * time.Millisecond // for a goroutine whose connection has ended to serve another one
	handoverRetryInterval = 20 * time.Millisecond  // between attempts to hand a message over
	closePollInterval     = 5 * time.Millisecond   // between checks whether all requests are answered
	answerLeadMicros      = 5000                   // by which an answer leaves before the client's deadline
)

// callbackPath is where hosts (workers) send their callbacks.
const callbackPath = "/v1/job-events"

// CallbackHandler processes the callbacks in which hosts (workers) report on jobs.
type CallbackHandler interface {
	// HandleCallback processes the body of one callback. handled is false when its message is not in flight in this
	// process; err says why the body cannot be parsed.
	HandleCallback(body []byte) (handled bool, err error)
}

// Options are the limits of a Server, and its metrics.
type Options struct {
	MaxConns      int   // open connections
	MaxMessages   int   // messages in flight, each with its connection; the other connections are for callbacks
	RequestMemory int64 // bytes for requests and results, beyond smallRequestBytes of each
	Metrics       *metrics.Metrics
}

// Server serves clients, and the workers' callbacks.
type Server struct {
	core             *dispatch.Core
	callbacks        CallbackHandler
	options          Options
	tables           atomic.Pointer[nameTables]
	httpServer       *fasthttp.Server
	listener         *listener
	inFlight         atomic.Int64
	maxInFlight      atomic.Int64
	ready            atomic.Bool
	draining         atomic.Bool
	forwardCallback  atomic.Pointer[func(body []byte) error]
	admitting        sync.RWMutex // read-locked while a message is admitted, so that StopAdmitting waits for it
	admissionStopped bool
	handingOver      atomic.Bool // connections go to another process and are not closed here
	faultLimiters    [metrics.InputFaultCount]rateLimiter
}

// nameTables resolve the names of classes and tenants in messages. They are never changed, only replaced.
type nameTables struct {
	classes map[string]int  // index by name
	runOnce map[string]bool // whether jobs of the class must not run twice, by name
	tenants map[string]int  // index by name
}

// ApplySettings applies the settings to messages that arrive from now on; indices has the number of each class and
// tenant.
func (s *Server) ApplySettings(settings *topazfall.Settings, indices dispatch.Indices) {
	t := &nameTables{classes: map[string]int{}, runOnce: map[string]bool{}, tenants: map[string]int{}}
	for _, c := range settings.Classes {
		t.classes[c.Name], t.runOnce[c.Name] = indices.Classes[c.Name], c.Repeat == topazfall.Unsafe
	}
	for _, r := range settings.Tenants {
		t.tenants[r.Name] = indices.Tenants[r.Name]
	}
	s.tables.Store(t)
}

// New returns a server for the connections of ln, which passes messages to core and callbacks to callbacks.
func New(ln net.Listener, core *dispatch.Core, callbacks CallbackHandler, settings *topazfall.Settings,
	options Options) *Server {
	s := &Server{core: core, callbacks: callbacks, options: options,
		listener: newListener(ln, options.MaxConns, options.RequestMemory, options.Metrics)}
	s.maxInFlight.Store(int64(options.MaxMessages))
	s.ApplySettings(settings, dispatch.NewIndices(settings))
	s.httpServer = &fasthttp.Server{
		Handler: s.handle, ErrorHandler: s.handleReadError, Logger: httpLogger{},
		// The listener limits the connections. Concurrency is higher, as one that it closes takes a moment to end.
		Concurrency: 2*options.MaxConns + 16, ReduceMemoryUsage: true, MaxRequestBodySize: maxBodyBytes,
		ReadBufferSize: maxHeaderBytes, MaxIdleWorkerDuration: idleWorkerTimeout,
		ReadTimeout: readTimeout, WriteTimeout: writeTimeout, IdleTimeout: idleTimeout, CloseOnShutdown: true,
		// Requests are forwarded to workers unchanged.
		DisableHeaderNamesNormalizing: true, DisablePreParseMultipartForm: true,
		ConnState: trackRequestConn, NoDefaultServerHeader: true, NoDefaultContentType: true, NoDefaultDate: true,
	}
	return s
}

// Serve serves until Close is called.
func (s *Server) Serve() error { return s.httpServer.Serve(s.listener) }

// SetReady makes /ready answer 200.
func (s *Server) SetReady() { s.ready.Store(true) }

// StartDrain makes every further answer to a message the last on its connection, and /ready answer 503. Requests are
// still served.
func (s *Server) StartDrain() { s.draining.Store(true) }

// IsReady reports whether the server is ready for clients and not draining.
func (s *Server) IsReady() bool { return s.ready.Load() && !s.draining.Load() }

// SetLimits changes the limits to those in options.
func (s *Server) SetLimits(options Options) {
	s.maxInFlight.Store(int64(options.MaxMessages))
	s.listener.setLimits(options.MaxConns, options.RequestMemory)
}

// SetCallbackForwarder sets where callbacks go whose message is not in flight here. An error of forward means that the
// callback could not be delivered.
func (s *Server) SetCallbackForwarder(forward func(body []byte) error) {
	s.forwardCallback.Store(&forward)
}

// OpenConns returns the number of open connections.
func (s *Server) OpenConns() int { return s.listener.openCount() }

// BusyConns returns the number of open connections that have begun a request.
func (s *Server) BusyConns() int { return s.listener.busyCount() }

// RequestMemory returns the memory that larger requests and results take up by estimate, in bytes.
func (s *Server) RequestMemory() int64 {
	return s.listener.requestMemory.Used() + s.listener.resultMemory.Used()
}

// PauseAccepting leaves accepting to another process on the same socket, and closes unproven connections while more
// than maxConns are open.
func (s *Server) PauseAccepting(maxConns int) {
	s.listener.pause()
	s.listener.closeUnproven(maxConns)
}

// ResumeAccepting accepts connections again.
func (s *Server) ResumeAccepting() { s.listener.resume() }

// StartHandover hands every connection to another process as soon as it is between requests or its message can be
// handed over. New requests are left to that process; one that has begun to arrive is still admitted here.
func (s *Server) StartHandover(handOver func(HandoverConn) error) {
	s.handingOver.Store(true)
	s.admitting.Lock()
	s.admissionStopped = false
	s.admitting.Unlock()
	s.draining.Store(true)
	s.listener.startHandover(handOver)
}

// StopHandover ends the handover; the remaining connections stay here.
func (s *Server) StopHandover() {
	s.handingOver.Store(false)
	s.listener.stopHandover()
}

// AdoptConn serves a connection that another process has handed over between two requests.
func (s *Server) AdoptConn(nc net.Conn, proven, isClient bool) {
	s.httpServer.ServeConn(newRequestConn(s.listener.adopt(nc, HandoverConn{Proven: proven, Client: isClient})))
}

// StopAdmitting refuses further messages before any work is done for them, and closes the connections of idle clients.
// Callbacks are served as before. When it returns, every message admitted before is counted as in flight.
func (s *Server) StopAdmitting() {
	s.admitting.Lock()
	s.admissionStopped = true
	s.admitting.Unlock()
	s.listener.closeIdle()
}

// Close stops listening, closes idle connections and waits for the busy ones. Connections that the system has accepted
// and that are still queued would be reset by closing the listener, and are served first.
func (s *Server) Close(ctx context.Context) error {
	served := make(chan struct{})
	go func() {
		defer close(served)
		var queued sync.WaitGroup
		for _, c := range s.listener.acceptQueued() {
			queued.Go(func() { s.httpServer.ServeConn(newRequestConn(c)) })
		}
		queued.Wait()
	}()
	select {
	case <-served:
	case <-ctx.Done():
	}
	// The HTTP server closes connections on which a request is arriving, so that those are answered first.
	s.listener.stopRequests()
	for s.listener.busyCount() > 0 && ctx.Err() == nil {
		time.Sleep(closePollInterval)
	}
	return s.httpServer.ShutdownWithContext(ctx)
}

// handle serves one request.
func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	c := ctx.Conn().(*requestConn).conn
	fields, fault := checkFraming(&ctx.Request, c.bytesRead)
	if c.isPipelined {
		fault = "more than one message at a time"
	}
	if fault != "" {
		s.reject(ctx, metrics.FaultFraming, fasthttp.StatusBadRequest, fault)
		return
	}
	switch path := string(ctx.Request.URI().PathOriginal()); path {
	case "/api":
		if s.checkMethod(ctx, fasthttp.MethodPost) {
			s.serveMessage(ctx, c, fields)
		}
		if s.draining.Load() && !s.handingOver.Load() {
			ctx.SetConnectionClose()
		}
	case callbackPath:
		if !s.checkMethod(ctx, fasthttp.MethodPost) {
			return
		}
		handled, err := s.callbacks.HandleCallback(ctx.Request.Body())
		if err != nil {
			if faultLogLimiter.allow() {
				slog.Warn("callback", "error", err)
			}
			s.reject(ctx, metrics.FaultCallback, fasthttp.StatusBadRequest, "unreadable call-back")
			return
		}
		isAdmitted := c.markProven(false)
		if forward := s.forwardCallback.Load(); !handled && forward != nil {
			// The worker sends it again. The other process may answer late, and an evicted connection is in the way.
			if !isAdmitted || (*forward)(ctx.Request.Body()) != nil {
				writeText(ctx, fasthttp.StatusServiceUnavailable, "not taken")
			}
		}
	case "/ready":
		if !s.checkMethod(ctx, fasthttp.MethodGet) {
			return
		}
		if !s.IsReady() {
			writeText(ctx, fasthttp.StatusServiceUnavailable, "not ready")
		}
	default:
		s.reject(ctx, metrics.FaultPath, fasthttp.StatusNotFound, "no such path")
	}
}

// checkMethod reports whether the request has the method that its path needs, and rejects it otherwise.
func (s *Server) checkMethod(ctx *fasthttp.RequestCtx, want string) bool {
	if got := string(ctx.Method()); got == want || got == fasthttp.MethodHead && want == fasthttp.MethodGet {
		return true
	}
	ctx.Response.Header.Set("Allow", want)
	s.reject(ctx, metrics.FaultMethod, fasthttp.StatusMethodNotAllowed, "only "+want+" here")
	return false
}

// httpLogger writes the log lines of the HTTP server in the format of the program's log.
type httpLogger struct{}

// Printf logs a line of the HTTP server. The line may quote anything that a client has sent, and is cut to 200 bytes.
func (httpLogger) Printf(format string, args ...any) {
	if faultLogLimiter.allow() {
		text := fmt.Sprintf(format, args...)
		slog.Info("http", "text", text[:min(len(text), 200)])
	}
}

// writeText sets a plain text response.
func writeText(ctx *fasthttp.RequestCtx, status int, text string) {
	ctx.SetStatusCode(status)
	ctx.SetContentType("text/plain")
	ctx.SetBodyString(text + "\n")
}

// reject answers a faulty request and ends its connection: the sender may send more faulty requests, and the bytes that
// follow must not be taken for a request.
func (s *Server) reject(ctx *fasthttp.RequestCtx, fault metrics.InputFault, status int, text string) {
	s.recordFault(ctx, fault, "", text)
	writeText(ctx, status, text)
	closeAfterError(ctx)
}

// closeAfterError makes the response of ctx, an error, the last one on its connection.
func closeAfterError(ctx *fasthttp.RequestCtx) {
	ctx.SetConnectionClose()
	if c, ok := ctx.Conn().(*requestConn); ok {
		c.lingerOnClose.Store(true)
	}
}

// recordFault counts and logs a request that is not processed. id is "" if it is not known.
func (s *Server) recordFault(ctx *fasthttp.RequestCtx, fault metrics.InputFault, id, text string) {
	s.options.Metrics.CountInputFault(fault)
	if s.faultLimiters[fault].allow() {
		slog.Info("reject", "reason", fault.String(), "id", id, "from", ctx.RemoteAddr().String(), "text", text)
	}
}

// handleReadError answers a request that could not be read, because it is malformed, too large or too slow.
func (s *Server) handleReadError(ctx *fasthttp.RequestCtx, err error) {
	var smallBuffer *fasthttp.ErrSmallBuffer
	var network net.Error
	switch {
	case errors.Is(err, errNoMemory):
		s.reject(ctx, metrics.FaultNoMemory, fasthttp.StatusServiceUnavailable, "not taken")
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		s.reject(ctx, metrics.FaultBodySize, fasthttp.StatusRequestEntityTooLarge, "the body is over 64 KiB")
	case errors.Is(err, errTooManyFields):
		s.reject(ctx, metrics.FaultHeaderSize, fasthttp.StatusRequestHeaderFieldsTooLarge, "over 100 header fields")
	case errors.As(err, &smallBuffer), errors.Is(err, errHeaderTooLarge):
		s.reject(ctx, metrics.FaultHeaderSize, fasthttp.StatusRequestHeaderFieldsTooLarge, "the header is over 16 KiB")
	case errors.As(err, &network) && network.Timeout():
		s.reject(ctx, metrics.FaultSlow, fasthttp.StatusRequestTimeout, "the request took too long to come")
	default:
		s.reject(ctx, metrics.FaultMalformed, fasthttp.StatusBadRequest, "malformed request")
	}
}

// decline answers a message that is not admitted, and ends its connection.
func (s *Server) decline(ctx *fasthttp.RequestCtx, fault metrics.InputFault, m *exchange.Message) {
	s.options.Metrics.CountJob(m.Class, metrics.Declined)
	s.recordFault(ctx, fault, m.ID, "not taken")
	ctx.SetConnectionClose()
	writeText(ctx, fasthttp.StatusServiceUnavailable, "not taken")
}

// serveMessage admits one message and writes its final answer.
func (s *Server) serveMessage(ctx *fasthttp.RequestCtx, c *conn, fields []exchange.HeaderField) {
	m, fault := s.parseMessage(&ctx.Request, fields, s.core.FromTime(c.firstByteAt))
	if fault != "" {
		s.recordFault(ctx, metrics.FaultMessage, m.ID, fault)
		writeText(ctx, fasthttp.StatusBadRequest, fault)
		closeAfterError(ctx)
		return
	}
	// The server has a copy of the header, which is not needed any more while the message waits.
	ctx.Request.Header = fasthttp.RequestHeader{}
	c.presence = &presence{conn: c.Conn}
	disconnected := c.presence.Disconnected() // the message may have been in the socket for long
	if !c.markProven(true) {                  // evicted meanwhile: the message is not processed
		s.decline(ctx, metrics.FaultEvicted, &m)
		return
	}
	if disconnected {
		s.options.Metrics.CountInputFault(metrics.FaultDisconnected)
		slog.Info("gone", "id", m.ID)
		ctx.SetConnectionClose()
		writeText(ctx, fasthttp.StatusBadGateway, "failed")
		return
	}
	defer s.inFlight.Add(-1)
	// The connections beyond the clients' share are reserved for callbacks of workers: without a connection for its
	// callback, an answer is lost.
	x := s.admit(exchange.NewForClient(c.presence, m))
	if x == nil {
		s.decline(ctx, metrics.FaultNotAdmitted, &m)
		return
	}
	if !s.awaitAnswer(ctx, c, x, false) { // handed over: the other process writes the answer
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(net.Conn) {})
	}
}

// admit submits a message to the core. It returns nil if admission has stopped or too many messages are in flight.
func (s *Server) admit(x *exchange.Exchange) *exchange.Exchange {
	s.admitting.RLock()
	defer s.admitting.RUnlock()
	if s.inFlight.Add(1) > s.maxInFlight.Load() || s.admissionStopped {
		return nil
	}
	s.core.Submit(x)
	return x
}

// awaitAnswer waits for the final answer to a message and writes it to ctx. It returns false if there is none because
// the message and its connection were handed over to another process.
func (s *Server) awaitAnswer(ctx *fasthttp.RequestCtx, c *conn, x *exchange.Exchange, hasMore bool) bool {
	disconnected, handoverStarted, retry := c.watchClient(), s.listener.handoverSignal(), (<-chan time.Time)(nil)
	for answered := false; !answered; {
		select {
		case a := <-x.Answer():
			s.writeAnswer(ctx, x, a, c.firstByteAt)
			answered = true
			continue
		case <-disconnected:
			// A client that has closed only its sending direction still gets an answer. Without one it would get an
			// empty 200, which it would take for a result although no worker has produced it.
			s.core.ClientDisconnected(x)
			slog.Info("gone", "id", x.ID)
			ctx.SetConnectionClose()
			s.writeAnswer(ctx, x, <-x.Answer(), c.firstByteAt)
			answered = true
			continue
		case <-handoverStarted:
		case <-retry:
		}
		hasMore = c.stopWatching() || hasMore
		if s.tryHandOver(c, x, hasMore) {
			return false
		}
		// Either the worker has not answered the attempt yet, or the final answer is here. The next round decides.
		disconnected, handoverStarted, retry = c.watchClient(), nil, time.After(handoverRetryInterval)
	}
	// This client does not wait for answers, and what it has sent ahead was discarded.
	if hasMore = c.stopWatching() || hasMore; c.presence.stopDiscarding() || hasMore {
		ctx.SetConnectionClose()
		c.lingerOnClose.Store(true)
	}
	return true
}

// tryHandOver hands the message and its connection over to another process, and reports whether it did. It does nothing
// if no handover is under way or the core cannot release the message yet.
func (s *Server) tryHandOver(c *conn, x *exchange.Exchange, hasMore bool) bool {
	handOver, syscallConn := s.listener.handOver.Load(), c.syscallConn()
	return handOver != nil && syscallConn != nil && s.core.HandOver(x, func(b dispatch.InFlightMessage) error {
		hasMore = c.presence.stopDiscarding() || hasMore
		err := (*handOver)(HandoverConn{Conn: syscallConn, Proven: true, Client: true, Begun: &b, More: hasMore})
		if err != nil {
			c.presence.resumeDiscarding()
		}
		return err
	})
}

// ResumeMessage takes over a message that was in flight in another process, and its connection nc.
func (s *Server) ResumeMessage(nc net.Conn, begun dispatch.InFlightMessage, hasMore bool) {
	p := &presence{conn: nc}
	x := s.core.Resume(begun, p) // synchronously: the next frame on the link may refer to it
	go func() {
		c := s.listener.adopt(nc, HandoverConn{Proven: true, Client: true, Begun: &begun})
		c.presence = p
		c.firstByteAt = s.core.ToTime(x.Arrived)
		s.inFlight.Add(1)
		defer s.inFlight.Add(-1)
		c.requestMemory.Add(requestCost(messageSize(&x.Message)))
		served := newRequestConn(c)
		var ctx fasthttp.RequestCtx
		ctx.Init2(served, httpLogger{}, true)
		ctx.Response.Header.SetNoDefaultContentType(true)
		if !s.awaitAnswer(&ctx, c, x, hasMore) {
			c.Close()
			return
		}
		c.SetWriteDeadline(time.Now().Add(writeTimeout))
		w := bufio.NewWriter(c)
		err := ctx.Response.Write(w)
		if err == nil {
			err = w.Flush()
		}
		if err != nil || ctx.Response.ConnectionClose() {
			c.Close()
			return
		}
		trackState(c, fasthttp.StateIdle)
		s.httpServer.ServeConn(served)
	}()
}

// messageSize returns about the size of the request that a message came in.
func messageSize(m *exchange.Message) (size int) {
	for _, f := range m.Fields {
		size += len(f.Name) + len(f.Value) + len(": \r\n")
	}
	return size + len(m.Path) + len(m.Body)
}

// trackRequestConn records the HTTP server's state changes of a connection.
func trackRequestConn(nc net.Conn, state fasthttp.ConnState) {
	if r, ok := nc.(*requestConn); ok {
		trackState(r.conn, state)
	}
}

// writeAnswer writes the final answer to a message to ctx and logs it. arrived is when the message's first byte came.
func (s *Server) writeAnswer(ctx *fasthttp.RequestCtx, x *exchange.Exchange, a exchange.Answer, arrived time.Time) {
	switch a.Result {
	case exchange.Served:
		ctx.Response.SetBodyRaw(a.Body)
		ctx.Conn().(*requestConn).resultMemory.Add(answerCost(len(a.Body)))
	case exchange.Refused:
		if a.RetryAfter > 0 {
			ctx.Response.Header.Set("Retry-After", strconv.FormatFloat(float64(a.RetryAfter)/1e6, 'f', 3, 64))
		}
		writeText(ctx, fasthttp.StatusServiceUnavailable, "refused")
	case exchange.Failed:
		writeText(ctx, fasthttp.StatusBadGateway, "failed")
	case exchange.TimedOut:
		writeText(ctx, fasthttp.StatusGatewayTimeout, "timed out")
	case exchange.Duplicate: // duplicates can arrive at any rate
		writeText(ctx, fasthttp.StatusConflict, "a message with this id is in hand")
		closeAfterError(ctx)
		s.options.Metrics.CountInputFault(metrics.FaultDuplicate)
		if !s.faultLimiters[metrics.FaultDuplicate].allow() {
			return
		}
	}
	attributes := []slog.Attr{slog.String("id", x.ID), slog.Int("class", x.Class),
		slog.Int("tenant", x.Tenant), slog.Int("status", ctx.Response.StatusCode()),
		slog.Int64("after_us", a.RetryAfter), slog.Int64("took_us", time.Since(arrived).Microseconds()),
		slog.Int64("hint_us", x.Hint)}
	if a.Reason != "" {
		attributes = append(attributes, slog.String("reason", a.Reason))
	}
	slog.LogAttrs(context.Background(), slog.LevelInfo, "answer", attributes...)
}

// parseMessage copies a message out of a request with the given header fields; fault says what is wrong with it.
// arrived is when the first byte came: the client has waited since before that, so that a body that arrives slowly uses
// up the client's timeout.
func (s *Server) parseMessage(r *fasthttp.Request, fields []exchange.HeaderField, arrived int64) (
	m exchange.Message, fault string) {
	m = exchange.Message{Method: string(r.Header.Method()), Path: string(r.Header.RequestURI()), Fields: fields,
		Arrived: arrived, Class: -1, Tenant: -1, Slots: 1, Body: r.SwapBody(nil)}
	wait, names := time.Duration(-1), s.tables.Load()
	for _, f := range fields {
		switch exchange.Lower(f.Name) {
		case "x-request-id":
			if m.ID != "" { // the worker might use the other one
				return m, "X-Request-ID is given twice"
			}
			m.ID = f.Value
		case "x-priority-class":
			if i, ok := names.classes[f.Value]; ok {
				m.Class, m.Once = i, names.runOnce[f.Value]
			}
		case "x-tenant-id":
			if i, ok := names.tenants[f.Value]; ok {
				m.Tenant = i
			}
		case "x-timeout-ms":
			if ms, err := strconv.ParseUint(f.Value, 10, 32); err == nil &&
				int64(ms) <= maxClientTimeout.Milliseconds() {
				wait = time.Duration(ms) * time.Millisecond
			}
		case "x-retried":
			m.Retry = f.Value == "1"
		case "x-cost":
			if us, err := strconv.ParseFloat(f.Value, 64); err == nil && us > 0 && us < 1e12 {
				m.Hint = int64(us)
			}
		case "cookie":
			m.Key = cookieKey(f.Value)
		case "x-attrs":
			m.Slots = parseSlots(f.Value)
		}
	}
	switch {
	case !isPlainID(m.ID):
		return m, "X-Request-ID is missing or unusable"
	case m.Class < 0:
		return m, "X-Priority-Class is missing or unknown"
	case m.Tenant < 0 && len(names.tenants) > 0:
		return m, "X-Tenant-Id is missing or unknown"
	case wait <= 0:
		return m, "X-Timeout-Ms is missing or out of range"
	}
	// The answer takes time to reach the client. The lead is at most a tenth of the client's timeout.
	m.Due = m.Arrived + max(wait.Microseconds()-answerLeadMicros, wait.Microseconds()*9/10)
	return m, ""
}

// cookieKey returns the affinity key of the cookie named "key", or 0 if there is none. A header may have thousands of
// cookies, so those of other names are passed over without looking at each.
func cookieKey(cookies string) uint64 {
	const assignment = "key="
	for rest := cookies; ; {
		before, after, found := strings.Cut(rest, assignment)
		if !found {
			return 0
		}
		isName := strings.HasSuffix(strings.TrimRightFunc(before, unicode.IsSpace), ";") ||
			len(rest) == len(cookies) && strings.TrimSpace(before) == ""
		if isName {
			value, _, _ := strings.Cut(after, ";")
			if value = strings.TrimRightFunc(value, unicode.IsSpace); value != "" {
				return affinity.HashKey(value)
			}
		}
		rest = after
	}
}

// isPlainID reports whether an id can be used in a path without escaping.
func isPlainID(id string) bool {
	for _, c := range []byte(id) {
		if c <= ' ' || c >= 0x7f || c == '/' || c == '?' || c == '#' || c == '%' {
			return false
		}
	}
	return id != "" && id != "." && id != ".." && len(id) <= 256
}

// parseSlots returns the number of slots that a job takes by its attributes, 1 if they do not say.
func parseSlots(attrs string) float64 {
	for pair := range strings.SplitSeq(attrs, ",") {
		if name, value, _ := strings.Cut(strings.TrimSpace(pair), "="); name == "slots" {
			if v, err := strconv.ParseFloat(value, 64); err == nil && v > 0 && v < 1e6 {
				return v
			}
		}
	}
	return 1
}
