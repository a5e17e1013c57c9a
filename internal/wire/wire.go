// Package wire reads the batches of the bench and writes the replies. It translates words only: no
// decision is made here.
package wire

import (
	"bufio"
	"bytes"
	"encoding/base64"
	"errors"
	"fmt"
	"io"
	"strconv"

	"topazfall"
	"topazfall/internal/config"
	"topazfall/internal/decide/affinity"
)

// MsgKind says what one message asks of the adapter.
type MsgKind int

// The messages that Decoder.Next returns.
const (
	Begin  MsgKind = iota // a batch begins: Now
	Commit                // a batch ends: the reply is due
	Enlist                // an instance starts: Instance, Settings
	Kill                  // an instance is gone: Instance
	Occur                 // something happened to an instance: Instance, Event
)

// Msg is one message. Event is valid until the next call of Next.
type Msg struct {
	Kind     MsgKind
	Now      int64
	Instance int
	Settings topazfall.Settings
	Event    *topazfall.Event
}

// names resolves the class and tenant names of one instance.
type names struct{ classes, tenants map[string]int }

// Decoder reads messages from a stream.
type Decoder struct {
	in        *bufio.Reader
	line      int
	long      []byte
	inBatch   bool
	selected  int
	instances map[int]*names
	lists     map[int][]topazfall.Worker
	words     map[string]string
	event     topazfall.Event
	rest      []byte // what is unread of the current line
	err       error  // first fault of the current line
}

// NewDecoder returns a decoder that reads from in.
func NewDecoder(in io.Reader) *Decoder {
	return &Decoder{in: bufio.NewReaderSize(in, 1<<16), instances: map[int]*names{},
		lists: map[int][]topazfall.Worker{}, words: map[string]string{}, selected: -1}
}

// Next returns the next message. At the orderly end of the input the error is io.EOF; every other
// error names the line and what is wrong with it.
func (d *Decoder) Next() (Msg, error) {
	for {
		line, err := d.readLine()
		if err == io.EOF && !d.inBatch {
			return Msg{}, io.EOF
		}
		if err == io.EOF {
			err = errors.New("the input ends within a batch")
		}
		if err != nil {
			return Msg{}, d.fault(err)
		}
		m, ready, err := d.message(line)
		if err != nil {
			return Msg{}, d.fault(err)
		}
		if ready {
			return m, nil
		}
	}
}

func (d *Decoder) fault(err error) error { return fmt.Errorf("line %d: %w", d.line, err) }

// readLine returns the next line without its end. A last line without an end is reported as truncated.
func (d *Decoder) readLine() ([]byte, error) {
	d.line++
	d.long = d.long[:0]
	for {
		part, err := d.in.ReadSlice('\n')
		if err == nil && len(d.long) == 0 {
			return part[:len(part)-1], nil
		}
		d.long = append(d.long, part...)
		switch {
		case err == nil:
			return d.long[:len(d.long)-1], nil
		case err == io.EOF && len(d.long) > 0:
			return nil, errors.New("truncated line")
		case err != bufio.ErrBufferFull:
			return nil, err
		}
	}
}

// message decodes one line; ready is false for lines that only change the decoder's own state.
func (d *Decoder) message(line []byte) (m Msg, ready bool, err error) {
	d.rest, d.err = line, nil
	word := d.part()
	if !d.inBatch {
		if string(word) != "BEGIN_BATCH" {
			return m, false, fmt.Errorf("expected BEGIN_BATCH, found %q", clip(line))
		}
		m.Kind, m.Now = Begin, d.integer()
		d.inBatch, d.selected = true, -1
		return m, true, d.done()
	}
	switch string(word) {
	case "COMMIT":
		d.inBatch = false
		m.Kind = Commit
		return m, true, d.done()
	case "SELECT":
		d.selected = int(d.integer())
		return m, false, d.done()
	case "LIST":
		return m, false, d.list()
	}
	if d.selected < 0 {
		return m, false, fmt.Errorf("%q before any SELECT", clip(line))
	}
	m.Instance = d.selected
	if string(word) == "ENLIST" {
		return d.enlist()
	}
	known := d.instances[d.selected]
	if known == nil {
		return m, false, fmt.Errorf("%s for unknown instance %d", clip(word), d.selected)
	}
	if string(word) == "KILL" {
		delete(d.instances, d.selected)
		m.Kind = Kill
		return m, true, d.done()
	}
	m.Kind, m.Event = Occur, &d.event
	return m, true, d.occurrence(word, known)
}

