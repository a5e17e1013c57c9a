package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"topazfall/internal/lab/client"
)

const (
	connectTime = time.Second
	againAfter  = 50 * time.Millisecond // until a client that could not connect tries again
	listenOn    = time.Second           // beyond its time a client still listens
	hurried     = 10                    // one request in so many has very little time left
	leastWait   = 5 * time.Millisecond
	littleWait  = 60 * time.Millisecond
	restOneIn   = 20 // pauses that are long
	longRest    = 3 * time.Second
)

// caller is one client of a dispatcher, which keeps its connection for as long as that is open.
type caller struct {
	*member
	drawer
	prefix     string
	number     int
	connection *client.Connection
}

// call brings requests until the context ends.
func (m *member) call(ctx context.Context, number int) {
	seed := m.plan.Seed<<16 | uint64(m.index)<<8 | uint64(number)
	c := &caller{member: m, drawer: drawer{rand.New(rand.NewPCG(seed, 40))},
		prefix: fmt.Sprintf("%s-%d-%d", m.name, m.plan.Seed, number)}
	defer func() {
		if c.connection != nil {
			c.connection.Close()
		}
	}()
	for ctx.Err() == nil {
		if !c.connect() {
			sleep(ctx, againAfter)
			continue
		}
		c.bring(c.delivery())
		pause := time.Duration(c.ExpFloat64() * float64(m.plan.MeanPause))
		if c.oneIn(restOneIn) {
			pause = c.between(0, longRest)
		}
		sleep(ctx, pause)
	}
}

// connect makes sure of a connection, and tells whether there is one.
func (c *caller) connect() bool {
	if c.connection != nil && !c.connection.IsUnusable() {
		return true
	}
	if c.connection != nil {
		c.connection.Close()
		c.connection = nil
	}
	if !c.open() {
		return false
	}
	connection, err := client.Connect(c.rig.Process(c.name).Address(), connectTime)
	if err != nil {
		return false
	}
	c.connection = connection
	return true
}

// open tells whether the front still brings new connections to the dispatcher.
func (m *member) open() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.closedFor.IsZero() || time.Now().Before(m.closedFor)
}

// delivery draws the next request.
func (c *caller) delivery() client.Delivery {
	classes := c.history.Terms.Classes
	wait := c.between(c.plan.Deadline/2, c.plan.Deadline)
	if c.oneIn(hurried) {
		wait = c.between(leastWait, littleWait)
	}
	d := client.Delivery{Behavior: c.manner(), Pause: c.between(time.Millisecond, 80*time.Millisecond), ReadGrace: listenOn,
		SecondID: c.id()}
	d.Message = client.Message{ID: c.id(), Class: classes[c.IntN(len(classes))].Name, Tenant: "delta-mobile",
		Body: []byte("a request of the soak"), Timeout: wait.Truncate(time.Millisecond)}
	d.Key = d.ID
	if d.Behavior.ViolatesProtocol() {
		d.ReadGrace = errorOwed + listenOn
	}
	return d
}

func (c *caller) id() string {
	c.number++
	return fmt.Sprintf("%s-%d", c.prefix, c.number)
}

// bring brings a request. One that nobody has read it brings once more, on a new connection.
func (c *caller) bring(d client.Delivery) {
	if c.once(d) != client.ResetUnread || !c.connect() {
		return
	}
	c.once(d)
}

func (c *caller) once(d client.Delivery) client.Outcome {
	reused := c.connection.HasServed()
	result := c.connection.Do(d)
	c.note(func(time.Time) {
		c.history.Requests = append(c.history.Requests, Request{Delivery: d, Result: result, Process: c.name,
			Reused: reused, DescriptorsExhausted: c.plan.IdleClients > 0 && c.index == 0})
	})
	return result.Outcome
}

// sleep waits for so long, or until the context ends.
func sleep(ctx context.Context, pause time.Duration) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
