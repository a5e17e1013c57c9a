// Package program starts the dispatcher or the agent as a separate process on loopback addresses, for tests and
// measurements. The settings are written to a configuration file, as in a deployment.
package program

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/google/renameio/v2"
	jsoniter "github.com/json-iterator/go"
	"github.com/valyala/fasthttp"
)

// Options configure a process that Start or Launch starts.
type Options struct {
	ProgramPath string // path of the executable
	Args        []string
	Env         []string // added to the caller's environment and the variables that point to the configuration
	Dir         string   // folder for the configuration and temporary files
	Name        string   // dispatcher name, "" for n0
	Listen      string   // address for clients and host callbacks, "" for a free port
	Discovery   string   // address of the discovery server
	MaxSockets  int      // "sockets" limit of the configuration, 0 for 1,024
	MemoryMB    int      // 0 for 192
	MayProbe    bool
	DialTimeout time.Duration               // limit for connecting to a host, 0 for 250 ms
	IdleTimeout time.Duration               // after which idle connections to hosts are closed, 0 for 60 s
	MaxAttempts int                         // attempts for one request, 0 for 6
	Deadline    time.Duration               // of all classes, 0 for the defaults of 5 and 10 s
	Subscribe   bool                        // the dispatcher must request the worker list
	KnownHosts  string                      // last known list of hosts in discovery's JSON format, "" for none
	EditConfig  func(config map[string]any) // changes the configuration before it is written; nil for no change

	DescriptorLimit int // RLIMIT_NOFILE of the process, 0 to inherit the caller's
}

// Classes are the class names of the settings. Requests of the last two classes must run at most once.
var Classes = []string{"lookup", "dispute-extract", "usage-report"}

// IsAtMostOnce reports whether requests of a class must run at most once.
func IsAtMostOnce(class string) bool { return class != Classes[0] }

// Process is a dispatcher or agent that was started as a separate process.
type Process struct {
	options                          Options
	cmd                              *exec.Cmd
	clientAddress, managementAddress string
	configPath                       string         // configuration file
	configuration                    map[string]any // content of the configuration file
	log                              *logBuffer
	startedAt                        time.Time
	done                             chan struct{} // closed when the process has exited
}

// maxLogSize bounds the log that is kept in memory, in bytes: without a bound a process that logs in an endless loop
// would exhaust the machine's memory.
const maxLogSize = 64 << 20

// logBuffer collects the standard error of a process, up to a limit.
type logBuffer struct {
	mu      sync.Mutex
	content bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.content.Len() > maxLogSize {
		return len(p), nil
	}
	return b.content.Write(p)
}

func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.content.String()
}

// Settings returns the settings object of the configuration.
func Settings(o Options) map[string]any {
	newClass := func(name, repeat string, aim, deadline, points int) map[string]any {
		if o.Deadline > 0 {
			deadline = int(o.Deadline.Microseconds())
		}
		return map[string]any{"name": name, "aim_us": aim, "deadline_us": deadline, "points": points, "late_worth": 0,
			"repeat": repeat}
	}
	microsOrDefault := func(value, defaultValue time.Duration) int64 {
		if value == 0 {
			value = defaultValue
		}
		return value.Microseconds()
	}
	discovery := "automatic"
	if o.Subscribe {
		discovery = "subscribe"
	}
	attempts := o.MaxAttempts
	if attempts == 0 {
		attempts = 6
	}
	return map[string]any{
		"me": 0, "replicas_of_me": 1, "discovery": discovery, "my_zone": "hall-a", "areas": []string{"hall-a"},
		"skus": []string{"small"}, "tick_us": 4000,
		"classes": []any{newClass(Classes[0], "retryable", 2_000_000, 5_000_000, 1),
			newClass(Classes[1], "fragile", 2_000_000, 10_000_000, 10),
			newClass(Classes[2], "fragile", 2_000_000, 10_000_000, 2)},
		"realms": []any{map[string]any{"name": "delta-mobile", "share": 0.61, "quota_per_s": 3000},
			map[string]any{"name": "sinai-tel", "share": 0.39, "quota_per_s": 3000}},
		"contract": map[string]any{"answer_slack_us": 16000, "cold_from": 1, "drain_grace_us": 500000,
			"fall_multiple": 25, "fall_us": 3000000, "ramp_time_us": 1000},
		"allowed": map[string]any{"cancel": true, "conn_idle_us": microsOrDefault(o.IdleTimeout, time.Minute),
			"dial_timeout_us": microsOrDefault(o.DialTimeout, 250*time.Millisecond), "max_retry_after_us": 2000000,
			"may_probe": o.MayProbe, "parallel_tries": false, "retry_after": true, "send_cap": attempts},
		"domain": map[string]any{"class_stretch": []int{2, 2, 2}, "tells_start": false, "progress_us": 0},
		"stats":  map[string]any{"fields": []string{}, "source": "none"}}
}

// Start starts a process and waits until it is ready for clients.
func Start(o Options) (*Process, error) {
	p, err := Launch(o)
	if err != nil {
		return nil, err
	}
	if _, err := p.AwaitReady(20 * time.Second); err != nil {
		p.Kill()
		return nil, err
	}
	return p, nil
}

// AwaitReady waits until the process is ready for clients, and returns the time since its start. It fails when the
// process exits first or when limit has passed.
func (p *Process) AwaitReady(limit time.Duration) (time.Duration, error) {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if status, _, err := fasthttp.Get(nil, "http://"+p.managementAddress+"/-/ready"); err == nil && status == 200 {
			return time.Since(p.startedAt), nil
		}
		select {
		case <-p.done:
			return 0, fmt.Errorf("the program exited before it was ready: %s", p.log)
		default:
		}
	}
	return 0, fmt.Errorf("the program is not ready after %v: %s", limit, p.log)
}

