// Package main plays case 2: a job that was taken as one that must not run twice goes to a process whose settings let
// its class be repeated, and its worker dies.
package main

import (
	"time"

	"topazfall/review/stand"
)

const (
	jobTime       = 4 * time.Second
	reloadDelay   = 1100 * time.Millisecond // SIGHUP never comes within the first second
	classUsable   = 1300 * time.Millisecond // after SIGHUP; new classes are used after 1.2 s
	termDelay     = 100 * time.Millisecond  // from the new process's yes to SIGTERM
	killDelay     = 3700 * time.Millisecond
	jobClass      = "usage-report"
	clientTimeout = 10 * time.Second
)

func main() { stand.Main(play) }

// withEffect returns a change of the configuration to the small site with this effect of the job's class.
func withEffect(repeat string) func(config map[string]any) {
	return func(config map[string]any) {
		stand.SmallSite(config)
		classes := config["settings"].(map[string]any)["classes"].([]any)
		classes[2] = stand.Class(jobClass, repeat, 1_000_000, 20_000_000, 2)
	}
}

func play(c *stand.Case) error {
	// The first attempt ends because the worker's process dies, and the machine's agent says so; any other is served.
	attempts := 0
	job := func(string, int) stand.Job {
		if attempts++; attempts == 1 {
			return stand.Job{Duration: jobTime, EndState: "lost"}
		}
		return stand.Job{Duration: jobTime / 3}
	}
	for _, name := range []string{"s-1", "s-2", "s-3"} {
		if _, err := c.AddWorker(name, "up", job); err != nil {
			return err
		}
	}
	old, err := c.Start("", withEffect("retryable"))
	if err != nil {
		return err
	}
	reload := func(repeat string, delay time.Duration) error {
		time.Sleep(delay)
		if _, err := old.Configure(withEffect(repeat)); err != nil {
			return err
		}
		c.Record.Add("SIGHUP: %s is %s", jobClass, repeat)
		return old.Reload()
	}
	if err := reload("fragile", reloadDelay); err != nil {
		return err
	}
	time.Sleep(classUsable)
	replies := make(chan stand.Reply, 1)
	go func() {
		replies <- stand.Send(old.Address(), stand.Request{ID: "0c", Class: jobClass, Tenant: "delta-mobile",
			Timeout: clientTimeout, Cost: jobTime, Body: "report"}, c.Record)
	}()
	if err := reload("retryable", jobTime/16); err != nil {
		return err
	}
	if c.Trouble {
		if _, err := c.Start(old.Address(), withEffect("retryable")); err != nil {
			return err
		}
		time.Sleep(termDelay)
		c.Record.Add("SIGTERM to the old process")
		if err := old.Terminate(); err != nil {
			return err
		}
		if old.Wait(killDelay) != nil {
			c.Record.Add("SIGKILL to the old process")
			old.Kill()
		}
	}
	judge(c, <-replies)
	return nil
}

// judge checks what clients and workers have seen: after an attempt that may have run no other one is sent, and the
// request is not refused.
func judge(c *stand.Case, reply stand.Reply) {
	attempts := c.Attempts(reply.ID)
	c.Record.Print("client: %d %q; attempts: %d", reply.Status, reply.Body, len(attempts))
	for i, a := range attempts[min(1, len(attempts)):] {
		c.Break("attempt %d, at %s, of a job that was taken as fragile and had begun before", i+1, a.Worker)
	}
	if (reply.Status == 429 || reply.Status == 503) && len(attempts) > 0 {
		c.Break("refused with %d, though it has begun", reply.Status)
	}
}
