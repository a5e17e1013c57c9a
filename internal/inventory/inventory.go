// Package inventory follows discovery's list of hosts: the copy known from before a restart first, then a
// watch whose next call follows at once on each answer.
package inventory

import (
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"

	jsoniter "github.com/json-iterator/go"
	"github.com/valyala/fasthttp"

	"topazfall"
	"topazfall/internal/decide/addresses"
	"topazfall/internal/dispatch"
)

const (
	wait    = time.Second             // how long a watch call may wait: news counts as told soon after that
	grace   = 1500 * time.Millisecond // what a silent discovery gets beyond it
	backOff = 150 * time.Millisecond  // after a failed call; a watch goes on if the next call comes within 200 ms
	growth  = 4                       // by which a back-off may grow
	few     = 4                       // so many dispatchers may call as if each were alone
	silence = 6 * time.Second         // after which what a silent discovery has to tell counts as told
	patient = 4                       // of so many calls in a row to an agent that does not answer at once, one is given time
)

// Lister is told of the list; for ListBroken there are no entries.
type Lister interface {
	List(kind topazfall.EventKind, entries []dispatch.Entry)
}

// Watch follows the list at one discovery address, which may move.
type Watch struct {
	core   Lister
	client *agent
	seq    int64
	known  bool // there is a list that changes can be applied to
	kick   chan bool
	moves  chan string
	share  time.Duration // by which the back-off is longer than a lone dispatcher's
	terms  Terms
	target string // of the last move; the mover's
	tried  chan struct{}

	mu   sync.Mutex
	last Legacy
}

// Legacy is the list as it was last had, and where.
type Legacy struct {
	Discovery string
	Seq       int64
	Hosts     map[string]dispatch.Entry
}

// Terms are what the contract says of discovery.
type Terms struct {
	Dispatchers int // that share it
	Asked       bool
	Grace       time.Duration // of a host that drains
	AskEvery    time.Duration // where it must be asked: how often, at least
}

// TermsOf takes the terms from the settings.
func TermsOf(s *topazfall.Settings) Terms {
	return Terms{s.Dispatchers, s.AskForList, time.Duration(s.Contract.DrainGrace) * time.Microsecond,
		time.Duration(s.Contract.AskEvery) * time.Microsecond}
}

// New returns a watch that tells core of the list, under these terms.
func New(addr string, core Lister, terms Terms) *Watch {
	return &Watch{core: core, share: time.Duration(max(terms.Dispatchers/few, 1)), terms: terms, client: newAgent(addr),
		kick: make(chan bool, 1), moves: make(chan string, 1), target: addr, tried: make(chan struct{})}
}

// Follow asks for changes from now on, which the watch brings anyway. It ends no back-off: many dispatchers that
// are unheard for the same cause would only feed it.
func (w *Watch) Follow() {}

// Fetch asks for the whole list.
func (w *Watch) Fetch() { w.push(true) }

func (w *Watch) push(whole bool) {
	select {
	case w.kick <- whole:
	default:
	}
}

// Move makes the watch go on at another address, at once; of several the last counts. It is called from one
// goroutine at a time.
func (w *Watch) Move(addr string) {
	if w.target == addr { // a watch that goes on misses nothing
		return
	}
	w.target = addr
	select {
	case <-w.moves: // an earlier move that nobody has begun
	default:
	}
	w.moves <- addr
}

// Tried is closed once a first call has ended, well or not.
func (w *Watch) Tried() <-chan struct{} { return w.tried }

// Known takes the list as it was had before a restart and tells how many hosts it names.
func (w *Watch) Known(text []byte) int {
	if len(text) == 0 {
		return 0
	}
	l, err := parse(text)
	if err != nil {
		slog.Warn("inventory", "known", "unreadable", "error", err)
		return 0
	}
	w.tell(topazfall.ListStale, l)
	return len(l.entries)
}

// Legacy returns the list for another process to go on with.
func (w *Watch) Legacy() Legacy {
	w.mu.Lock()
	defer w.mu.Unlock()
	l := w.last
	l.Hosts = maps.Clone(l.Hosts)
	return l
}

// Inherit starts from another process's list. Where that had it from another address, the versions need not be the
// same, and the whole list is asked for. It comes before Run.
func (w *Watch) Inherit(l Legacy) int {
	if len(l.Hosts) == 0 {
		return 0
	}
	w.tell(topazfall.ListStale, list{seq: l.Seq, entries: slices.Collect(maps.Values(l.Hosts))})
	w.known = l.Discovery == w.client.Addr
	return len(l.Hosts)
}

