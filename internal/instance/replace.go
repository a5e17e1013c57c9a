package instance

import (
	"bytes"
	"encoding/gob"
	"errors"
	"log/slog"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"topazfall"
	"topazfall/internal/config"
	"topazfall/internal/dispatch"
	"topazfall/internal/inventory"
	"topazfall/internal/north"
	"topazfall/internal/south"
	"topazfall/internal/takeover"
)

// The frames between a process and the one that replaces it, in the order in which they first come.
const (
	hello      byte = 'h' // of the new one
	state      byte = 's' // the legacy; the listening descriptor comes with it
	ready      byte = 'r' // of the new one: it accepts from now on
	holding    byte = 'k' // what the old one still has of the limits
	known      byte = 'i' // ids, once more, when the old one leaves
	connection byte = 'c' // which comes with it, and the message in hand on it if there is one
)

const (
	helloTime = 2 * time.Second // for the first words; the new one must have said yes within 6 s
	noteTime  = time.Second     // for a call-back to be taken by the other process
	holdTime  = 100 * time.Millisecond
	passTime  = time.Second             // for idle connections to be handed over
	hopeTime  = 3200 * time.Millisecond // for hosts to answer relays, after SIGTERM; the kill may come after 3.7 s
	lastCall  = 500 * time.Millisecond  // beyond the longest deadline, after which a leaving process is killed
)

// legacy is what the new process starts with.
type legacy struct {
	List inventory.Legacy
	Core dispatch.Legacy

	Addresses south.Legacy // of the hosts
}

// kept is what comes with a connection.
type kept struct {
	Proven, Client, More bool
	Begun                *dispatch.Begun
}

// encode and decode have the form in which the two processes speak. It keeps strings as the bytes that they are, which
// JSON would not do for what clients have sent.
func encode(v any) []byte {
	var b bytes.Buffer
	if err := gob.NewEncoder(&b).Encode(v); err != nil { // a type that cannot be encoded: found by the tests
		slog.Warn("takeover", "error", err)
	}
	return b.Bytes()
}

func decode(body []byte, v any) error { return gob.NewDecoder(bytes.NewReader(body)).Decode(v) }

// held is what an old process says of the limits: the connections that it has, with those of the ones before it, and
// the share that it leaves of what cannot be counted so.
type held struct {
	Conns int
	Share float64
}

// enter finds the process at path and takes its place, or listens where there is none. While neither can be done it
// tries again, as whoever has the address may be about to go; a signal ends that.
func enter(path, listen string, stop <-chan os.Signal) (net.Listener, *takeover.Link, *legacy, error) {
	said := ""
	for {
		ln, old, from, err := follow(path)
		if err == nil {
			return ln, old, from, nil
		}
		// A file without a listener is what any process before has left.
		refused := errors.Is(err, syscall.ENOENT) || errors.Is(err, syscall.ECONNREFUSED)
		if !refused {
			slog.Warn("takeover", "path", path, "error", err)
		}
		if ln, err = net.Listen("tcp", listen); err == nil {
			return ln, nil, nil, nil
		}
		if err.Error() != said {
			slog.Warn("main", "state", "waiting", "error", err)
		}
		said = err.Error()
		select {
		case <-stop:
			return nil, nil, nil, errors.New("told to end before it could begin")
		case <-time.After(again):
		}
	}
}

func follow(path string) (net.Listener, *takeover.Link, *legacy, error) {
	l, err := takeover.Dial(path)
	if err != nil {
		return nil, nil, nil, err
	}
	ln, from, err := ask(l)
	if err != nil {
		l.Close()
		return nil, nil, nil, err
	}
	return ln, l, from, nil
}

func ask(l *takeover.Link) (net.Listener, *legacy, error) {
	l.SetReadDeadline(time.Now().Add(helloTime))
	defer l.SetReadDeadline(time.Time{})
	if err := l.Send(hello, nil, nil); err != nil {
		return nil, nil, err
	}
	f, err := l.Next()
	if err != nil {
		return nil, nil, err
	}
	if f.File == nil {
		return nil, nil, errors.New("no listening descriptor came")
	}
	defer f.File.Close()
	ln, err := net.FileListener(f.File)
	if err != nil {
		return nil, nil, err
	}
	from := &legacy{}
	if err := decode(f.Body, from); err != nil { // of another version perhaps: what counts has come
		slog.Warn("takeover", "legacy", "unreadable", "error", err)
		from = &legacy{}
	}
	return ln, from, nil
}

