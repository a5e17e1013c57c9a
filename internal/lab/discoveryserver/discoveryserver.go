// Package discoveryserver is a stand-in for the discovery service: it serves the list of workers and long polls for
// its changes, over HTTP on loopback, and can be given faults.
package discoveryserver

import (
	"net"
	"sync"
	"time"

	jsoniter "github.com/json-iterator/go"
	"github.com/valyala/fasthttp"
)

// Entry is one host (worker) of the list. Its JSON names are those of the discovery protocol.
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

// Server is a running stand-in for the discovery service.
type Server struct {
	listener net.Listener
	server   fasthttp.Server

	mu             sync.Mutex
	seq            int64
	entries        map[string]Entry
	changeVersions map[string]int64 // by host: the version of its last change, including removals
	cachedAnswers  map[int64][]byte // answers for the current version, by the caller's version, which many share
	updated        chan struct{}    // closed at the next change
	fault          Fault
	fullLists      bool          // every answer is a full list
	callCount      int           // calls so far, answered or not
	acknowledged   int64         // the highest version that a call has named as received
	receipts       *receipts     // nil if they are not recorded
	faultCleared   chan struct{} // closed at the next SetFault
}

// noVersion stands for the version of a caller that asks for the full list.
const noVersion = -1

// Start returns a server that listens on a free port of 127.0.0.1.
func Start() (*Server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{listener: listener, seq: 1, entries: map[string]Entry{}, changeVersions: map[string]int64{},
		cachedAnswers: map[int64][]byte{}, updated: make(chan struct{}), faultCleared: make(chan struct{})}
	s.server.Handler, s.server.Logger = s.handle, discardLogger{}
	go s.server.Serve(listener)
	return s, nil
}

// discardLogger drops the HTTP server's messages on broken connections, as connections are broken on purpose here.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}

// Address returns the server's address.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close closes the server's listener.
func (s *Server) Close() { s.listener.Close() }

// Update adds, changes and removes hosts, as one change of the list. It returns the new version.
func (s *Server) Update(entries ...Entry) (version int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seq++
	for _, e := range entries {
		if e.Health == "" {
			e.Health = "up"
		}
		s.changeVersions[e.Host] = s.seq
		if s.entries[e.Host] = e; e.Health == "removed" {
			delete(s.entries, e.Host)
		}
	}
	clear(s.cachedAnswers)
	close(s.updated)
	s.updated = make(chan struct{})
	return s.seq
}

// Version returns the version of the list.
func (s *Server) Version() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.seq
}

// Acknowledged returns the highest version that a call has named as received.
func (s *Server) Acknowledged() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.acknowledged
}

// SetFullLists makes every answer a full list, or only the changes again.
func (s *Server) SetFullLists(full bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fullLists = full
	clear(s.cachedAnswers)
}

// handle answers a call for the list; one for changes waits until there are some, or until its time is up.
func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	if s.applyFault(ctx) {
		return
	}
	if string(ctx.Path()) != "/v1/endpoints" {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	args := ctx.QueryArgs()
	after, err := args.GetUint("after")
	if err != nil {
		after = noVersion
	}
	s.mu.Lock()
	s.acknowledged = max(s.acknowledged, int64(after))
	s.receipts.confirm(ctx, int64(after))
	s.mu.Unlock()
	timeout := time.After(time.Duration(min(args.GetUintOrZero("wait_ms"), 60_000)) * time.Millisecond)
	for {
		s.mu.Lock()
		if s.seq > int64(after) {
			break
		}
		updated := s.updated
		s.mu.Unlock()
		select {
		case <-updated:
			continue
		case <-timeout:
			s.mu.Lock()
		}
		break
	}
	defer s.mu.Unlock()
	ctx.SetContentType("application/json")
	ctx.SetBody(s.encodeList(int64(after)))
	s.receipts.answer(ctx, int64(after), s.seq)
}

// encodeList returns the list, or the changes to it after a version. The caller holds s.mu.
func (s *Server) encodeList(after int64) []byte {
	if text := s.cachedAnswers[after]; text != nil {
		return text
	}
	full := after == noVersion || s.fullLists
	list := struct {
		Seq   int64   `json:"seq"`
		Whole bool    `json:"whole"`
		Hosts []Entry `json:"hosts"`
	}{s.seq, full, []Entry{}}
	for host, seq := range s.changeVersions {
		e, listed := s.entries[host]
		if !listed {
			e = Entry{Host: host, Health: "removed"}
		}
		if full && listed || !full && seq > after {
			list.Hosts = append(list.Hosts, e)
		}
	}
	text, _ := jsoniter.Marshal(list)
	s.cachedAnswers[after] = text
	return text
}
