// Package frontend is the client-facing HTTP server: it accepts requests, waits for the one final answer to each and
// writes it. Workers send their callbacks to the same address; they are passed on to the upstream side.
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

	"github.com/valyala/fasthttp"

	"topazfall"
	"topazfall/internal/decide/affinity"
	"topazfall/internal/dispatch"
	"topazfall/internal/exchange"
	"topazfall/internal/metrics"
)

const (
	largestBody   = 64 << 10
	largestHeader = 16 << 10
	longestWait   = time.Hour
	readTime      = 10 * time.Second // for one message, from its first byte
	writeTime     = 10 * time.Second // for an answer that its client does not read
	idleTime      = 2 * time.Minute
	moveTime      = 20 * time.Millisecond // between tries to hand a message over
	lead          = 5000                  // microseconds by which an answer leaves before the client's own deadline
)

// CallBacks takes what hosts tell of jobs.
type CallBacks interface {
	CallBack(body []byte) (taken bool, err error)
}

// Options bound what the north side uses.
type Options struct {
	Conns    int // connections at a time
	Messages int // messages in hand, each with its connection; the rest are for call-backs
	Large    int // requests of more than 16 KiB that are read or in hand
	Metrics  *metrics.Metrics
}

// Side is the north side.
type Side struct {
	core    *dispatch.Core
	back    CallBacks
	o       Options
	tables  atomic.Pointer[tables]
	server  *fasthttp.Server
	ln      *listener
	inHand  atomic.Int64
	most    atomic.Int64 // of inHand
	ready   atomic.Bool
	leaving atomic.Bool
	others  atomic.Pointer[func(body []byte) error]
	taking  sync.RWMutex // held while a message is taken, so that Shut returns when all that were are counted
	shut    bool
	passing atomic.Bool // connections go to another process, and are not closed
}

// tables say what the names in messages mean. They are never changed, only replaced.
type tables struct {
	classes map[string]int  // the index of each
	once    map[string]bool // the classes that must not run twice
	tenants map[string]int
}

// Renew makes the settings hold for messages that come from now on; are has the number of each class and tenant.
func (n *Side) Renew(s *topazfall.Settings, are dispatch.Indices) {
	t := &tables{classes: map[string]int{}, once: map[string]bool{}, tenants: map[string]int{}}
	for _, c := range s.Classes {
		t.classes[c.Name], t.once[c.Name] = are.Classes[c.Name], c.Repeat == topazfall.Unsafe
	}
	for _, r := range s.Tenants {
		t.tenants[r.Name] = are.Tenants[r.Name]
	}
	n.tables.Store(t)
}

// New returns a north side that serves what comes in on ln: messages go to core and call-backs to back.
func New(ln net.Listener, core *dispatch.Core, back CallBacks, s *topazfall.Settings, o Options) *Side {
	n := &Side{core: core, back: back, o: o, ln: listen(ln, o.Conns, o.Large)}
	n.most.Store(int64(o.Messages))
	n.Renew(s, dispatch.IndicesOf(s))
	n.server = &fasthttp.Server{
		Handler: n.handle, ErrorHandler: malformed, Logger: logger{},
		// The listener bounds the connections; one that it drops may take a moment to end.
		Concurrency: 2*o.Conns + 16, ReduceMemoryUsage: true, MaxRequestBodySize: largestBody,
		ReadBufferSize: largestHeader,
		ReadTimeout:    readTime, WriteTimeout: writeTime, IdleTimeout: idleTime, CloseOnShutdown: true,
		// What goes on to a host goes on as it came.
		DisableHeaderNamesNormalizing: true, DisablePreParseMultipartForm: true,
		ConnState: track, NoDefaultServerHeader: true, NoDefaultContentType: true, NoDefaultDate: true,
	}
	return n
}

// Serve serves until Close.
func (n *Side) Serve() error { return n.server.Serve(n.ln) }

// SetReady makes /ready answer 200.
func (n *Side) SetReady() { n.ready.Store(true) }