// succession is this process's place between the one it has replaced and the one that replaces it.
type succession struct {
	c       *config.Config
	path    string
	ln      net.Listener
	core    *dispatch.Core
	hosts   *south.Side
	clients *north.Side
	list    *inventory.Watch

	renewing   sync.Mutex
	configured topazfall.Settings // by the configuration
	tenants    []topazfall.Tenant // of an extension

	mu      sync.Mutex
	old     *takeover.Link // nil where there is none, or no more
	has     held           // of the old one's
	young   *takeover.Link
	takes   bool // the young one accepts
	leaving bool
	waiting *net.UnixListener
	longest time.Duration // a client's wait, by any settings that held
	told    chan struct{} // closed when the old one has first said what it holds, or has gone
}

// share sets the bounds from what the others have of the limits, and tells the young one; s.mu is held.
func (s *succession) share() {
	out, in := bounds(s.c)
	mine := held{Share: 1}
	if s.old != nil {
		mine = s.has
	}
	if s.young != nil {
		mine.Share /= 2
	}
	in.Conns = max(in.Conns-mine.Conns, 1)
	in.Messages = max(in.Conns*2/3, 1)
	in.Large = int(float64(in.Large) * mine.Share)
	s.clients.SetBounds(in)
	s.hosts.SetConns(max(int(float64(out)*mine.Share), 1))
	within(s.c, mine.Share)
	if s.takes {
		s.young.Send(holding, encode(held{Conns: s.clients.Conns() + mine.Conns, Share: mine.Share}), nil)
	}
}

// succeed goes on in the old one's place: it says that this process accepts from now on, once the old one has said
// what it keeps.
func (s *succession) succeed(old *takeover.Link) {
	s.mu.Lock()
	s.old, s.told = old, make(chan struct{})
	_, in := bounds(s.c)
	s.has = held{Conns: in.Conns / 2, Share: 0.5}
	s.share()
	s.mu.Unlock()
	first := sync.OnceFunc(func() { close(s.told) })
	go func() {
		err := old.Run(func(f takeover.Frame) { s.fromOld(f, first) }, func(body []byte) bool { return s.answer(body, old) })
		slog.Info("takeover", "old", "gone", "reason", err)
		s.mu.Lock()
		s.old, s.has = nil, held{}
		s.share()
		s.mu.Unlock()
		first()
	}()
	old.Send(ready, nil, nil)
	select {
	case <-s.told:
	case <-time.After(helloTime):
	}
}

func (s *succession) fromOld(f takeover.Frame, first func()) {
	switch f.Kind {
	case holding:
		s.mu.Lock()
		if decode(f.Body, &s.has) == nil {
			s.share()
		}
		s.mu.Unlock()
		first()
	case known:
		var ids []string
		if decode(f.Body, &ids) == nil {
			s.core.Learn(ids)
		}
	case connection:
		var k kept
		if f.File == nil || decode(f.Body, &k) != nil {
			break
		}
		nc, err := net.FileConn(f.File)
		if err != nil {
			slog.Warn("takeover", "error", err)
			break
		}
		s.mu.Lock() // it counts here now
		s.has.Conns = max(s.has.Conns-1, 0)
		s.share()
		s.mu.Unlock()
		if k.Begun != nil {
			s.clients.Continue(nc, *k.Begun, k.More)
			break
		}
		go s.clients.Adopt(nc, k.Proven, k.Client)
	}
	if f.File != nil {
		f.File.Close()
	}
}

// wait lets processes replace this one, one at a time.
func (s *succession) wait() {
	ln, err := takeover.Listen(s.path)
	if err != nil { // clients are served all the same; the next process will wait for this one's end
		slog.Warn("takeover", "path", s.path, "error", err)
		return
	}
	s.mu.Lock()
	s.waiting = ln
	s.mu.Unlock()
	for {
		c, err := ln.AcceptUnix()
		if err != nil {
			return
		}
		go s.meet(takeover.New(c))
	}
}

func (s *succession) meet(l *takeover.Link) {
	defer l.Close()
	l.SetReadDeadline(time.Now().Add(helloTime))
	if f, err := l.Next(); err != nil || f.Kind != hello {
		return
	}
	l.SetReadDeadline(time.Time{})
	s.mu.Lock()
	if s.young != nil { // it tries again, and finds whoever of us is there then
		s.mu.Unlock()
		return
	}
	s.young = l
	s.share()
	s.mu.Unlock()
	slog.Info("takeover", "young", "here")
	err := l.Send(state, encode(legacy{s.list.Legacy(), s.core.Legacy(), s.hosts.Legacy()}), s.ln.(syscall.Conn))
	if err == nil {
		err = l.Run(s.fromYoung, func(body []byte) bool { return s.answer(body, l) })
	}
	slog.Info("takeover", "young", "gone", "reason", err)
	s.mu.Lock()
	s.young, s.takes = nil, false
	s.share()
	s.mu.Unlock()
	s.core.Replaced(false)
	s.clients.KeepOn()
	s.clients.Resume()
	s.waiting.Close() // the path was the young one's, if it came so far
	go s.wait()
}