func (d *Decoder) enlist() (m Msg, ready bool, err error) {
	m.Kind, m.Instance = Enlist, d.selected
	seed := d.part()
	n, perr := strconv.ParseUint(string(seed), 10, 64)
	if perr != nil {
		signed, serr := strconv.ParseInt(string(seed), 10, 64)
		if serr != nil {
			return m, false, fmt.Errorf("seed %q is no number", clip(seed))
		}
		n = uint64(signed)
	}
	if d.err != nil {
		return m, false, d.err
	}
	m.Settings, err = config.ParseSettings(n, d.rest)
	if err != nil {
		return m, false, err
	}
	known := &names{map[string]int{}, map[string]int{}}
	for i, c := range m.Settings.Classes {
		known.classes[c.Name] = i
	}
	for i, t := range m.Settings.Tenants {
		known.tenants[t.Name] = i
	}
	d.instances[d.selected] = known
	return m, true, nil
}

// list reads a LIST line and the WORKER lines that follow it.
func (d *Decoder) list() error {
	ref, n := int(d.integer()), int(d.integer())
	if err := d.done(); err != nil {
		return err
	}
	if n < 0 {
		return errors.New("negative number of entries")
	}
	var entries []topazfall.Worker
	for range n {
		line, err := d.readLine()
		if err == io.EOF {
			err = errors.New("the input ends within a list")
		}
		if err != nil {
			return err
		}
		d.rest, d.err = line, nil
		if word := d.part(); string(word) != "WORKER" {
			return fmt.Errorf("expected WORKER, found %q", clip(line))
		}
		w := topazfall.Worker{ID: d.word(), Zone: d.word(), Kind: d.word(), Cell: int(d.integer())}
		switch state := d.part(); string(state) {
		case "ready":
			w.State = topazfall.Ready
		case "draining":
			w.State = topazfall.Draining
		case "gone":
			w.State = topazfall.Gone
		default:
			return fmt.Errorf("unknown readiness %q", clip(state))
		}
		w.Weight, w.StartedAt = d.number(), d.integer()
		if err := d.done(); err != nil {
			return err
		}
		entries = append(entries, w)
	}
	d.lists[ref] = entries
	return nil
}

var outcomes = map[string]topazfall.Outcome{
	"completed": topazfall.Completed, "errored": topazfall.Errored, "saturated": topazfall.Saturated,
	"overdue": topazfall.TimedOut, "refused_conn": topazfall.ConnectionRefused, "severed": topazfall.ConnectionLost,
	"recalled": topazfall.Cancelled, "superseded": topazfall.NeverSent}

var listKinds = map[string]topazfall.EventKind{"patch": topazfall.ListPatch, "whole": topazfall.ListSnapshot,
	"stale_copy": topazfall.ListRestored, "broken": topazfall.ListFailed}