// Launch starts a process without waiting until it is ready.
func Launch(o Options) (*Process, error) {
	if o.Name == "" {
		o.Name = "n0"
	}
	p := &Process{options: o, clientAddress: o.Listen, log: &logBuffer{}, done: make(chan struct{})}
	freeAddresses, err := FreeAddresses(2)
	if err != nil {
		return nil, err
	}
	if p.managementAddress = freeAddresses[0]; p.clientAddress == "" {
		p.clientAddress = freeAddresses[1]
	}
	orDefault := func(value, defaultValue int) int {
		if value == 0 {
			return defaultValue
		}
		return value
	}
	p.configuration = map[string]any{"name": o.Name, "listen": p.clientAddress, "discovery": o.Discovery, "seed": "1",
		"limits": map[string]any{"cores": 1, "memory_mb": orDefault(o.MemoryMB, 192),
			"sockets": orDefault(o.MaxSockets, 1024)},
		"settings": Settings(o)}
	if o.KnownHosts != "" {
		p.configuration["known"] = jsoniter.RawMessage(o.KnownHosts)
	}
	p.configPath = filepath.Join(o.Dir, fmt.Sprintf("%s-%d.json", o.Name, time.Now().UnixNano()))
	if _, err := p.Configure(o.EditConfig); err != nil {
		return nil, err
	}
	p.cmd = exec.Command(o.ProgramPath, o.Args...)
	if o.DescriptorLimit > 0 { // a shell sets the limit and then execs the program, so the limit is the program's alone
		shellArgs := []string{"-c", `ulimit -n "$0" && exec "$@"`, strconv.Itoa(o.DescriptorLimit), o.ProgramPath}
		p.cmd = exec.Command("/bin/sh", append(shellArgs, o.Args...)...)
	}
	p.cmd.Env = append(append(os.Environ(), "LB_CONFIG="+p.configPath, "LB_MANAGEMENT="+p.managementAddress,
		"TMPDIR="+o.Dir), o.Env...)
	p.cmd.Stderr = p.log
	p.startedAt = time.Now()
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		p.cmd.Wait()
		close(p.done)
	}()
	return p, nil
}

// Configure changes the configuration and replaces its file atomically. The process reads the file at the next Reload.
// Configure returns the size of the file in bytes.
func (p *Process) Configure(change func(config map[string]any)) (size int, err error) {
	if change != nil {
		change(p.configuration)
	}
	text, err := jsoniter.Marshal(p.configuration)
	if err != nil {
		return 0, err
	}
	return len(text), renameio.WriteFile(p.configPath, text, 0o600)
}

// Reload makes the process read its configuration again (SIGHUP).
func (p *Process) Reload() error { return p.Signal(syscall.SIGHUP) }

// addressBlocks counts the calls of FreeIP.
var addressBlocks atomic.Uint32

// FreeIP returns a loopback IP that no other call in this process gets. On a shared IP, a port that was free could be
// taken by another process before the intended process listens on it.
func FreeIP() string {
	block := addressBlocks.Add(1)
	return fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()%64, block/250%250, block%250+1)
}

// FreeAddresses returns n addresses with free TCP ports, all on an IP of FreeIP.
func FreeAddresses(n int) (addresses []string, err error) {
	ip := FreeIP()
	for range n {
		listener, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		defer listener.Close()
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses, nil
}

// Address returns the address that clients connect to and that hosts (workers) send callbacks to.
func (p *Process) Address() string { return p.clientAddress }

// PID returns the process id.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Dir returns the folder of the process's files. A process that replaces this one must use the same folder.
func (p *Process) Dir() string { return p.options.Dir }

// Log returns what the process has logged so far.
func (p *Process) Log() string { return p.log.String() }

// Metrics reads the metrics from the management address, by name. The name of a metric with labels includes them.
func (p *Process) Metrics() (map[string]float64, error) {
	_, body, err := fasthttp.Get(nil, "http://"+p.managementAddress+"/-/metrics")
	if err != nil {
		return nil, err
	}
	metrics := map[string]float64{}
	for line := range strings.Lines(string(body)) {
		name, value, ok := strings.Cut(strings.TrimSpace(line), " ")
		if v, err := strconv.ParseFloat(value, 64); ok && err == nil && name != "#" {
			metrics[name] = v
		}
	}
	return metrics, nil
}

// SendCallback posts a job event to the dispatcher, as a host does.
func (p *Process) SendCallback(body []byte) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + p.clientAddress + "/v1/job-events")
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetBody(body)
	if err := fasthttp.DoTimeout(req, resp, time.Second); err != nil {
		return err
	}
	if resp.StatusCode()/100 != 2 {
		return fmt.Errorf("status %d", resp.StatusCode())
	}
	return nil
}

// Terminate asks the process to exit (SIGTERM).
func (p *Process) Terminate() error { return p.Signal(syscall.SIGTERM) }

// ExitCode returns the exit code of a process that has exited.
func (p *Process) ExitCode() int { return p.cmd.ProcessState.ExitCode() }

// Signal sends a signal to the process. It fails if the process has exited.
func (p *Process) Signal(s os.Signal) error { return p.cmd.Process.Signal(s) }

// HasExited reports whether the process has exited.
func (p *Process) HasExited() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// Wait waits until the process has exited, and fails when limit has passed.
func (p *Process) Wait(limit time.Duration) error {
	select {
	case <-p.done:
		return nil
	case <-time.After(limit):
		return errors.New("the program has not exited in time")
	}
}

// Kill kills the process and waits until it has exited.
func (p *Process) Kill() {
	p.cmd.Process.Kill()
	<-p.done
}