func (s *succession) fromYoung(f takeover.Frame) {
	if f.File != nil {
		f.File.Close()
	}
	if f.Kind != ready {
		return
	}
	s.core.Replaced(true)
	_, in := bounds(s.c)
	s.clients.Pause(in.Conns / 2)
	s.mu.Lock()
	l := s.young
	s.takes = true
	s.share()
	s.mu.Unlock()
	go func() { // what this process holds becomes less
		for last := s.clients.Conns(); ; time.Sleep(holdTime) {
			s.mu.Lock()
			if s.young != l {
				s.mu.Unlock()
				return
			}
			if now := s.clients.Conns(); now != last {
				last = now
				s.share()
			}
			s.mu.Unlock()
		}
	}()
}

// tell brings a call-back whose message is not in hand here to the other processes. That none of them has it is no
// error: it is over.
func (s *succession) tell(body []byte) error {
	_, err := s.ask(body, nil)
	return err
}

// answer takes a call-back that came from one process, or asks the one beyond.
func (s *succession) answer(body []byte, from *takeover.Link) bool {
	taken, err := s.hosts.CallBack(body)
	if err == nil && !taken {
		taken, _ = s.ask(body, from)
	}
	return taken
}

// ask brings a call-back to all others but one. If none has its message that may have been on its way here, and have
// crossed the question: it came before the answer, and is here now.
func (s *succession) ask(body []byte, except *takeover.Link) (taken bool, err error) {
	if taken, err = s.askOthers(body, except); !taken && err == nil {
		taken, _ = s.hosts.CallBack(body)
	}
	return taken, err
}

func (s *succession) askOthers(body []byte, except *takeover.Link) (taken bool, err error) {
	s.mu.Lock()
	links := [...]*takeover.Link{s.old, s.young}
	s.mu.Unlock()
	for _, l := range links {
		if l == nil || l == except {
			continue
		}
		took, fault := l.Ask(body, noteTime)
		if took {
			return true, nil
		}
		if fault == takeover.ErrSilent {
			err = fault
		}
	}
	return false, err
}

// passOn hands the clients over to the young process if that accepts, and tells whether it does.
func (s *succession) passOn() bool {
	s.mu.Lock()
	l, takes := s.young, s.takes
	s.mu.Unlock()
	if !takes {
		return false
	}
	l.Send(known, encode(s.core.Legacy().Known), nil)
	s.clients.PassOn(func(k north.Kept) error {
		return l.Send(connection, encode(kept{k.Proven, k.Client, k.More, k.Begun}), k.Conn)
	})
	return true
}

// holds notes that settings hold: clients may wait as long as their classes' deadlines, at least as long as the kill does.
func (s *succession) holds(now *topazfall.Settings) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.longest = max(s.longest, 3*time.Second)
	for _, c := range now.Classes {
		s.longest = max(s.longest, time.Duration(c.Deadline)*time.Microsecond)
	}
}

func (s *succession) longestWait() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.longest
}

// linked tells whether the process before this one is still there, and whether the one after it accepts.
func (s *succession) linked() (old, young bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.old != nil, s.takes
}

// leave ends the taking in and returns when all that was taken has its answer.
//
// Without a successor all that comes is served while clients can still be sent here. What came later could be cut off
// by the kill that follows, and would be lost; so it is refused. What is in hand is finished, and as its call-backs
// need the listener, that stays open to the last. With a successor nothing is taken that had not begun to come.
func (s *succession) leave() {
	passing, shut, hopeless := s.passOn(), false, false
	if !passing { // an answer between the two would end its connection, which the young one could go on with
		s.clients.Leave()
	}
	began := time.Now()
	for {
		old, young := s.linked()
		since := time.Since(began)
		switch {
		case !passing && young:
			passing = s.passOn()
		case passing && !young:
			passing = false
		case passing && !hopeless && since > hopeTime:
			hopeless = true
			s.core.EndUnanswered(time.Second.Microseconds()) // a message with such a relay cannot be handed over
		case !passing && !shut && since > lateComes:
			s.clients.Shut()
			shut = true
		}
		done := s.core.InHand() == 0 && !s.hosts.Busy() && !old
		// Idle connections go by themselves, but not in no time: one that is still here would be closed with the rest.
		passed := s.clients.Conns() == 0 || s.clients.Busy() == 0 && since > passTime
		if passing && done && passed || !passing && shut && done && since > lateComes+settle {
			return
		}
		if passing && since > s.longestWait()+lastCall {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}