// Leave makes every further answer the last on its connection. All that comes is still served.
func (n *Side) Leave() { n.leaving.Store(true) }

// Ready tells whether clients are taken.
func (n *Side) Ready() bool { return n.ready.Load() && !n.leaving.Load() }

// SetBounds changes the bounds of the options.
func (n *Side) SetBounds(o Options) {
	n.most.Store(int64(o.Messages))
	n.ln.bound(o.Conns, o.Large)
}

// Others sets whom a call-back goes to whose message is not in hand here. An error says that it could not be told.
func (n *Side) Others(tell func(body []byte) error) { n.others.Store(&tell) }

// Conns is the number of open connections, Busy that of those which have begun a request.
func (n *Side) Conns() int { return n.ln.count() }

// Busy is described with Conns.
func (n *Side) Busy() int { return n.ln.busy() }

// Pause leaves the accepting to another process on the same socket, and closes unproven connections beyond so many.
func (n *Side) Pause(most int) {
	n.ln.pause()
	n.ln.trim(most)
}

// Resume accepts again.
func (n *Side) Resume() { n.ln.resume() }

// PassOn hands every connection to another process as soon as it is between requests. It ends the taking in, but not
// that of what has begun to come.
func (n *Side) PassOn(to func(Kept) error) {
	n.passing.Store(true)
	n.taking.Lock()
	n.shut = false
	n.taking.Unlock()
	n.leaving.Store(true)
	n.ln.passOn(to)
}

// KeepOn ends the handing over.
func (n *Side) KeepOn() {
	n.passing.Store(false)
	n.ln.keepOn()
}

// Adopt goes on with a connection of another process.
func (n *Side) Adopt(nc net.Conn, proven, client bool) {
	c := n.ln.admit(nc)
	if c == nil {
		return
	}
	if proven {
		c.prove(client)
		c.kept = true
	}
	n.server.ServeConn(c)
}

// Shut ends the taking in: idle clients are sent elsewhere, and what still comes is refused before anything
// is done for it. Call-backs are taken as before. What was taken before is in hand when it returns.
func (n *Side) Shut() {
	n.taking.Lock()
	n.shut = true
	n.taking.Unlock()
	n.ln.closeIdle()
}

// Close ends the listening and the idle connections, and waits for the busy ones. What the system has accepted and
// nobody has taken yet would be reset by that, and is served first.
func (n *Side) Close(ctx context.Context) error {
	served := make(chan struct{})
	go func() {
		defer close(served)
		var rest sync.WaitGroup
		for _, c := range n.ln.rest() {
			rest.Go(func() { n.server.ServeConn(c) })
		}
		rest.Wait()
	}()
	select {
	case <-served:
	case <-ctx.Done():
	}
	return n.server.ShutdownWithContext(ctx)
}

func (n *Side) handle(ctx *fasthttp.RequestCtx) {
	c := ctx.Conn().(*conn)
	fault := misframed(&ctx.Request, c.got)
	if c.stray {
		fault = "more than one message at a time"
	}
	if fault != "" {
		reject(ctx, fasthttp.StatusBadRequest, fault)
		return
	}
	switch path := string(ctx.Request.URI().PathOriginal()); path {
	case "/api":
		if n.method(ctx, fasthttp.MethodPost) {
			n.message(ctx, c)
		}
		if n.leaving.Load() && !n.passing.Load() {
			ctx.SetConnectionClose()
		}
	case "/v1/job-events":
		if !n.method(ctx, fasthttp.MethodPost) {
			return
		}
		taken, err := n.back.CallBack(ctx.Request.Body())
		if err != nil {
			if faults.allow() {
				slog.Warn("callback", "error", err)
			}
			reject(ctx, fasthttp.StatusBadRequest, "unreadable call-back")
			return
		}
		c.prove(false)
		if others := n.others.Load(); !taken && others != nil {
			if err := (*others)(ctx.Request.Body()); err != nil { // the host tells it again
				say(ctx, fasthttp.StatusServiceUnavailable, "not taken")
			}
		}
	case "/ready":
		if !n.method(ctx, fasthttp.MethodGet) {
			return
		}
		if !n.Ready() {
			say(ctx, fasthttp.StatusServiceUnavailable, "not ready")
		}
	default:
		reject(ctx, fasthttp.StatusNotFound, "no such path")
	}
}

