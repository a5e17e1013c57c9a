// Command review-2 holds the stand-ins of the cases 6 to 10 of the second review: clients, workers, a discovery and a
// proxy for call-backs. Its argument is the number of a case. It starts the project's own programs as separate
// processes, with the run line of the deploy file, and ends with 1 if the rule of the case was broken, with 0 if it
// held and with 2 if the case could not run.
package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	held    = 0
	broken  = 1
	cantRun = 2
)

// readyTimeout is how long a started process may take to answer /ready.
const readyTimeout = 10 * time.Second

// bench is one run of a case: its record, its temporary folder and the processes that it started.
type bench struct {
	trouble bool
	folder  string // temporary
	start   time.Time

	mu        sync.Mutex
	record    *os.File
	processes []*process
	lines     int
}

// newBench opens the record of a case.
func newBench(number string) (*bench, error) {
	record, err := os.Create(filepath.Join("review", number, "record.txt"))
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-"+number+"-")
	if err != nil {
		return nil, err
	}
	return &bench{trouble: os.Getenv("TROUBLE") != "0", folder: folder, start: time.Now(), record: record}, nil
}

// note writes a line into the record, with the time since the start in milliseconds.
func (b *bench) note(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	fmt.Fprintf(b.record, "%8d ms  %s\n", time.Since(b.start).Milliseconds(), fmt.Sprintf(format, args...))
}

// close ends all processes that were started and removes the temporary folder.
func (b *bench) close() {
	for _, p := range b.processes {
		p.kill()
	}
	os.RemoveAll(b.folder)
	b.record.Close()
}

// process is one started program.
type process struct {
	*exec.Cmd
	name, listen, management string
	log                      string
	ended                    chan struct{}
}

// kill ends the process at once, if it still runs.
func (p *process) kill() {
	p.Process.Kill()
	<-p.ended
}

// dispatcherOptions describe one dispatcher process.
type dispatcherOptions struct {
	run                      string // the line that the shell runs
	name, listen, management string
	config                   string
}

// startDispatcher starts a dispatcher as the platform does: by the shell, from the root, with its private TMPDIR.
func (b *bench) startDispatcher(o dispatcherOptions) (*process, error) {
	tmp := filepath.Join(b.folder, "tmp-"+o.name)
	if err := os.MkdirAll(tmp, 0o700); err != nil {
		return nil, err
	}
	p := &process{Cmd: exec.Command("/bin/sh", "-c", o.run), name: o.name, listen: o.listen, management: o.management,
		log: filepath.Join(b.folder, fmt.Sprintf("%s-%d.log", o.name, len(b.processes))), ended: make(chan struct{})}
	log, err := os.Create(p.log)
	if err != nil {
		return nil, err
	}
	p.Env = append(os.Environ(), "LB_CONFIG="+o.config, "LB_NAME="+o.name, "LB_LISTEN="+o.listen,
		"LB_MANAGEMENT="+o.management, "TMPDIR="+tmp)
	p.Stdout, p.Stderr = log, log
	p.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.Start(); err != nil {
		return nil, err
	}
	go func() {
		p.Wait()
		log.Close()
		close(p.ended)
	}()
	b.processes = append(b.processes, p)
	b.note("started %s, process %d, listen %s", o.run, p.Process.Pid, o.listen)
	return p, b.awaitReady(p)
}

// awaitReady waits until the second address of a process says yes.
func (b *bench) awaitReady(p *process) error {
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		select {
		case <-p.ended:
			return fmt.Errorf("process %d has ended", p.Process.Pid)
		default:
		}
		if answer, err := client.Get("http://" + p.management + "/-/ready"); err == nil {
			answer.Body.Close()
			if answer.StatusCode == http.StatusOK {
				b.note("process %d is ready", p.Process.Pid)
				return nil
			}
		}
	}
	return fmt.Errorf("process %d was not ready in time", p.Process.Pid)
}

// copyLog appends the lines of a process's log that contain one of the words to the record.
func (b *bench) copyLog(p *process, words ...string) {
	text, _ := os.ReadFile(p.log)
	for line := range strings.SplitSeq(string(text), "\n") {
		for _, word := range words {
			if strings.Contains(line, word) && b.lines < 400 {
				b.lines++
				b.note("log of %d: %.300s", p.Process.Pid, line)
				break
			}
		}
	}
}

// copyLogs does the same for all processes.
func (b *bench) copyLogs(words ...string) {
	for _, p := range b.processes {
		b.copyLog(p, words...)
	}
}

// freeAddress returns an address of 127.0.0.1 with a free port.
func freeAddress() string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "127.0.0.1:0"
	}
	defer ln.Close()
	return ln.Addr().String()
}

// object is a JSON object.
type object = map[string]any

// writeConfig writes the configuration of a dispatcher, with the settings of a small deployment like cairo-east.
func (b *bench) writeConfig(name, discovery string, limits object, hosts []host, change func(settings object)) string {
	settings := object{
		"me": 0, "replicas_of_me": 1, "my_zone": "hall-a", "areas": []string{"hall-a"}, "skus": []string{"large"},
		"tick_us": 4000, "over_share_worth": 0.05, "weight_kind": "nominal", "discovery": "automatic",
		"classes": []object{
			{"name": "lookup", "aim_us": 250000, "deadline_us": 5000000, "group": "all", "late_worth": 0, "points": 1,
				"repeat": "retryable", "window_us": 5000000},
			{"name": "dispute-extract", "aim_us": 800000, "deadline_us": 25000000, "group": "all", "late_worth": 0,
				"points": 10, "repeat": "fragile", "window_us": 5000000}},
		"realms": []object{{"name": "delta-mobile", "share": 0.61, "quota_per_s": 15},
			{"name": "sinai-tel", "share": 0.39, "quota_per_s": 9}},
		"contract": object{"answer_slack_us": 16000, "ask_every_us": 10000000, "cold_from": 0.32,
			"drain_grace_us": 500000, "fall_multiple": 2.5, "fall_us": 3000000, "ramp_time_us": 8900000},
		"allowed": object{"cancel": true, "conn_idle_us": 60000000, "cpu_us_per_s": 800000, "dial_timeout_us": 250000,
			"max_retry_after_us": 2000000, "may_probe": true, "parallel_tries": true, "peer_messages": false,
			"retry_after": true, "send_cap": 6, "streams_per_conn": 1},
		"domain": object{"class_kind": []int{-1, -1}, "class_priority": []int{0, 1}, "class_stretch": []float64{2, 2},
			"tells_start": true, "progress_us": 2000000},
		"stats": object{"fields": []string{"pending", "x0"}, "source": "answers"},
	}
	if change != nil {
		change(settings)
	}
	config := object{"name": name, "listen": "127.0.0.1:0", "discovery": discovery, "seed": "8c1f30d27a5be964",
		"limits": limits, "known": object{"seq": 1, "whole": true, "hosts": hosts}, "settings": settings}
	path := filepath.Join(b.folder, name+".json")
	text, _ := json.Marshal(config)
	if err := os.WriteFile(path, text, 0o600); err != nil {
		b.note("config: %v", err)
	}
	return path
}
