package stand

import (
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"topazfall/internal/lab/discoveryserver"
	"topazfall/internal/lab/program"
)

// maxLength is the time after which a case ends by itself.
const maxLength = 110 * time.Second

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// Case is a running case with its stand-ins and processes.
type Case struct {
	Record    *Record
	Discovery *discoveryserver.Server
	Trouble   bool // the disruption takes place

	dir       string
	workers   []*Worker
	processes []*program.Process
	broken    bool
}

// Main plays a case and ends the program with the case's exit code: 1 if the rule was broken, 0 if it held, 2 if the
// case could not run. The first argument is the path of the record. The environment's TROUBLE=0 leaves the disruption
// out.
func Main(play func(c *Case) error) {
	if len(os.Args) != 2 {
		fmt.Println("usage: CASE RECORD")
		os.Exit(exitNotRun)
	}
	c, err := open(os.Args[1])
	if err != nil {
		fmt.Println(err)
		os.Exit(exitNotRun)
	}
	result := make(chan error, 1)
	go func() { result <- play(c) }()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	select {
	case err = <-result:
	case <-time.After(maxLength):
		err = fmt.Errorf("the case did not end within %v", maxLength)
	case s := <-interrupted:
		err = fmt.Errorf("interrupted by %v", s)
	}
	os.Exit(c.close(err))
}

func open(record string) (*Case, error) {
	c := &Case{Trouble: os.Getenv("TROUBLE") != "0"}
	var err error
	if c.dir, err = os.MkdirTemp("", "case"); err != nil {
		return nil, err
	}
	if c.Record, err = NewRecord(record); err != nil {
		os.RemoveAll(c.dir)
		return nil, err
	}
	if c.Discovery, err = discoveryserver.Start(); err != nil {
		os.RemoveAll(c.dir)
		return nil, err
	}
	c.Record.Add("disruption: %v", c.Trouble)
	return c, nil
}

// close ends all processes and returns the exit code.
func (c *Case) close(err error) int {
	for i, p := range c.processes {
		p.Kill()
		c.Record.Add("log of process %d:\n%s", i, strings.ReplaceAll(p.Log(), c.dir, "$TMPDIR"))
	}
	for _, w := range c.workers {
		w.Close()
	}
	c.Discovery.Close()
	os.RemoveAll(c.dir)
	defer c.Record.Close()
	switch {
	case c.broken:
		c.Record.Print("result: the rule was broken")
		return exitBroken
	case err != nil:
		c.Record.Print("result: the case could not run: %v", err)
		return exitNotRun
	}
	c.Record.Print("result: the rule held")
	return exitHeld
}

// Break records that the rule was broken.
func (c *Case) Break(format string, values ...any) {
	c.broken = true
	c.Record.Print("broken: "+format, values...)
}

// AddWorker starts a worker and lists it with a health. job says what becomes of each attempt at it.
func (c *Case) AddWorker(name, health string, job func(id string, number int) Job) (*Worker, error) {
	w, err := StartWorker(name, c.Record, job)
	if err != nil {
		return nil, err
	}
	c.workers = append(c.workers, w)
	c.Discovery.Update(discoveryserver.Entry{Host: w.Name, Dial: w.Address(), Site: "hall-a", Class: "small",
		Health: health, Share: 1})
	return w, nil
}

// Start starts a dispatcher with the deploy file's command and waits until it says that it is ready. listen is the
// clients' address of the process that it replaces, or empty. edit changes the configuration.
func (c *Case) Start(listen string, edit func(config map[string]any)) (*program.Process, error) {
	p, err := program.Start(program.Options{ProgramPath: "/bin/sh", Args: []string{"-c", runCommand}, Dir: c.dir,
		Listen: listen, Discovery: c.Discovery.Address(), EditConfig: edit})
	if err != nil {
		return nil, err
	}
	c.processes = append(c.processes, p)
	for _, w := range c.workers {
		w.SetCallbacks(p.Address())
	}
	c.Record.Add("dispatcher %d is ready at %s, process %d", len(c.processes)-1, p.Address(), p.PID())
	return p, nil
}

// Terminate sends SIGTERM to a process, and SIGKILL after killDelay if it still runs. It returns when the process has
// ended, with the time of SIGTERM.
func (c *Case) Terminate(p *program.Process, killDelay time.Duration) (at time.Time, err error) {
	c.Record.Add("SIGTERM to the old process")
	at = time.Now()
	if err := p.Terminate(); err != nil {
		return at, err
	}
	if p.Wait(killDelay) != nil {
		c.Record.Add("SIGKILL to the old process")
		p.Kill()
	}
	return at, nil
}

// arrivalLimit limits AwaitAttempts.
const arrivalLimit = 2 * time.Second

// AwaitAttempts waits until workers have so many attempts of a request, and reports whether they have.
func (c *Case) AwaitAttempts(id string, count int) bool {
	for end := time.Now().Add(arrivalLimit); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if len(c.Attempts(id)) >= count {
			return true
		}
	}
	return false
}

// IsResult reports whether a worker has made this result for a request.
func (c *Case) IsResult(id, body string) bool {
	for _, w := range c.workers {
		for _, a := range w.Attempts() {
			if a.ID == id && w.Result(&a) == body {
				return true
			}
		}
	}
	return false
}

// Attempts returns the attempts of a request at all workers, in the order of their arrival.
func (c *Case) Attempts(id string) (list []Attempt) {
	for _, w := range c.workers {
		for _, a := range w.Attempts() {
			if a.ID == id {
				list = append(list, a)
			}
		}
	}
	for i := range list {
		for j := i; j > 0 && list[j].Arrived.Before(list[j-1].Arrived); j-- {
			list[j], list[j-1] = list[j-1], list[j]
		}
	}
	return list
}