func (n *Side) method(ctx *fasthttp.RequestCtx, want string) bool {
	if got := string(ctx.Method()); got == want || got == fasthttp.MethodHead && want == fasthttp.MethodGet {
		return true
	}
	ctx.Response.Header.Set("Allow", want)
	reject(ctx, fasthttp.StatusMethodNotAllowed, "only "+want+" here")
	return false
}

// logger puts what the server says into the form of the rest of the log.
type logger struct{}

// Printf logs a line of the server, which may quote all that a client has sent.
func (logger) Printf(format string, args ...any) {
	if faults.allow() {
		text := fmt.Sprintf(format, args...)
		slog.Info("http", "text", text[:min(len(text), 200)])
	}
}

func say(ctx *fasthttp.RequestCtx, status int, text string) {
	ctx.SetStatusCode(status)
	ctx.SetContentType("text/plain")
	ctx.SetBodyString(text + "\n")
}

// reject answers what is no use, and ends its connection: whoever sent it may send more of the kind, and what
// follows it in the same bytes must not be taken for a request.
func reject(ctx *fasthttp.RequestCtx, status int, text string) {
	say(ctx, status, text)
	ctx.SetConnectionClose()
	if c, ok := ctx.Conn().(*conn); ok {
		c.linger.Store(true)
	}
}

// malformed answers what is no request at all, or too large a one.
func malformed(ctx *fasthttp.RequestCtx, err error) {
	var small *fasthttp.ErrSmallBuffer
	var network net.Error
	switch {
	case errors.Is(err, errCrowded):
		reject(ctx, fasthttp.StatusServiceUnavailable, "not taken")
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		reject(ctx, fasthttp.StatusRequestEntityTooLarge, "the body is over 64 KiB")
	case errors.As(err, &small):
		reject(ctx, fasthttp.StatusRequestHeaderFieldsTooLarge, "the header is over 16 KiB")
	case errors.As(err, &network) && network.Timeout():
		reject(ctx, fasthttp.StatusRequestTimeout, "the request took too long to come")
	default:
		reject(ctx, fasthttp.StatusBadRequest, "malformed request")
	}
}

// message takes in one message and writes its final answer.
func (n *Side) message(ctx *fasthttp.RequestCtx, c *conn) {
	m, fault := n.read(&ctx.Request, n.core.Of(c.first))
	if fault != "" {
		reject(ctx, fasthttp.StatusBadRequest, fault)
		return
	}
	c.presence = &presence{conn: c.Conn}
	left := c.presence.Left() // such a message may have lain in the socket for long
	if !c.prove(true) {       // its connection had to go for another: nothing is done for it
		n.o.Metrics.End(m.Class, metrics.Declined)
		ctx.SetConnectionClose()
		say(ctx, fasthttp.StatusServiceUnavailable, "not taken")
		return
	}
	if left {
		slog.Info("gone", "id", m.ID)
		ctx.SetConnectionClose()
		say(ctx, fasthttp.StatusBadGateway, "failed")
		return
	}
	defer n.inHand.Add(-1)
	// Beyond the clients' share, connections are kept for the hosts: a call-back that finds none is an
	// answer lost.
	x := n.take(exchange.For(c.presence, m))
	if x == nil {
		n.o.Metrics.End(m.Class, metrics.Declined)
		ctx.SetConnectionClose()
		say(ctx, fasthttp.StatusServiceUnavailable, "not taken")
		return
	}
	if !n.conclude(ctx, c, x, false) { // nothing of it may be written here
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(net.Conn) {})
	}
}

