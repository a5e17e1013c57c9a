package client

import (
	"io"
	"net"
	"sync"
	"time"
)

// IdleClients is many idle clients that connect, stay, and come again when they are sent away. Most say nothing; every third
// brings something of use first, and may be quiet for long after that.
type IdleClients struct {
	stop     chan struct{}
	stopOnce sync.Once
	wait     sync.WaitGroup
}

const (
	comeAgain  = time.Second // of each of the crowd, after it has been sent away
	usefulPart = 3           // one in so many brings something of use
)

// useful is a call-back for a job that nobody has.
const useful = "POST /v1/job-events HTTP/1.1\r\nHost: x\r\nContent-Length: 41\r\n\r\n" +
	`{"id":"none","from":"","state":"started"}`

// StartIdleClients lets so many clients come to an address.
func StartIdleClients(address string, size int) *IdleClients {
	c := &IdleClients{stop: make(chan struct{})}
	for i := range size {
		c.wait.Go(func() { c.idle(address, i%usefulPart == 0) })
	}
	return c
}

// Stop sends them all away, and returns when they have gone.
func (c *IdleClients) Stop() {
	c.stopOnce.Do(func() { close(c.stop) })
	c.wait.Wait()
}

func (c *IdleClients) idle(address string, proves bool) {
	for {
		c.stay(address, proves)
		select {
		case <-c.stop:
			return
		case <-time.After(comeAgain):
		}
	}
}

// stay connects, and returns when the connection has ended or the crowd disperses.
func (c *IdleClients) stay(address string, proves bool) {
	nc, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return
	}
	defer nc.Close()
	ended := make(chan struct{})
	go func() {
		if proves {
			io.WriteString(nc, useful)
		}
		io.Copy(io.Discard, nc) // until it is sent away
		close(ended)
	}()
	select {
	case <-ended:
	case <-c.stop:
	}
}