// occurrence decodes an event of the selected instance into d.event.
func (d *Decoder) occurrence(word []byte, known *names) error {
	d.event = topazfall.Event{Tenant: -1, Load: topazfall.NoLoad}
	e := &d.event
	switch string(word) {
	case "CALL":
		e.Kind, e.Request = topazfall.Arrival, d.id()
		class := d.part()
		i, ok := known.classes[string(class)]
		if !ok && d.err == nil {
			return fmt.Errorf("unknown class %q", clip(class))
		}
		e.Class = i
		if i, ok := known.tenants[string(d.part())]; ok {
			e.Tenant = i
		}
		if key := d.part(); string(key) != "-" { // an absent one
			e.Key = affinity.HashKey(string(key))
		}
		e.Due, e.Hint, e.Slots = d.integer(), d.integer(), d.number()
		d.part() // memory
		flags := d.integer()
		if flags&1 == 0 {
			e.Hint = 0
		}
		e.Retry = flags&2 != 0
	case "COMPLETED":
		e.Kind, e.Request, e.Attempt, e.Worker = topazfall.AttemptDone, d.id(), int(d.integer()), d.word()
		d.outcome(e)
		e.Final = d.integer() == 1
		d.part() // note of the family
		d.load(e)
	case "NOTICE":
		e.Request, e.Worker, e.Attempt = d.id(), d.word(), int(d.integer())
		switch kind := d.integer(); kind {
		case 1:
			e.Kind = topazfall.JobStarted
		case 2:
			e.Kind = topazfall.JobProgress
		default:
			return fmt.Errorf("unknown kind of notice %d", kind)
		}
		e.Amount = d.number()
	case "BELL":
		name := d.part()
		token, err := strconv.ParseUint(string(name), 10, 64)
		if err != nil {
			return fmt.Errorf("no timer was set by the name %q", clip(name))
		}
		e.Kind, e.Token = topazfall.TimerDue, token
	case "CANCELLED_BY_CLIENT":
		e.Kind, e.Request = topazfall.ClientGone, d.id()
	case "HEALTH_RESULT":
		e.Kind, e.Worker = topazfall.ProbeDone, d.word()
		d.outcome(e)
		d.load(e)
	case "FIRST_BYTE":
		e.Kind, e.Request, e.Elapsed = topazfall.StreamStarted, d.id(), d.integer()
		e.Attempt, e.Worker = int(d.integer()), d.word()
	case "WHISPER":
		e.Kind, e.From = topazfall.PeerMessage, int(d.integer())
		d.payload(e)
	case "TARGETS":
		return d.targets(e)
	default:
		return fmt.Errorf("unknown message %q", clip(word))
	}
	return d.done()
}

func (d *Decoder) targets(e *topazfall.Event) error {
	d.part() // the version: changes come in order and without gaps
	how := d.part()
	kind, ok := listKinds[string(how)]
	if !ok {
		return fmt.Errorf("unknown kind of list %q", clip(how))
	}
	e.Kind = kind
	ref := int(d.integer())
	if err := d.done(); err != nil || kind == topazfall.ListFailed {
		return err
	}
	if e.List, ok = d.lists[ref]; !ok {
		return fmt.Errorf("no list has the number %d", ref)
	}
	return nil
}

func (d *Decoder) outcome(e *topazfall.Event) {
	rc := d.part()
	code, ok := outcomes[string(rc)]
	if !ok && d.err == nil {
		d.err = fmt.Errorf("unknown outcome %q", clip(rc))
	}
	e.Outcome, e.Elapsed = code, d.integer()
}

func (d *Decoder) payload(e *topazfall.Event) {
	text := d.part()
	if string(text) == "-" {
		return
	}
	data, err := base64.StdEncoding.AppendDecode(nil, text)
	if err != nil && d.err == nil {
		d.err = fmt.Errorf("payload is not base64: %v", err)
	}
	e.Data = data
}

// load reads a load report: name:value pairs set apart by commas.
func (d *Decoder) load(e *topazfall.Event) {
	text := d.part()
	if string(text) == "-" {
		return
	}
	for len(text) > 0 {
		pair, rest, _ := bytes.Cut(text, []byte{','})
		text = rest
		name, value, ok := bytes.Cut(pair, []byte{':'})
		if !ok {
			d.keep(fmt.Errorf("load report: %q is no name:value pair", clip(pair)))
			return
		}
		v, err := float(value)
		d.keep(err)
		config.SetLoad(&e.Load, string(name), v)
	}
}

func (d *Decoder) keep(err error) {
	if d.err == nil {
		d.err = err
	}
}

// part takes the next part of the line.
func (d *Decoder) part() []byte {
	if d.rest == nil {
		d.keep(errors.New("too few values"))
		return nil
	}
	p, rest, found := bytes.Cut(d.rest, []byte{' '})
	if d.rest = rest; !found {
		d.rest = nil
	}
	if len(p) == 0 {
		d.keep(errors.New("empty value"))
	}
	return p
}

// done reports the first fault of the line, or values left over.
func (d *Decoder) done() error {
	if d.err == nil && d.rest != nil {
		return errors.New("too many values")
	}
	return d.err
}

// word takes a name; each distinct one is stored once.
func (d *Decoder) word() string {
	p := d.part()
	if s, ok := d.words[string(p)]; ok {
		return s
	}
	s := string(p)
	d.words[s] = s
	return s
}