// take gives a message to the core, or returns nil if none is taken any more, or at the moment.
func (n *Side) take(x *exchange.Exchange) *exchange.Exchange {
	n.taking.RLock()
	defer n.taking.RUnlock()
	if n.inHand.Add(1) > n.most.Load() || n.shut {
		return nil
	}
	n.core.Arrive(x)
	return x
}

// conclude waits for the final answer to a message and puts it into ctx. It tells whether there is one: if not,
// another process goes on with the message and its connection.
func (n *Side) conclude(ctx *fasthttp.RequestCtx, c *conn, x *exchange.Exchange, more bool) bool {
	gone, going, retry := c.watch(), n.ln.goes(), (<-chan time.Time)(nil)
	for answered := false; !answered; {
		select {
		case a := <-x.Answer():
			write(ctx, x, a, c.first)
			answered = true
			continue
		case <-gone:
			// Should the client have closed one direction only, it still gets an answer, and no empty 200: that
			// would be a result that no host made.
			n.core.Gone(x)
			slog.Info("gone", "id", x.ID)
			ctx.SetConnectionClose()
			write(ctx, x, <-x.Answer(), c.first)
			answered = true
			continue
		case <-going:
		case <-retry:
		}
		more = c.unwatch() || more
		if n.handOver(c, x, more) {
			return false
		}
		// Its host has not answered yet, or the final answer is there: the next round will tell.
		gone, going, retry = c.watch(), nil, time.After(moveTime)
	}
	// it does not wait for answers; what it has sent ahead is not read
	if more = c.unwatch() || more; c.presence.release() || more {
		ctx.SetConnectionClose()
		c.linger.Store(true)
	}
	return true
}

func (n *Side) handOver(c *conn, x *exchange.Exchange, more bool) bool {
	to, sc := n.ln.elsewhere.Load(), c.socket()
	return to != nil && sc != nil && n.core.HandOver(x, func(b dispatch.Begun) error {
		more = c.presence.release() || more
		err := (*to)(Kept{Conn: sc, Proven: true, Client: true, Begun: &b, More: more})
		if err != nil {
			c.presence.retain()
		}
		return err
	})
}

// Continue goes on with a message that another process has begun, and with its connection.
func (n *Side) Continue(nc net.Conn, b dispatch.Begun, more bool) {
	p := &presence{conn: nc}
	x := n.core.Resume(b, p) // first: what comes over the link next may be about it
	go func() {
		c := n.ln.admit(nc)
		if c == nil { // all places are taken by busy connections
			n.core.Gone(x)
			return
		}
		c.presence = p
		track(c, fasthttp.StateActive)
		c.prove(true)
		c.first = n.core.At(x.Arrived)
		n.inHand.Add(1)
		defer n.inHand.Add(-1)
		var ctx fasthttp.RequestCtx
		ctx.Init2(c, logger{}, true)
		ctx.Response.Header.SetNoDefaultContentType(true)
		if !n.conclude(&ctx, c, x, more) {
			c.Close()
			return
		}
		c.SetWriteDeadline(time.Now().Add(writeTime))
		w := bufio.NewWriter(c)
		err := ctx.Response.Write(w)
		if err == nil {
			err = w.Flush()
		}
		if err != nil || ctx.Response.ConnectionClose() {
			c.Close()
			return
		}
		track(c, fasthttp.StateIdle)
		c.kept = true
		n.server.ServeConn(c)
	}()
}

