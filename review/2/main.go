// Package main plays case 2: a job that must not run twice is under way while its class goes, comes back with another
// effect, and the process is replaced. Then its worker dies.
package main

import (
	"fmt"
	"sync/atomic"
	"time"

	"topazfall/internal/lab/program"
	"topazfall/review/stand"
)

const (
	jobTime       = 4 * time.Second
	reloadDelay   = 1100 * time.Millisecond // SIGHUP never comes within the first second
	reloadLimit   = 1200 * time.Millisecond // for a file to be taken
	termDelay     = 100 * time.Millisecond  // from the new process's yes to SIGTERM
	killDelay     = 3700 * time.Millisecond
	clientTimeout = 12 * time.Second
	jobClass      = "usage-report"
)

func main() { stand.Main(play) }

// withClass returns a change of the configuration to the small site with this effect of the job's class, or without
// the class if the effect is empty.
func withClass(effect string) func(config map[string]any) {
	return func(config map[string]any) {
		stand.SmallSite(config)
		settings := config["settings"].(map[string]any)
		classes := settings["classes"].([]any)[:2]
		if effect != "" {
			classes = append(classes, stand.Class(jobClass, effect, 1_000_000, 20_000_000, 2))
		}
		settings["classes"] = classes
	}
}

func play(c *stand.Case) error {
	// The first attempt ends because the worker's process dies, and the machine's agent says so; any other is served.
	var attempts atomic.Int32
	job := func(string, int) stand.Job {
		if attempts.Add(1) == 1 {
			return stand.Job{Duration: jobTime, EndState: "lost"}
		}
		return stand.Job{Duration: jobTime / 4}
	}
	for _, name := range []string{"s-1", "s-2", "s-3"} {
		if _, err := c.AddWorker(name, "up", job); err != nil {
			return err
		}
	}
	old, err := c.Start("", withClass("fragile"))
	if err != nil {
		return err
	}
	time.Sleep(reloadDelay)
	replies := make(chan stand.Reply, 1)
	go func() {
		replies <- stand.Send(old.Address(), stand.Request{ID: "0c", Class: jobClass, Tenant: "delta-mobile",
			Timeout: clientTimeout, Cost: jobTime, Body: "report"}, c.Record)
	}()
	if !c.AwaitAttempts("0c", 1) {
		return fmt.Errorf("the job has not reached a worker")
	}
	for i, effect := range []string{"", "retryable"} { // the class goes, and comes
		if err := reload(c, old, effect, i+1); err != nil {
			return err
		}
	}
	if c.Trouble {
		if _, err := c.Start(old.Address(), withClass("retryable")); err != nil {
			return err
		}
		time.Sleep(termDelay)
		if _, err := c.Terminate(old, killDelay); err != nil {
			return err
		}
	}
	return judge(c, <-replies)
}

// reload replaces the configuration, sends SIGHUP and waits until the file of this number is taken.
func reload(c *stand.Case, p *program.Process, effect string, number int) error {
	if _, err := p.Configure(withClass(effect)); err != nil {
		return err
	}
	c.Record.Add("SIGHUP: the effect of %s is %q", jobClass, effect)
	if err := p.Reload(); err != nil {
		return err
	}
	for end := time.Now().Add(reloadLimit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if m, err := p.Metrics(); err == nil && m["app_sighup_applied_total"] == float64(number) {
			return nil
		}
	}
	return fmt.Errorf("file %d was not taken within %v", number, reloadLimit)
}

// judge checks what clients and workers have seen: after an attempt that may have run no other one is sent, and the
// request is not refused. No worker here turns an attempt away, so each that was accepted may have run.
func judge(c *stand.Case, reply stand.Reply) error {
	attempts := c.Attempts(reply.ID)
	c.Record.Print("client: %d %q; attempts: %d", reply.Status, reply.Body, len(attempts))
	mayHaveRun := 0
	for i, a := range attempts {
		if mayHaveRun > 0 {
			c.Break("attempt %d, at %s, of a job that was taken as fragile and that a worker has begun", i, a.Worker)
		}
		if !a.Accepted.IsZero() {
			mayHaveRun++
		}
	}
	if (reply.Status == 429 || reply.Status == 503) && mayHaveRun > 0 {
		c.Break("refused with %d, though a worker has begun it", reply.Status)
	}
	if mayHaveRun == 0 {
		return fmt.Errorf("no worker has accepted the job")
	}
	return nil
}
