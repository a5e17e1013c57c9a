// Package control serves the control API of one instance: settings, and the list of hosts. One handler speaks gRPC and
// gRPC-Web to programs and JSON over HTTP POST to a person with curl (Connect). It listens on a Unix socket that only
// its owner may use.
package control

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"golang.org/x/net/netutil"
	"google.golang.org/protobuf/types/known/durationpb"

	"topazfall"
	pb "topazfall/internal/control/controlpb"
	"topazfall/internal/control/controlpb/controlpbconnect"
	"topazfall/internal/decide/sources"
	"topazfall/internal/settings"
)

const (
	largest   = 2 << 20 // of a request
	callers   = 64      // connections at a time
	watchers  = 32
	readTime  = 5 * time.Second  // for a request
	writeTime = 10 * time.Second // for a part of an answer that its caller does not read
	idleTime  = time.Minute
)

// Hosts is the merged list, and what is wrong with each source.
type Hosts interface {
	Hosts() ([]sources.Host, map[string]string)
	Now() int64
}

// Installation is the other instances that this one shares its settings with.
type Installation interface {
	// Apply takes a document for all of them, as settings.options.Store.Apply does for one. Its errors are
	// settings.Faults, settings.StaleError, ElsewhereError, ErrOutcomeUnknown, or why it cannot be done now.
	Apply(ctx context.Context, doc *pb.Settings, from uint64) (*pb.Revision, error)
	// Instances asks all of them what they hold.
	Instances(ctx context.Context) *pb.InstancesResponse
}

// NotOriginError turns a document down at an instance that follows.
type NotOriginError struct{ Origins []string }

func (e NotOriginError) Error() string {
	return "this instance follows; apply at one of " + strings.Join(e.Origins, ", ")
}

// ErrOutcomeUnknown says that a document may be in force or not.
var ErrOutcomeUnknown = errors.New("whether it was taken is not known; see which revision is in force")

// Options say what is served.
type Options struct {
	Store        *settings.Store
	Hosts        Hosts
	Installation Installation // nil for an instance that has its settings for itself
}

// Server serves the API.
type Server struct {
	options  Options
	watching atomic.Int64
	http     *http.Server
}

// Listen opens the socket. A TCP address is refused: nobody could tell there who calls.
func Listen(address string) (net.Listener, error) {
	path, ok := strings.CutPrefix(address, "unix:")
	if !ok || !filepath.IsAbs(path) {
		return nil, fmt.Errorf("control address %q: only unix:/absolute/path is served; "+
			"TCP needs mutual TLS, which is not there yet", address)
	}
	// Bound beside and renamed, so that the path never leads nowhere while one process replaces another, and never to a
	// socket with wider rights.
	dir, err := os.MkdirTemp(filepath.Dir(path), ".control")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	aside := filepath.Join(dir, "s") // the folder is closed to others
	ln, err := net.ListenUnix("unix", &net.UnixAddr{Name: aside, Net: "unix"})
	if err != nil {
		return nil, err
	}
	ln.SetUnlinkOnClose(false)
	if err := errors.Join(os.Chmod(aside, 0o600), os.Rename(aside, path)); err != nil {
		ln.Close()
		return nil, err
	}
	return ln, nil
}

// Serve serves on ln until Close.
func Serve(ln net.Listener, o Options) *Server {
	s := &Server{options: o}
	path, handler := controlpbconnect.NewControlHandler(s, connect.WithReadMaxBytes(largest))
	mux := http.NewServeMux()
	mux.Handle(path, patient(handler))
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	s.http = &http.Server{Handler: mux, Protocols: protocols, ReadHeaderTimeout: readTime, IdleTimeout: idleTime,
		MaxHeaderBytes: 16 << 10, ErrorLog: slog.NewLogLogger(slog.Default().Handler(), slog.LevelInfo)}
	go func() {
		if err := s.http.Serve(netutil.LimitListener(ln, callers)); err != http.ErrServerClosed {
			slog.Error("control", "state", "ended", "error", err)
		}
	}()
	return s
}

// Close ends all calls.
func (s *Server) Close() { s.http.Close() }

// patient bounds the time for a request's body, and for each part of an answer that its caller does not read.
func patient(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		rc := http.NewResponseController(w)
		rc.SetReadDeadline(time.Now().Add(readTime))
		r.Body = &read{http.MaxBytesReader(w, r.Body, 2*largest), rc}
		next.ServeHTTP(&bounded{w, rc}, r)
	})
}

// read takes the deadline away once the body has come: a watch is open for longer.
type read struct {
	io.ReadCloser
	rc *http.ResponseController
}

func (b *read) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.rc.SetReadDeadline(time.Time{})
	}
	return n, err
}

type bounded struct {
	http.ResponseWriter
	rc *http.ResponseController
}

func (b *bounded) Write(p []byte) (int, error) {
	b.rc.SetWriteDeadline(time.Now().Add(writeTime))
	return b.ResponseWriter.Write(p)
}

func (b *bounded) Flush()                      { b.rc.Flush() }
func (b *bounded) Unwrap() http.ResponseWriter { return b.ResponseWriter }

// Get returns the revision in force.
func (s *Server) Get(context.Context, *connect.Request[pb.GetRequest]) (*connect.Response[pb.GetResponse], error) {
	r, readOnly := s.options.Store.Current()
	return connect.NewResponse(&pb.GetResponse{Revision: r, Effective: settings.Effective(r.Settings),
		ReadOnly: readOnly}), nil
}