func write(ctx *fasthttp.RequestCtx, x *exchange.Exchange, a exchange.Answer, arrived time.Time) {
	switch a.Verdict {
	case exchange.Served:
		ctx.SetBody(a.Body)
	case exchange.Refused:
		if a.After > 0 {
			ctx.Response.Header.Set("Retry-After", strconv.FormatFloat(float64(a.After)/1e6, 'f', 3, 64))
		}
		say(ctx, fasthttp.StatusServiceUnavailable, "refused")
	case exchange.Failed:
		say(ctx, fasthttp.StatusBadGateway, "failed")
	case exchange.TimedOut:
		say(ctx, fasthttp.StatusGatewayTimeout, "timed out")
	case exchange.Twice:
		reject(ctx, fasthttp.StatusConflict, "a message with this id is in hand")
	}
	if a.Verdict == exchange.Twice && !faults.allow() { // whoever repeats ids can do so at any speed
		return
	}
	slog.LogAttrs(context.Background(), slog.LevelInfo, "answer", slog.String("id", x.ID), slog.Int("class", x.Class),
		slog.Int("tenant", x.Tenant), slog.Int("status", ctx.Response.StatusCode()), slog.Int64("after_us", a.After),
		slog.Int64("took_us", time.Since(arrived).Microseconds()), slog.Int64("hint_us", x.Hint))
}

// read copies a message that arrived at that time out of a request; fault says what is wrong with it. The
// client's wait began before the first byte came, so that a slow body takes from it.
func (n *Side) read(r *fasthttp.Request, arrived int64) (m exchange.Message, fault string) {
	m = exchange.Message{Method: string(r.Header.Method()), Path: string(r.Header.RequestURI()),
		Arrived: arrived, Class: -1, Tenant: -1, Slots: 1, Body: append([]byte(nil), r.Body()...)}
	wait, t := time.Duration(-1), n.tables.Load()
	for name, value := range r.Header.All() {
		f := exchange.Field{Name: string(name), Value: string(value)}
		m.Fields = append(m.Fields, f)
		switch exchange.Lower(f.Name) {
		case "x-request-id":
			if m.ID != "" { // the host might read the other one
				return m, "X-Request-ID is given twice"
			}
			m.ID = f.Value
		case "x-priority-class":
			if i, ok := t.classes[f.Value]; ok {
				m.Class, m.Once = i, t.once[f.Value]
			}
		case "x-tenant-id":
			if i, ok := t.tenants[f.Value]; ok {
				m.Tenant = i
			}
		case "x-timeout-ms":
			if ms, err := strconv.ParseUint(f.Value, 10, 32); err == nil && int64(ms) <= longestWait.Milliseconds() {
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
			m.Slots = slots(f.Value)
		}
	}
	switch {
	case !plain(m.ID):
		return m, "X-Request-ID is missing or unusable"
	case m.Class < 0:
		return m, "X-Priority-Class is missing or unknown"
	case m.Tenant < 0 && len(t.tenants) > 0:
		return m, "X-Tenant-Id is missing or unknown"
	case wait <= 0:
		return m, "X-Timeout-Ms is missing or out of range"
	}
	// The way back takes time too; the lead is small beside any wait that a client could mean.
	m.Due = m.Arrived + max(wait.Microseconds()-lead, wait.Microseconds()*9/10)
	return m, ""
}

// cookieKey finds what the request concerns among the cookies.
func cookieKey(cookies string) uint64 {
	for pair := range strings.SplitSeq(cookies, ";") {
		if name, value, _ := strings.Cut(strings.TrimSpace(pair), "="); name == "key" && value != "" {
			return affinity.Key(value)
		}
	}
	return 0
}

// plain tells whether an id can stand in a path as it came.
func plain(id string) bool {
	for _, c := range []byte(id) {
		if c <= ' ' || c >= 0x7f || c == '/' || c == '?' || c == '#' || c == '%' {
			return false
		}
	}
	return id != "" && id != "." && id != ".." && len(id) <= 256
}

// slots finds the slots that a job takes among the further figures.
func slots(attrs string) float64 {
	for pair := range strings.SplitSeq(attrs, ",") {
		if name, value, _ := strings.Cut(strings.TrimSpace(pair), "="); name == "slots" {
			if v, err := strconv.ParseFloat(value, 64); err == nil && v > 0 && v < 1e6 {
				return v
			}
		}
	}
	return 1
}
