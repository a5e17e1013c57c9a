// Package discoveryserver is a stand-in for the discovery service: it serves the list of workers, and watches of it.
package discoveryserver

import (
	"net"
	"sync"
	"time"

	jsoniter "github.com/json-iterator/go"
	"github.com/valyala/fasthttp"
)

// Entry is one host of the list, in the form of the wire.
type Entry struct {
	Host          string   `json:"host"`
	Dial          string   `json:"dial"`
	Addresses     []string `json:"addresses,omitempty"`
	Site          string   `json:"site"`
	Class         string   `json:"class"`
	Block         int      `json:"block"`
	Health        string   `json:"health"`
	Share         float64  `json:"share"`
	StartedMillis int64    `json:"born_ms"`
}

// Server is a running stand-in.
type Server struct {
	ln     net.Listener
	server fasthttp.Server

	mu      sync.Mutex
	seq     int64
	entries map[string]Entry
	changed map[string]int64 // by host: the version of its last change, removals too
	answers map[int64][]byte // of this version, by the version that they begin after: many ask for the same
	news    chan struct{}    // closed at the next change
	fault   Fault
	whole   bool          // all answers are whole lists
	calls   int           // so far, answered or not
	healed  chan struct{} // closed when the fault ends
}

// fromNothing stands for the version of whoever asks for the whole list.
const fromNothing = -1

// Start listens on a free port of 127.0.0.1.
func Start() (*Server, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{ln: ln, seq: 1, entries: map[string]Entry{}, changed: map[string]int64{},
		answers: map[int64][]byte{}, news: make(chan struct{}), healed: make(chan struct{})}
	s.server.Handler, s.server.Logger = s.handle, silent{}
	go s.server.Serve(ln)
	return s, nil
}

// silent drops what the server says of connections that break: faults are made on purpose here.
type silent struct{}

// Printf implements fasthttp.Logger.
func (silent) Printf(string, ...any) {}

// Address is where it listens.
func (s *Server) Address() string { return s.ln.Addr().String() }

// Close ends it.
func (s *Server) Close() { s.ln.Close() }

// Update lists hosts, or changes them, as one change.
func (s *Server) Update(entries ...Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seq++
	for _, e := range entries {
		if e.Health == "" {
			e.Health = "up"
		}
		s.changed[e.Host] = s.seq
		if s.entries[e.Host] = e; e.Health == "removed" {
			delete(s.entries, e.Host)
		}
	}
	clear(s.answers)
	close(s.news)
	s.news = make(chan struct{})
}

// SetFullLists makes all answers whole lists from now on, or what has changed again.
func (s *Server) SetFullLists(whole bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.whole = whole
	clear(s.answers)
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	if s.hinder(ctx) {
		return
	}
	if string(ctx.Path()) != "/v1/endpoints" {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	args := ctx.QueryArgs()
	after, err := args.GetUint("after")
	if err != nil {
		after = fromNothing
	}
	limit := time.After(time.Duration(min(args.GetUintOrZero("wait_ms"), 60_000)) * time.Millisecond)
	for {
		s.mu.Lock()
		if s.seq > int64(after) {
			break
		}
		news := s.news
		s.mu.Unlock()
		select {
		case <-news:
			continue
		case <-limit:
			s.mu.Lock()
		}
		break
	}
	defer s.mu.Unlock()
	ctx.SetContentType("application/json")
	ctx.SetBody(s.answer(int64(after)))
}

// answer is the list, or what has changed in it after a version.
func (s *Server) answer(after int64) []byte {
	if text := s.answers[after]; text != nil {
		return text
	}
	whole := after == fromNothing || s.whole
	list := struct {
		Seq   int64   `json:"seq"`
		Whole bool    `json:"whole"`
		Hosts []Entry `json:"hosts"`
	}{s.seq, whole, []Entry{}}
	for host, seq := range s.changed {
		e, listed := s.entries[host]
		if !listed {
			e = Entry{Host: host, Health: "removed"}
		}
		if whole && listed || !whole && seq > after {
			list.Hosts = append(list.Hosts, e)
		}
	}
	text, _ := jsoniter.Marshal(list)
	s.answers[after] = text
	return text
}