// Check says what Apply would say of a document.
func (s *Server) Check(
	_ context.Context, r *connect.Request[pb.CheckRequest],
) (*connect.Response[pb.CheckResponse], error) {
	out := &pb.CheckResponse{}
	for _, f := range settings.Check(r.Msg.Settings) {
		out.Faults = append(out.Faults, &pb.Fault{Path: f.Path, Text: f.Text})
	}
	return connect.NewResponse(out), nil
}

// Apply takes a document, whole or not at all. A document with faults is an invalid argument, with each fault as a
// detail; one that was made from another revision is aborted; at an instance that follows it is a failed precondition;
// of what may be in force or not the outcome is unknown; what cannot be taken now is unavailable.
func (s *Server) Apply(
	ctx context.Context, r *connect.Request[pb.ApplyRequest],
) (*connect.Response[pb.ApplyResponse], error) {
	taken, err := s.apply(ctx, r.Msg)
	var faults settings.Faults
	var stale settings.StaleError
	var elsewhere NotOriginError
	switch {
	case err == nil:
		slog.Info("settings", "state", "taken", "revision", taken.Number)
		return connect.NewResponse(&pb.ApplyResponse{Revision: taken}), nil
	case errors.As(err, &faults):
		out := connect.NewError(connect.CodeInvalidArgument, err)
		for _, f := range faults {
			if d, err := connect.NewErrorDetail(&pb.Fault{Path: f.Path, Text: f.Text}); err == nil {
				out.AddDetail(d)
			}
		}
		return nil, out
	case errors.As(err, &stale):
		return nil, connect.NewError(connect.CodeAborted, err)
	case errors.As(err, &elsewhere):
		return nil, connect.NewError(connect.CodeFailedPrecondition, err)
	case errors.Is(err, ErrOutcomeUnknown):
		return nil, connect.NewError(connect.CodeUnknown, err)
	}
	slog.Error("settings", "state", "kept", "error", err)
	return nil, connect.NewError(connect.CodeUnavailable, err)
}

func (s *Server) apply(ctx context.Context, r *pb.ApplyRequest) (*pb.Revision, error) {
	if s.options.Installation != nil {
		return s.options.Installation.Apply(ctx, r.Settings, r.From)
	}
	return s.options.Store.Apply(r.Settings, r.From, time.Now())
}

// Instances returns what every instance of the installation holds; without one that is a failed precondition.
func (s *Server) Instances(
	ctx context.Context, _ *connect.Request[pb.InstancesRequest],
) (*connect.Response[pb.InstancesResponse], error) {
	if s.options.Installation == nil {
		return nil, connect.NewError(connect.CodeFailedPrecondition,
			errors.New("this instance was started without a roster"))
	}
	return connect.NewResponse(s.options.Installation.Instances(ctx)), nil
}

// Watch tells of every revision, once and in order.
func (s *Server) Watch(
	ctx context.Context, r *connect.Request[pb.WatchRequest], out *connect.ServerStream[pb.WatchResponse],
) error {
	if s.watching.Add(1) > watchers {
		s.watching.Add(-1)
		return connect.NewError(connect.CodeResourceExhausted, fmt.Errorf("%d watch already", watchers))
	}
	defer s.watching.Add(-1)
	if err := out.Send(nil); err != nil { // the headers, so that the caller knows that it watches
		return err
	}
	for last := r.Msg.After; ; {
		next, err := s.options.Store.NextAfter(ctx, last)
		switch {
		case errors.Is(err, settings.ErrGap):
			return connect.NewError(connect.CodeOutOfRange, err)
		case errors.Is(err, settings.ErrClosed):
			return connect.NewError(connect.CodeUnavailable, err)
		case err != nil:
			return err
		}
		if err := out.Send(&pb.WatchResponse{Revision: next}); err != nil {
			return err
		}
		last = next.Number
	}
}

// Hosts returns the merged list.
func (s *Server) Hosts(
	context.Context, *connect.Request[pb.HostsRequest],
) (*connect.Response[pb.HostsResponse], error) {
	out := &pb.HostsResponse{}
	hosts, faults := s.options.Hosts.Hosts()
	now := s.options.Hosts.Now()
	count := map[string]uint32{}
	for _, h := range hosts {
		one := &pb.Host{Name: h.ID, Sources: h.Sources, State: "up", Why: h.Reason, Zone: h.Zone, Kind: h.Kind,
			Share: h.Weight}
		if h.State != topazfall.Ready {
			one.State = "draining"
		}
		for _, a := range h.Addrs {
			one.Addresses = append(one.Addresses, a.String())
		}
		if len(h.Addrs) == 0 {
			one.Addresses = []string{h.Addr}
		}
		if h.Expires != 0 {
			one.Remaining = durationpb.New(time.Duration(max(h.Expires-now, 0)) * time.Microsecond)
		}
		for _, name := range h.Sources {
			count[name]++
		}
		out.Hosts = append(out.Hosts, one)
	}
	out.Sources = append(out.Sources, &pb.Source{Name: "roster", Hosts: count["roster"]})
	for _, name := range slices.Sorted(maps.Keys(faults)) {
		out.Sources = append(out.Sources,
			&pb.Source{Name: "srv:" + name, Fault: faults[name], Hosts: count["srv:"+name]})
	}
	return connect.NewResponse(out), nil
}