// tell hands the list, or changes to it, on, and keeps them.
func (w *Watch) tell(kind topazfall.EventKind, l list) {
	w.core.List(kind, l.entries)
	w.seq, w.known = l.seq, true
	w.mu.Lock()
	defer w.mu.Unlock()
	if kind != topazfall.ListPatch || w.last.Hosts == nil {
		w.last.Hosts = map[string]dispatch.Entry{}
	}
	for _, e := range l.entries {
		if w.last.Hosts[e.ID] = e; e.State == topazfall.Gone {
			delete(w.last.Hosts, e.ID)
		}
	}
	w.last.Discovery, w.last.Seq = w.client.Addr, l.seq
}

// pause is how long to wait after so many failures in a row, the last of them for want of any answer if silent is set.
//
// Where lists come unasked, the agent on the own machine answers at once and at no cost, and what it has counts as told:
// the pause and the next call together stay under the grace of a drain. Where discovery is asked, what one dispatcher tries
// again at once is a storm from many: they fail together, and a service that is short of room gets nothing done for calls
// that nobody waits for any more. So the pauses grow, from one that is longer for many, and chance spreads them. But a
// silent discovery is not short of room, and what it has to tell counts as told soon.
func (w *Watch) pause(failures int, silent bool) time.Duration {
	p := backOff * time.Duration(min(1<<min(failures-1, 8), growth))
	switch {
	case !w.terms.Asked:
		p = min(p, w.terms.unread())
	case silent: // one call has waited in vain, the next may take its time as well
		p = min(p*w.share, silence-2*(wait+grace))
	default:
		p *= w.share
	}
	return p/2 + rand.N(p/2+1)
}

// limit is how long a call may take that asks for what there is now, after so many failures in a row.
func (w *Watch) limit(failures int) time.Duration {
	if !w.terms.Asked && failures%patient != 0 {
		return w.terms.unread()
	}
	return wait + grace
}

// unread is how long what discovery has may stay unread, by the contract. Where it comes unasked it counts as told from
// then on, and the grace of a host that drains may be running already; where it must be asked for, only if that is not
// done for a longer time.
func (t Terms) unread() time.Duration {
	if t.Asked {
		return max(t.Grace, t.AskEvery) / 2
	}
	return t.Grace / 2
}

// lead is how long to wait with the first call. Where a list is known it will do for a moment, and all may be starting
// together: a discovery that is asked serves some calls a second, and those that wait too long for their turn fail.
func (w *Watch) lead() time.Duration {
	if !w.known || w.share <= 1 {
		return 0
	}
	return rand.N(min(backOff*w.share*growth/2, w.terms.unread()) + 1)
}

// Run watches until the program ends.
func (w *Watch) Run() {
	broken, failures := false, 0
	if pause := w.lead(); pause > 0 {
		select {
		case <-w.kick:
		case <-time.After(pause):
		}
	}
	for first := true; ; first = false {
		err := w.call(failures)
		if first {
			close(w.tried)
		}
		if err == nil {
			if broken {
				slog.Info("inventory", "state", "back", "seq", w.seq)
			}
			broken, failures = false, 0
			continue
		}
		if err == errMoved {
			continue
		}
		if !broken {
			slog.Warn("inventory", "state", "broken", "seq", w.seq, "error", err)
			w.core.List(topazfall.ListBroken, nil)
		}
		broken = true
		failures++
		select {
		case whole := <-w.kick:
			w.known = w.known && !whole
		case addr := <-w.moves:
			w.move(addr)
		case <-time.After(w.pause(failures, errors.Is(err, fasthttp.ErrTimeout))):
		}
	}
}

var errMoved = errors.New("discovery has moved")

// move drops the call under way: the old address may keep it waiting, and what it says is no news any more.
// The list stays until the new address has sent a whole one: its versions need not go on from ours.
func (w *Watch) move(addr string) {
	slog.Info("inventory", "state", "moved", "from", w.client.Addr, "to", addr, "seq", w.seq)
	w.client.close()
	w.client, w.known = newAgent(addr), false
}

// call makes one call: a watch, or a fetch of the whole list where there is none yet or one was asked for. After failures
// the watch is opened anew by a call that does not wait for news: whether it is answered shows at once.
func (w *Watch) call(failures int) error {
	select {
	case whole := <-w.kick:
		w.known = w.known && !whole
	default:
	}
	path, limit := "/v1/endpoints", grace
	if w.known {
		pause := wait
		if limit += wait; failures > 0 {
			pause, limit = 0, w.limit(failures)
		}
		path += "?after=" + strconv.FormatInt(w.seq, 10) + "&wait_ms=" + strconv.FormatInt(pause.Milliseconds(), 10)
	}
	answer := make(chan answer, 1) // what comes after a move is dropped with it
	go func(a *agent) { answer <- a.get(path, limit) }(w.client)
	select {
	case addr := <-w.moves:
		w.move(addr)
		return errMoved
	case a := <-answer:
		return w.take(a)
	}
}

