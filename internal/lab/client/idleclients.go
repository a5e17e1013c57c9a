package client

import (
	"io"
	"net"
	"sync"
	"time"
)

// IdleClients is a set of clients that connect, stay idle, and reconnect after the dispatcher closes their connections.
// Most send nothing. Every third one sends a callback first: the dispatcher then counts its connection as proven and
// lets it stay idle for longer.
type IdleClients struct {
	stop     chan struct{}
	stopOnce sync.Once
	running  sync.WaitGroup
}

const (
	reconnectDelay = time.Second // of each client, after its connection has ended
	callbackEvery  = 3           // every third client sends a callback first
)

// unknownJobCallback is a callback for a job that does not exist.
const unknownJobCallback = "POST /v1/job-events HTTP/1.1\r\nHost: x\r\nContent-Length: 41\r\n\r\n" +
	`{"id":"none","from":"","state":"started"}`

// StartIdleClients connects count idle clients to an address.
func StartIdleClients(address string, count int) *IdleClients {
	c := &IdleClients{stop: make(chan struct{})}
	for i := range count {
		c.running.Go(func() { c.run(address, i%callbackEvery == 0) })
	}
	return c
}

// Stop closes all connections, and returns when all clients have ended.
func (c *IdleClients) Stop() {
	c.stopOnce.Do(func() { close(c.stop) })
	c.running.Wait()
}

// run keeps one client connected: whenever its connection has ended, it opens another one, until Stop is called. If
// sendsCallback is set, the client sends a callback at the beginning of each connection.
func (c *IdleClients) run(address string, sendsCallback bool) {
	for {
		c.holdConnection(address, sendsCallback)
		select {
		case <-c.stop:
			return
		case <-time.After(reconnectDelay):
		}
	}
}

// holdConnection opens one connection, and returns when it has ended or Stop is called.
func (c *IdleClients) holdConnection(address string, sendsCallback bool) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return
	}
	defer conn.Close()
	ended := make(chan struct{})
	go func() {
		if sendsCallback {
			io.WriteString(conn, unknownJobCallback)
		}
		io.Copy(io.Discard, conn) // until the dispatcher closes the connection
		close(ended)
	}()
	select {
	case <-ended:
	case <-c.stop:
	}
}
