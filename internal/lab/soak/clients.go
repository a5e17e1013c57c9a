package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"topazfall/internal/lab/client"
)

const (
	connectTimeout = time.Second
	reconnectDelay = 50 * time.Millisecond // until a client that could not connect retries
	extraReadTime  = time.Second           // for which a client still reads after the request's timeout
	shortWaitOneIn = 10                    // one request in this many has a very short timeout
	minShortWait   = 5 * time.Millisecond
	maxShortWait   = 60 * time.Millisecond
	longPauseOneIn = 20 // one pause in this many is long
	maxLongPause   = 3 * time.Second
)

// loadClient is one client of a dispatcher. It reuses its connection until that is closed.
type loadClient struct {
	*member
	generator
	prefix     string
	requests   int // ids given so far
	connection *client.Connection
}

// runClient sends requests until the context ends.
func (m *member) runClient(ctx context.Context, number int) {
	seed := m.plan.Seed<<16 | uint64(m.index)<<8 | uint64(number)
	c := &loadClient{member: m, generator: generator{rand.New(rand.NewPCG(seed, 40))},
		prefix: fmt.Sprintf("%s-%d-%d", m.name, m.plan.Seed, number)}
	defer func() {
		if c.connection != nil {
			c.connection.Close()
		}
	}()
	for ctx.Err() == nil {
		if !c.ensureConnected() {
			sleep(ctx, reconnectDelay)
			continue
		}
		c.deliver(c.drawDelivery())
		pause := time.Duration(c.ExpFloat64() * float64(m.plan.MeanPause))
		if c.oneIn(longPauseOneIn) {
			pause = c.between(0, maxLongPause)
		}
		sleep(ctx, pause)
	}
}

// ensureConnected opens a connection if there is no usable one, and reports whether there is one now.
func (c *loadClient) ensureConnected() bool {
	if c.connection != nil && !c.connection.IsUnusable() {
		return true
	}
	if c.connection != nil {
		c.connection.Close()
		c.connection = nil
	}
	if !c.acceptsConnections() {
		return false
	}
	connection, err := client.Connect(c.rig.Process(c.name).Address(), connectTimeout)
	if err != nil {
		return false
	}
	c.connection = connection
	return true
}

// acceptsConnections reports whether clients may open new connections. For a while after SIGTERM they may, as with a
// load balancer in front of the dispatchers that has not noticed it yet.
func (m *member) acceptsConnections() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.connectableUntil.IsZero() || time.Now().Before(m.connectableUntil)
}

// drawDelivery draws the next request.
func (c *loadClient) drawDelivery() client.Delivery {
	classes := c.history.Terms.Classes
	timeout := c.between(c.plan.Deadline/2, c.plan.Deadline)
	if c.oneIn(shortWaitOneIn) {
		timeout = c.between(minShortWait, maxShortWait)
	}
	d := client.Delivery{Behavior: c.clientBehavior(), Pause: c.between(time.Millisecond, 80*time.Millisecond),
		ReadGrace: extraReadTime, SecondID: c.nextID()}
	d.Message = client.Message{ID: c.nextID(), Class: classes[c.IntN(len(classes))].Name, Tenant: "delta-mobile",
		Body: []byte("a request of the soak"), Timeout: timeout.Truncate(time.Millisecond)}
	d.Key = d.ID
	if d.Behavior.ViolatesProtocol() {
		d.ReadGrace = errorDeadline + extraReadTime
	}
	return d
}

func (c *loadClient) nextID() string {
	c.requests++
	return fmt.Sprintf("%s-%d", c.prefix, c.requests)
}

// deliver sends a request. If the connection was reset before the request was read, it sends it once more on a new
// connection.
func (c *loadClient) deliver(d client.Delivery) {
	if c.deliverOnce(d) != client.ResetUnread || !c.ensureConnected() {
		return
	}
	c.deliverOnce(d)
}

// deliverOnce sends a request on the current connection and records the result.
func (c *loadClient) deliverOnce(d client.Delivery) client.Outcome {
	reused := c.connection.HasServed()
	result := c.connection.Do(d)
	c.record(func(time.Time) {
		c.history.Requests = append(c.history.Requests, Request{Delivery: d, Result: result, Process: c.name,
			Reused: reused, DescriptorsExhausted: c.plan.IdleClients > 0 && c.index == 0})
	})
	return result.Outcome
}

// sleep waits for the pause, or until the context ends.
func sleep(ctx context.Context, pause time.Duration) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
