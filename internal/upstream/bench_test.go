package upstream

import (
	"bytes"
	"io"
	"log"
	"log/slog"
	"net"
	"runtime"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"topazfall"
	"topazfall/internal/dispatch"
	"topazfall/internal/exchange"
	"topazfall/internal/metrics"
)

// noDiscovery ignores requests for the list of hosts.
type noDiscovery struct{}

func (noDiscovery) Follow() {}
func (noDiscovery) Fetch()  {}

// BenchmarkMessage sends messages through the dispatch goroutine and a Transport to a host with one address: on kept
// connections, and on a new connection for each message.
func BenchmarkMessage(b *testing.B) {
	log.SetOutput(io.Discard)
	slog.SetDefault(slog.New(slog.NewTextHandler(io.Discard, nil)))
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	defer ln.Close()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				buf := make([]byte, 4096)
				for {
					n, err := c.Read(buf)
					if err != nil {
						return
					}
					if bytes.HasSuffix(buf[:n], []byte("end")) {
						io.WriteString(c, "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n")
					}
				}
			}()
		}
	}()
	for _, runOnce := range []bool{false, true} {
		b.Run(map[bool]string{false: "kept", true: "new"}[runOnce], func(b *testing.B) {
			f := &metrics.Metrics{}
			core, err := dispatch.New(topazfall.Settings{Dispatchers: 1, Zone: "z", Zones: []string{"z"}, Tick: 4000,
				Classes: []topazfall.Class{{Name: "a", Deadline: 60e6, Aim: 60e6, Repeat: topazfall.Safe}},
				Allowed: topazfall.Allowed{Attempts: 4, DialTimeout: 250e3, Cancel: true}}, f)
			require.NoError(b, err)
			transport := New(core,
				Options{ConnSettings: ConnSettings{DialTimeout: time.Second, IdleTimeout: time.Minute}, MaxConns: 64,
					Metrics: f})
			go core.Run(transport, noDiscovery{})
			core.ApplyList(topazfall.ListRestored,
				[]dispatch.Entry{{Addr: ln.Addr().String(), Worker: topazfall.Worker{ID: "h", Zone: "z", Kind: "k"}}})
			body := []byte("a message with its end")
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				x := exchange.New(exchange.Message{ID: strconv.Itoa(i), Method: "POST", Path: "/api", Body: body,
					Tenant: -1, Due: core.Now() + 60e6, Once: runOnce})
				core.Submit(x)
				core.Sync() // after this the relay exists
				for !x.Relays[0].IsAccepted() {
					runtime.Gosched()
				}
				core.PostCallback(dispatch.Callback{ID: x.ID, From: "h", State: dispatch.Finished,
					Outcome: topazfall.Completed, Load: topazfall.NoLoad})
				<-x.Answer()
			}
		})
	}
}
