package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/textproto"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The program is this test's own binary, started again.
func TestMain(m *testing.M) {
	if os.Getenv("TOPAZFALL_PLAYED") != "" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

const patience = 20 * time.Second // no verdict hangs on how fast a machine is

// TestExchanges plays the recorded exchanges of testdata against the program. In a file, '> NAME' is
// followed by bytes to send, '< NAME' by bytes to expect; a * stands for anything within a line, and
// '! ' by a command. The first letter of a name is the party: c connects to the program, m to its second
// address, a and b are hosts, d and e are discovery.
func TestExchanges(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for i, f := range files {
		t.Run(strings.TrimSuffix(filepath.Base(f), ".txt"), func(t *testing.T) {
			t.Parallel()
			text, err := os.ReadFile(f)
			require.NoError(t, err)
			p := &player{T: t, parties: map[byte]*party{}, conns: map[string]*peer{},
				addr: fmt.Sprintf("127.1.0.%d:0", i+2)}
			p.play(string(text))
		})
	}
}

// The program is told to read its configuration again, and to end, before it has heard of any host: it does the one,
// and the other at once.
func TestSignalsBeforeTheFirstList(t *testing.T) {
	p := &player{T: t, parties: map[byte]*party{}, conns: map[string]*peer{}, addr: "127.1.1.1:0"}
	p.start("", nil)
	p.message("d1") // it asks for the list, and gets no answer
	p.command("reload " + p.fill("{d}") + " {e}")
	p.message("e1")
	p.command("term")
	p.command("exit 0")
}

// peer is one connection. Of a host or of discovery it is the one that a message came on: which of several
// kept connections the program takes depends on how fast it read an answer, and no test hangs on that.
type peer struct {
	net.Conn
	in     *bufio.Reader
	closed chan struct{} // of parties that are connected to: no more will come
}

type arrival struct {
	from *peer
	text string
}

type party struct {
	net.Listener
	arrivals chan arrival
}

// serve passes on the messages of all connections, in the order in which they came.
func (p *party) serve() {
	for {
		nc, err := p.Accept()
		if err != nil {
			return
		}
		go func() {
			c := &peer{nc, bufio.NewReader(nc), make(chan struct{})}
			defer close(c.closed)
			for {
				text, err := message(c.in)
				if err != nil {
					return
				}
				p.arrivals <- arrival{c, text}
			}
		}()
	}
}

type player struct {
	*testing.T
	parties map[byte]*party
	conns   map[string]*peer
	addr    string
	manage  string // the second address
	program *exec.Cmd
	old     *exec.Cmd // the one that program has replaced
	told    []string  // the environment of the program
	config  string    // the path of its configuration
}

var (
	step   = regexp.MustCompile(`(?m)^([<>+!]) (.*)\n`)
	remark = regexp.MustCompile(`(?m)^# .*\n`)
)

func (p *player) play(text string) {
	text = remark.ReplaceAllString(text, "")
	steps := step.FindAllStringSubmatchIndex(text, -1)
	known, set := "a", []string{}
	for i, s := range steps {
		end := len(text)
		if i+1 < len(steps) {
			end = steps[i+1][0]
		}
		kind, name, block := text[s[2]:s[3]], text[s[4]:s[5]], text[s[1]:end]
		switch word, rest, _ := strings.Cut(name, " "); word {
		case "known":
			known = rest
			continue
		case "set": // a setting, in place of the one in testdata/config.json
			set = append(set, strings.Fields(rest)...)
			continue
		}
		if p.program == nil {
			p.start(known, set)
			p.ready()
		}
		switch kind {
		case ">":
			_, err := p.peer(name).Write([]byte(wireForm(block)))
			p.noError(name, err)
		case "+": // more of a body
			_, err := io.WriteString(p.peer(name), strings.TrimRight(block, "\n"))
			p.noError(name, err)
		case "<":
			want := strings.ReplaceAll(regexp.QuoteMeta(strings.TrimRight(block, "\n")), `\*`, `[^\n]*`)
			got := p.message(name)
			require.Regexp(p, "^"+want+"$", got, "step %d, %s", i, name)
		case "!":
			p.command(name)
		}
	}
}

// wireForm ends the lines of a header with CR LF and leaves the body alone, but for \r\n written out.
func wireForm(block string) string {
	head, body, _ := strings.Cut(strings.TrimRight(block, "\n")+"\n\n", "\n\n")
	return strings.ReplaceAll(head, "\n", "\r\n") + "\r\n\r\n" +
		strings.ReplaceAll(strings.TrimRight(body, "\n"), `\r\n`, "\r\n")
}

func (p *player) noError(name string, err error) { require.NoError(p, err, name) }

func (p *player) start(known string, set []string) {
	for _, name := range "abde" {
		// an address of the test's own: nobody takes the port of a party that is down
		ln, err := net.Listen("tcp", p.addr)
		p.noError("listen", err)
		p.Cleanup(func() { ln.Close() })
		p.parties[byte(name)] = &party{ln, make(chan arrival, 99)}
		go p.parties[byte(name)].serve()
	}
	free := p.free(p.addr, 2)
	p.addr, p.manage = free[0], free[1]
	config, err := os.ReadFile("testdata/config.json")
	p.noError("config", err)
	var hosts []string
	for _, h := range known {
		hosts = append(hosts, p.fill(`{"host":"s-`+string(h)+`","dial":"{`+string(h)+`}","site":"hall",`+
			`"class":"m","block":0,"health":"up","share":1,"born_ms":0}`))
	}
	path := filepath.Join(p.TempDir(), "config.json")
	p.config = path
	told := strings.NewReplacer(append(set, `"hosts":[]`, `"hosts":[`+strings.Join(hosts, ",")+`]`)...)
	p.noError("config", os.WriteFile(path, []byte(told.Replace(p.fill(string(config)))), 0o600))
	p.told = []string{"TOPAZFALL_PLAYED=1", "LB_CONFIG=" + path, "LB_NAME=n0", "LB_DISCOVERY=" + p.fill("{d}"),
		"TMPDIR=" + p.TempDir()}
	p.run()
}

// ready waits until the program takes clients.
func (p *player) ready() {
	for end := time.Now().Add(patience); ; time.Sleep(5 * time.Millisecond) {
		require.True(p, time.Now().Before(end), "the program is not ready")
		if c, err := net.Dial("tcp", p.addr); err == nil {
			io.WriteString(c, "GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
			got, _ := io.ReadAll(c)
			c.Close()
			if strings.HasPrefix(string(got), "HTTP/1.1 200") {
				return
			}
		}
	}
}

// run starts the program.
func (p *player) run() {
	program := exec.Command(os.Args[0])
	program.Env = append(p.told, "LB_MANAGEMENT="+p.manage)
	var log strings.Builder
	program.Stderr = &log
	p.noError("start", program.Start())
	p.Cleanup(func() {
		program.Process.Kill()
		program.Wait()
		if p.Failed() {
			p.Log(log.String())
		}
	})
	p.program, p.old = program, p.program
}

// free finds ports, at an address of the test's own: nobody else takes them meanwhile. They differ, and so all are
// held till the last is found.
func (p *player) free(addr string, n int) (found []string) {
	for range n {
		ln, err := net.Listen("tcp", addr)
		p.noError("listen", err)
		defer ln.Close()
		found = append(found, ln.Addr().String())
	}
	return found
}

// refuse closes a listener and returns when connections to it are refused. A process that is being started by another
// test holds a copy of the descriptor until it becomes its own program, and the system accepts connections meanwhile.
func (p *player) refuse(ln net.Listener) {
	p.noError("close", ln.Close())
	require.Eventually(p, func() bool {
		c, err := net.Dial("tcp", ln.Addr().String())
		if err == nil {
			c.Close()
		}
		return errors.Is(err, syscall.ECONNREFUSED)
	}, patience, time.Millisecond, "connections are not refused")
}

// ask makes one call to the second address and returns all that comes back.
func (p *player) ask(path string) string {
	c, err := net.Dial("tcp", p.manage)
	if err != nil {
		return ""
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(patience))
	io.WriteString(c, "GET "+path+" HTTP/1.1\r\nHost: x\r\n\r\n")
	got, _ := io.ReadAll(c)
	return string(got)
}

// fill puts the parties' addresses in.
func (p *player) fill(text string) string {
	for party, ln := range p.parties {
		text = strings.ReplaceAll(text, "{"+string(party)+"}", ln.Addr().String())
	}
	return strings.NewReplacer("{listen}", p.addr, "{manage}", p.manage).Replace(text)
}

// peer is the connection of that name; a new name connects to the program.
func (p *player) peer(name string) *peer {
	c := p.conns[name]
	if c == nil {
		require.Nil(p, p.parties[name[0]], "%s: nothing came on it yet", name)
		addr := p.addr
		if name[0] == 'm' {
			addr = p.manage
		}
		nc, err := net.Dial("tcp", addr)
		p.noError(name, err)
		p.Cleanup(func() { nc.Close() })
		c = &peer{Conn: nc, in: bufio.NewReader(nc)}
		p.conns[name] = c
	}
	return c
}

// message waits for a message: of a party, the next on any of its connections, which then has that name.
func (p *player) message(name string) string {
	if party := p.parties[name[0]]; party != nil {
		select {
		case a := <-party.arrivals:
			p.conns[name] = a.from
			return a.text
		case <-time.After(patience):
			require.Fail(p, "nothing came", name)
		}
	}
	c := p.peer(name)
	c.SetReadDeadline(time.Now().Add(patience))
	text, err := message(c.in)
	p.noError(name, err)
	return text
}

// message reads one message and returns it with plain line ends.
func message(r *bufio.Reader) (string, error) {
	in := textproto.NewReader(r)
	var lines []string
	length := 0
	for {
		line, err := in.ReadLine()
		if err != nil {
			return "", err
		}
		if strings.HasPrefix(line, "Date: ") { // who goes on with another process's message sends one
			continue
		}
		lines = append(lines, line)
		if line == "" {
			break
		}
		if key, value, _ := strings.Cut(line, ": "); strings.EqualFold(key, "Content-Length") {
			if length, err = strconv.Atoi(value); err != nil {
				return "", err
			}
		}
	}
	body := make([]byte, length)
	if _, err := io.ReadFull(r, body); err != nil {
		return "", err
	}
	return strings.TrimRight(strings.Join(lines, "\n")+"\n"+string(body), "\n"), nil
}

// which takes "old" off what is said of a process.
func (p *player) which(rest *string) *exec.Cmd {
	if word, more, _ := strings.Cut(*rest, " "); word == "old" {
		*rest = more
		return p.old
	}
	return p.program
}

func (p *player) command(text string) {
	word, rest, _ := strings.Cut(text, " ")
	switch word {
	case "close":
		p.noError(rest, p.peer(rest).Close())
		delete(p.conns, rest)
	case "reset":
		p.noError(rest, p.peer(rest).Conn.(*net.TCPConn).SetLinger(0))
		p.noError(rest, p.peer(rest).Close())
	case "half":
		p.noError(rest, p.peer(rest).Conn.(*net.TCPConn).CloseWrite())
	case "eof": // the program has closed the connection
		c := p.peer(rest)
		if c.closed != nil {
			select {
			case <-c.closed:
			case <-time.After(patience):
				require.Fail(p, "not closed", rest)
			}
			return
		}
		c.SetReadDeadline(time.Now().Add(patience))
		_, err := c.in.ReadByte()
		require.Error(p, err, rest)
		require.False(p, os.IsTimeout(err), rest)
	case "down": // connections to the party are refused
		p.refuse(p.parties[rest[0]])
	case "term": // "old" for the one that was replaced, as with exit
		p.noError(text, p.which(&rest).Process.Signal(syscall.SIGTERM))
	case "replace": // another process is started beside this one, and takes clients
		p.manage = p.free(strings.Split(p.addr, ":")[0]+":0", 1)[0]
		p.run()
		require.Eventually(p, func() bool { return strings.HasPrefix(p.ask("/-/ready"), "HTTP/1.1 200") }, patience,
			5*time.Millisecond)
	case "reload": // the pairs replace text of the configuration, which the program is told to read again
		told, err := os.ReadFile(p.config)
		p.noError(text, err)
		told = []byte(strings.NewReplacer(strings.Fields(p.fill(rest))...).Replace(string(told)))
		p.noError(text, os.WriteFile(p.config+".new", told, 0o600))
		p.noError(text, os.Rename(p.config+".new", p.config))
		p.noError(text, p.program.Process.Signal(syscall.SIGHUP))
	case "kill": // the one that has replaced another dies, and that one is the program again
		p.noError(text, p.program.Process.Kill())
		p.program.Wait()
		p.program = p.old
	case "exit":
		program := p.which(&rest)
		err := program.Wait()
		require.Equal(p, rest, strconv.Itoa(program.ProcessState.ExitCode()), "%v", err)
	case "same": // two names of one connection
		a, b, _ := strings.Cut(rest, " ")
		require.Same(p, p.peer(a), p.peer(b))
	case "open":
		p.peer(rest)
	case "until": // the figures show this line
		require.Eventually(p, func() bool { return strings.Contains(p.ask("/-/metrics"), "\n"+rest+"\n") }, patience,
			10*time.Millisecond, rest)
	case "pause":
		d, err := time.ParseDuration(rest)
		p.noError(rest, err)
		time.Sleep(d)
	default:
		require.Fail(p, "no such command", text)
	}
}
