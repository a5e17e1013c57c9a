// Package control serves the control API of one instance: its settings and its list of hosts (workers as the network
// code knows them). One Connect handler serves gRPC and gRPC-Web for programs, and JSON over HTTP POST for use with
// curl. It listens on a Unix socket that only its owner may use.
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
	maxRequestBytes = 2 << 20          // bytes of a request
	maxConnections  = 64               // open connections at a time
	maxWatchers     = 32               // Watch calls at a time
	readTimeout     = 5 * time.Second  // for reading a request
	writeTimeout    = 10 * time.Second // for each write of a response whose caller does not read
	idleTimeout     = time.Minute
)

// Hosts provides the merged list of hosts, and the fault of each DNS source by its SRV name ("" if it has no fault).
type Hosts interface {
	Hosts() ([]sources.Host, map[string]string)
	Now() int64
}

// Installation is the group of instances that share their settings.
type Installation interface {
	// Apply applies a document at all of them, as settings.Store.Apply does at one. Its errors are settings.Faults,
	// settings.StaleError, NotOriginError, ErrOutcomeUnknown, or the reason why no document can be applied now.
	Apply(ctx context.Context, doc *pb.Settings, from uint64) (*pb.Revision, error)
	// Instances requests the status of all of them.
	Instances(ctx context.Context) *pb.InstancesResponse
}

// NotOriginError rejects a document at an instance that is not an origin. It names the origins, which accept documents.
type NotOriginError struct{ Origins []string }

func (e NotOriginError) Error() string {
	return "this instance follows; apply at one of " + strings.Join(e.Origins, ", ")
}

// ErrOutcomeUnknown is returned when a document may or may not have been applied.
var ErrOutcomeUnknown = errors.New("whether it was taken is not known; see which revision is in force")

// Options configures a Server.
type Options struct {
	Store        *settings.Store
	Hosts        Hosts
	Installation Installation // nil for an instance that does not share its settings
}

// Server serves the API.
type Server struct {
	options  Options
	watchers atomic.Int64
	http     *http.Server
}

// Listen opens the socket. A TCP address is rejected, because callers cannot be authenticated there.
func Listen(address string) (net.Listener, error) {
	path, ok := strings.CutPrefix(address, "unix:")
	if !ok || !filepath.IsAbs(path) {
		return nil, fmt.Errorf("control address %q: only unix:/absolute/path is supported; "+
			"TCP would need mutual TLS, which is not implemented", address)
	}
	// Bound at a temporary path and renamed. The path thus always leads to a socket while one process replaces another,
	// and never to a socket with wider permissions.
	dir, err := os.MkdirTemp(filepath.Dir(path), ".control")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	tempPath := filepath.Join(dir, "s") // in a folder that only the owner can access
	ln, err := net.ListenUnix("unix", &net.UnixAddr{Name: tempPath, Net: "unix"})
	if err != nil {
		return nil, err
	}
	ln.SetUnlinkOnClose(false)
	if err := errors.Join(os.Chmod(tempPath, 0o600), os.Rename(tempPath, path)); err != nil {
		ln.Close()
		return nil, err
	}
	return ln, nil
}

// Serve serves the API on ln until Close is called.
func Serve(ln net.Listener, o Options) *Server {
	s := &Server{options: o}
	path, handler := controlpbconnect.NewControlHandler(s, connect.WithReadMaxBytes(maxRequestBytes))
	mux := http.NewServeMux()
	mux.Handle(path, withTimeouts(handler))
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	s.http = &http.Server{Handler: mux, Protocols: protocols, ReadHeaderTimeout: readTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: 16 << 10, ErrorLog: slog.NewLogLogger(slog.Default().Handler(), slog.LevelInfo)}
	go func() {
		if err := s.http.Serve(netutil.LimitListener(ln, maxConnections)); err != http.ErrServerClosed {
			slog.Error("control", "state", "ended", "error", err)
		}
	}()
	return s
}

// Close closes the listener and all connections.
func (s *Server) Close() { s.http.Close() }

// withTimeouts limits the time for reading a request's body, and for each write of a response whose caller does not
// read.
func withTimeouts(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		controller := http.NewResponseController(w)
		controller.SetReadDeadline(time.Now().Add(readTimeout))
		r.Body = &requestBody{http.MaxBytesReader(w, r.Body, 2*maxRequestBytes), controller}
		next.ServeHTTP(&responseWriter{w, controller}, r)
	})
}

// requestBody clears the read deadline once the body has been read, because a Watch call stays open for longer.
type requestBody struct {
	io.ReadCloser
	controller *http.ResponseController
}

func (b *requestBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.controller.SetReadDeadline(time.Time{})
	}
	return n, err
}