// integer takes a whole number; an absent one is 0.
func (d *Decoder) integer() int64 {
	p := d.part()
	if len(p) == 1 && p[0] == '-' {
		return 0
	}
	digits, sign := p, int64(1)
	if len(p) > 1 && p[0] == '-' {
		digits, sign = p[1:], -1
	}
	var n int64
	for _, c := range digits {
		if c < '0' || c > '9' || n > (1<<63-10)/10 {
			d.keep(fmt.Errorf("%q is no whole number", clip(p)))
			return 0
		}
		n = n*10 + int64(c-'0')
	}
	return sign * n
}

func (d *Decoder) id() uint64 {
	n := d.integer()
	if n < 0 {
		d.keep(errors.New("negative request id"))
	}
	return uint64(n)
}

// number takes a number that may have a fraction; an absent one is 0.
func (d *Decoder) number() float64 {
	p := d.part()
	if len(p) == 1 && p[0] == '-' {
		return 0
	}
	v, err := float(p)
	d.keep(err)
	return v
}

// float parses plain decimals without allocating and leaves the rest to strconv.
func float(p []byte) (float64, error) {
	var n, scale float64 = 0, 0
	for i, c := range p {
		switch {
		case c == '.' && scale == 0 && i > 0:
			scale = 1
		case c >= '0' && c <= '9' && len(p) < 16:
			n, scale = n*10+float64(c-'0'), scale*10
		default:
			v, err := strconv.ParseFloat(string(p), 64)
			if err != nil && !errors.Is(err, strconv.ErrRange) {
				return 0, fmt.Errorf("%q is no number", clip(p))
			}
			return v, nil
		}
	}
	if len(p) == 0 {
		return 0, errors.New("empty number")
	}
	if scale > 1 {
		n /= scale
	}
	return n, nil
}

func clip(p []byte) string {
	if len(p) > 60 {
		return string(p[:60]) + "..."
	}
	return string(p)
}

// AppendActor appends the line that says whose actions follow.
func AppendActor(out []byte, instance int) []byte {
	return append(strconv.AppendInt(append(out, "AS "...), int64(instance), 10), '\n')
}

// AppendEnd appends the end of a reply.
func AppendEnd(out []byte) []byte { return append(out, "EOR\n"...) }

// AppendAction appends the line of one action.
func AppendAction(out []byte, a *topazfall.Action) []byte {
	switch a.Kind {
	case topazfall.Send:
		out = strconv.AppendUint(append(out, "PASS_ON "...), a.Request, 10)
		out = append(append(append(out, ' '), a.Worker...), ' ')
		out = strconv.AppendInt(out, a.After, 10)
	case topazfall.Refuse:
		out = strconv.AppendUint(append(out, "TURN_AWAY "...), a.Request, 10)
		out = strconv.AppendInt(append(out, ' '), a.After, 10)
	case topazfall.Fail:
		out = strconv.AppendUint(append(out, "ABORT "...), a.Request, 10)
	case topazfall.CancelAttempt:
		out = strconv.AppendUint(append(out, "ABORT_ATTEMPT "...), a.Request, 10)
		out = strconv.AppendInt(append(out, ' '), int64(a.Attempt), 10)
	case topazfall.SetTimer:
		out = strconv.AppendInt(append(out, "WAKE_ME "...), a.After, 10)
		out = strconv.AppendUint(append(out, ' '), a.Token, 10)
	case topazfall.ProbeWorker:
		out = append(append(out, "ASK_LOAD "...), a.Worker...)
	case topazfall.WatchList:
		out = append(out, "FOLLOW 1"...)
	case topazfall.FetchList:
		out = append(out, "QUERY_ALL"...)
	case topazfall.SendToPeer:
		out = append(out, "NOTIFY "...)
		if a.Peer == topazfall.AllPeers {
			out = append(out, "all"...)
		} else {
			out = strconv.AppendInt(out, int64(a.Peer), 10)
		}
		out = base64.StdEncoding.AppendEncode(append(out, ' '), a.Data)
	case topazfall.Log:
		out = append(append(out, "NOTE_DOWN "...), a.Text...)
	}
	return append(out, '\n')
}