// take applies what discovery has answered.
func (w *Watch) take(a answer) error {
	l, err := a.list, a.err
	if errors.As(err, &unreadable{}) {
		w.known = false // what changed is lost; the whole list makes up for it
	}
	switch {
	case err != nil:
		return err
	case l.whole:
		w.tell(topazfall.ListWhole, l)
	case !w.known || l.seq < w.seq: // changes to a list that is not ours
		w.known = false
		return fmt.Errorf("changes up to %d do not follow %d", l.seq, w.seq)
	default:
		w.tell(topazfall.ListPatch, l)
	}
	if len(l.entries) > 0 {
		slog.Info("inventory", "seq", l.seq, "whole", l.whole, "entries", len(l.entries))
	}
	return nil
}

// agent is discovery at one address.
type agent struct {
	fasthttp.HostClient
	mu     sync.Mutex
	conn   net.Conn // the latest
	closed bool
}

func newAgent(addr string) *agent {
	a := &agent{HostClient: fasthttp.HostClient{Addr: addr, MaxConns: 8, NoDefaultUserAgentHeader: true,
		MaxIdemponentCallAttempts: 1, MaxResponseBodySize: 8 << 20}}
	a.Dial = func(addr string) (net.Conn, error) {
		c, err := fasthttp.DialTimeout(addr, grace)
		if err != nil {
			return nil, err
		}
		a.mu.Lock()
		defer a.mu.Unlock()
		if a.conn = c; a.closed {
			c.Close()
		}
		return c, nil
	}
	return a
}

// close ends the call under way and the connection.
func (a *agent) close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed = true; a.conn != nil {
		a.conn.Close()
	}
}

type answer struct {
	list list
	err  error
}

// unreadable is an answer that came and is no list.
type unreadable struct{ error }

func (a *agent) get(path string, limit time.Duration) answer {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + a.Addr + path)
	if err := a.DoTimeout(req, resp, limit); err != nil {
		return answer{err: err}
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return answer{err: fmt.Errorf("status %d", resp.StatusCode())}
	}
	l, err := parse(resp.Body())
	if err != nil {
		err = unreadable{err}
	}
	return answer{l, err}
}

type list struct {
	seq     int64
	whole   bool
	entries []dispatch.Entry
}

var states = map[string]topazfall.WorkerState{
	"up": topazfall.Ready, "draining": topazfall.Draining, "removed": topazfall.Gone}

// parse reads a list and translates it into the module's terms. One odd entry must not hold up the news of
// all the others: a host of which the list says something unknown, or no address, gets nothing new.
func parse(text []byte) (list, error) {
	var f struct {
		Seq   *int64 `json:"seq"`
		Whole bool   `json:"whole"`
		Hosts []struct {
			Host   string              `json:"host"`
			Dial   string              `json:"dial"`
			Addrs  jsoniter.RawMessage `json:"addresses"`
			Site   string              `json:"site"`
			Class  string              `json:"class"`
			Block  int                 `json:"block"`
			Health string              `json:"health"`
			Share  float64             `json:"share"`
			Born   int64               `json:"born_ms"`
		} `json:"hosts"`
	}
	if err := jsoniter.Unmarshal(text, &f); err != nil {
		return list{}, err
	}
	if f.Seq == nil {
		return list{}, fmt.Errorf("no seq")
	}
	l := list{seq: *f.Seq, whole: f.Whole}
	for _, h := range f.Hosts {
		state, ok := states[h.Health]
		addrs := several(h.Host, h.Addrs)
		if !ok || h.Host == "" || h.Dial == "" && len(addrs) == 0 && state == topazfall.Ready {
			slog.Warn("inventory", "odd", "entry", "host", h.Host, "dial", h.Dial, "health", h.Health)
			state = topazfall.Draining
		}
		if h.Host != "" {
			l.entries = append(l.entries, dispatch.Entry{Addr: h.Dial, Addrs: addrs, Worker: topazfall.Worker{ID: h.Host, Zone: h.Site,
				Kind: h.Class, Cell: h.Block, State: state, Weight: h.Share, StartedAt: h.Born * 1000}})
		}
	}
	return l, nil
}

// several reads the addresses of a host. What cannot be read costs no more than itself; where nothing is left, the host
// is as one that lists none.
func several(host string, text []byte) []addresses.Address {
	if len(text) == 0 || string(text) == "null" {
		return nil
	}
	var entries []jsoniter.RawMessage
	if err := jsoniter.Unmarshal(text, &entries); err != nil {
		slog.Warn("inventory", "odd", "addresses", "host", host, "error", "no list")
		return nil
	}
	texts := make([]string, len(entries))
	for i, e := range entries {
		if jsoniter.Unmarshal(e, &texts[i]) != nil {
			texts[i] = string(e) // no string, and so no address: the error shows it
		}
	}
	list, faults := addresses.List(texts)
	for _, f := range faults {
		slog.Warn("inventory", "odd", "address", "host", host, "address", f.Text, "error", f.Err)
	}
	return list
}