// responseWriter sets a write deadline before each write.
type responseWriter struct {
	http.ResponseWriter
	controller *http.ResponseController
}

func (b *responseWriter) Write(p []byte) (int, error) {
	b.controller.SetWriteDeadline(time.Now().Add(writeTimeout))
	return b.ResponseWriter.Write(p)
}

func (b *responseWriter) Flush()                      { b.controller.Flush() }
func (b *responseWriter) Unwrap() http.ResponseWriter { return b.ResponseWriter }

// Get returns the current revision.
func (s *Server) Get(context.Context, *connect.Request[pb.GetRequest]) (*connect.Response[pb.GetResponse], error) {
	r, readOnly := s.options.Store.Current()
	return connect.NewResponse(&pb.GetResponse{Revision: r, Effective: settings.Effective(r.Settings),
		ReadOnly: readOnly}), nil
}

// Check returns the faults with which Apply would reject a document.
func (s *Server) Check(
	_ context.Context, r *connect.Request[pb.CheckRequest],
) (*connect.Response[pb.CheckResponse], error) {
	out := &pb.CheckResponse{}
	for _, f := range settings.Check(r.Msg.Settings) {
		out.Faults = append(out.Faults, &pb.Fault{Path: f.Path, Text: f.Text})
	}
	return connect.NewResponse(out), nil
}

// Apply applies a document as a whole or not at all. Its error codes are invalid argument for a document with faults,
// with each fault as a detail; aborted for a document made from a revision that is not the current one; failed
// precondition at an instance that is not an origin; unknown if the document may or may not have taken effect; and
// unavailable if no document can be applied now.
func (s *Server) Apply(
	ctx context.Context, r *connect.Request[pb.ApplyRequest],
) (*connect.Response[pb.ApplyResponse], error) {
	revision, err := s.apply(ctx, r.Msg)
	var faults settings.Faults
	var stale settings.StaleError
	var notOrigin NotOriginError
	switch {
	case err == nil:
		slog.Info("settings", "state", "taken", "revision", revision.Number)
		return connect.NewResponse(&pb.ApplyResponse{Revision: revision}), nil
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
	case errors.As(err, &notOrigin):
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

// Instances returns the status of every instance of the installation. Without an installation the error code is failed
// precondition.
func (s *Server) Instances(
	ctx context.Context, _ *connect.Request[pb.InstancesRequest],
) (*connect.Response[pb.InstancesResponse], error) {
	if s.options.Installation == nil {
		return nil, connect.NewError(connect.CodeFailedPrecondition,
			errors.New("this instance was started without a roster"))
	}
	return connect.NewResponse(s.options.Installation.Instances(ctx)), nil
}

// Watch sends every revision once and in order.
func (s *Server) Watch(
	ctx context.Context, r *connect.Request[pb.WatchRequest], out *connect.ServerStream[pb.WatchResponse],
) error {
	if s.watchers.Add(1) > maxWatchers {
		s.watchers.Add(-1)
		return connect.NewError(connect.CodeResourceExhausted, fmt.Errorf("%d watch already", maxWatchers))
	}
	defer s.watchers.Add(-1)
	if err := out.Send(nil); err != nil { // sends the headers, so that the caller knows that the watch has begun
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

// Hosts returns the merged list of hosts, and the state of its sources.
func (s *Server) Hosts(
	context.Context, *connect.Request[pb.HostsRequest],
) (*connect.Response[pb.HostsResponse], error) {
	out := &pb.HostsResponse{}
	hosts, faults := s.options.Hosts.Hosts()
	now := s.options.Hosts.Now()
	count := map[string]uint32{}
	for _, h := range hosts {
		host := &pb.Host{Name: h.ID, Sources: h.Sources, State: "up", Why: h.Reason, Zone: h.Zone, Kind: h.Kind,
			Share: h.Weight}
		if h.State != topazfall.Ready {
			host.State = "draining"
		}
		for _, a := range h.Addrs {
			host.Addresses = append(host.Addresses, a.String())
		}
		if len(h.Addrs) == 0 {
			host.Addresses = []string{h.Addr}
		}
		if h.Expires != 0 {
			host.Remaining = durationpb.New(time.Duration(max(h.Expires-now, 0)) * time.Microsecond)
		}
		for _, name := range h.Sources {
			count[name]++
		}
		out.Hosts = append(out.Hosts, host)
	}
	out.Sources = append(out.Sources, &pb.Source{Name: "roster", Hosts: count["roster"]})
	for _, name := range slices.Sorted(maps.Keys(faults)) {
		out.Sources = append(out.Sources,
			&pb.Source{Name: "srv:" + name, Fault: faults[name], Hosts: count["srv:"+name]})
	}
	return connect.NewResponse(out), nil
}
