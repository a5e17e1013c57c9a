// Package wire decodes the batches that the bench sends to the decision module, and encodes the replies. It only
// translates between the text protocol and the module's types.
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

// MessageKind is the kind of a Message.
type MessageKind int

// The kinds of messages, with the fields that each one sets.
const (
	BeginBatch    MessageKind = iota // a batch begins: Now
	CommitBatch                      // a batch ends, and its reply is due
	StartInstance                    // a dispatcher instance starts: Instance, Settings
	KillInstance                     // an instance has ended: Instance
	InstanceEvent                    // an event occurred at an instance: Instance, Event
)

// Message is one decoded message of the bench. Event is valid until the next call of Next.
type Message struct {
	Kind     MessageKind
	Now      int64
	Instance int
	Settings topazfall.Settings
	Event    *topazfall.Event
}

// instanceNames maps the class and tenant names of one instance to their indices.
type instanceNames struct{ classes, tenants map[string]int }

// Decoder reads messages from a stream.
type Decoder struct {
	in               *bufio.Reader
	lineNumber       int
	longLine         []byte
	inBatch          bool
	selectedInstance int
	instances        map[int]*instanceNames
	lists            map[int][]topazfall.Worker
	interned         map[string]string
	event            topazfall.Event
	unread           []byte // rest of the current line
	err              error  // first error in the current line
}

// NewDecoder returns a decoder that reads from in.
func NewDecoder(in io.Reader) *Decoder {
	return &Decoder{in: bufio.NewReaderSize(in, 1<<16), instances: map[int]*instanceNames{},
		lists: map[int][]topazfall.Worker{}, interned: map[string]string{}, selectedInstance: -1}
}

// Next returns the next message. At the end of the input, after a whole batch, the error is io.EOF; every other error
// has the line number and what is wrong with the line.
func (d *Decoder) Next() (Message, error) {
	for {
		line, err := d.readLine()
		if err == io.EOF && !d.inBatch {
			return Message{}, io.EOF
		}
		if err == io.EOF {
			err = errors.New("the input ends within a batch")
		}
		if err != nil {
			return Message{}, d.lineError(err)
		}
		m, ready, err := d.decodeLine(line)
		if err != nil {
			return Message{}, d.lineError(err)
		}
		if ready {
			return m, nil
		}
	}
}

// lineError adds the line number to an error.
func (d *Decoder) lineError(err error) error { return fmt.Errorf("line %d: %w", d.lineNumber, err) }

// readLine returns the next line without its line feed. A last line without a line feed is an error.
func (d *Decoder) readLine() ([]byte, error) {
	d.lineNumber++
	d.longLine = d.longLine[:0]
	for {
		part, err := d.in.ReadSlice('\n')
		if err == nil && len(d.longLine) == 0 {
			return part[:len(part)-1], nil
		}
		d.longLine = append(d.longLine, part...)
		switch {
		case err == nil:
			return d.longLine[:len(d.longLine)-1], nil
		case err == io.EOF && len(d.longLine) > 0:
			return nil, errors.New("truncated line")
		case err != bufio.ErrBufferFull:
			return nil, err
		}
	}
}

// decodeLine decodes one line; ready is false for lines that only change the decoder's own state.
func (d *Decoder) decodeLine(line []byte) (m Message, ready bool, err error) {
	d.unread, d.err = line, nil
	word := d.value()
	if !d.inBatch {
		if string(word) != "BEGIN_BATCH" {
			return m, false, fmt.Errorf("expected BEGIN_BATCH, found %q", truncate(line))
		}
		m.Kind, m.Now = BeginBatch, d.integer()
		d.inBatch, d.selectedInstance = true, -1
		return m, true, d.endLine()
	}
	switch string(word) {
	case "COMMIT":
		d.inBatch = false
		m.Kind = CommitBatch
		return m, true, d.endLine()
	case "SELECT":
		d.selectedInstance = int(d.integer())
		return m, false, d.endLine()
	case "LIST":
		return m, false, d.decodeList()
	}
	if d.selectedInstance < 0 {
		return m, false, fmt.Errorf("%q before any SELECT", truncate(line))
	}
	m.Instance = d.selectedInstance
	if string(word) == "ENLIST" {
		return d.decodeEnlist()
	}
	names := d.instances[d.selectedInstance]
	if names == nil {
		return m, false, fmt.Errorf("%s for unknown instance %d", truncate(word), d.selectedInstance)
	}
	if string(word) == "KILL" {
		delete(d.instances, d.selectedInstance)
		m.Kind = KillInstance
		return m, true, d.endLine()
	}
	m.Kind, m.Event = InstanceEvent, &d.event
	return m, true, d.decodeEvent(word, names)
}

// decodeEnlist decodes the seed and the settings of an ENLIST line.
func (d *Decoder) decodeEnlist() (m Message, ready bool, err error) {
	m.Kind, m.Instance = StartInstance, d.selectedInstance
	seedText := d.value()
	n, unsignedErr := strconv.ParseUint(string(seedText), 10, 64)
	if unsignedErr != nil {
		signed, signedErr := strconv.ParseInt(string(seedText), 10, 64)
		if signedErr != nil {
			return m, false, fmt.Errorf("seed %q is not a number", truncate(seedText))
		}
		n = uint64(signed)
	}
	if d.err != nil {
		return m, false, d.err
	}
	m.Settings, err = config.ParseSettings(n, d.unread)
	if err != nil {
		return m, false, err
	}
	names := &instanceNames{map[string]int{}, map[string]int{}}
	for i, c := range m.Settings.Classes {
		names.classes[c.Name] = i
	}
	for i, t := range m.Settings.Tenants {
		names.tenants[t.Name] = i
	}
	d.instances[d.selectedInstance] = names
	return m, true, nil
}

// decodeList decodes a LIST line and the WORKER lines that follow it.
func (d *Decoder) decodeList() error {
	number, n := int(d.integer()), int(d.integer())
	if err := d.endLine(); err != nil {
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
		d.unread, d.err = line, nil
		if word := d.value(); string(word) != "WORKER" {
			return fmt.Errorf("expected WORKER, found %q", truncate(line))
		}
		w := topazfall.Worker{ID: d.name(), Zone: d.name(), Kind: d.name(), Cell: int(d.integer())}
		switch state := d.value(); string(state) {
		case "ready":
			w.State = topazfall.Ready
		case "draining":
			w.State = topazfall.Draining
		case "gone":
			w.State = topazfall.Gone
		default:
			return fmt.Errorf("unknown worker state %q", truncate(state))
		}
		w.Weight, w.StartedAt = d.decimal(), d.integer()
		if err := d.endLine(); err != nil {
			return err
		}
		entries = append(entries, w)
	}
	d.lists[number] = entries
	return nil
}

// outcomes maps the names of outcomes.
var outcomes = map[string]topazfall.Outcome{
	"completed": topazfall.Completed, "errored": topazfall.Errored, "saturated": topazfall.Saturated,
	"overdue": topazfall.TimedOut, "refused_conn": topazfall.ConnectionRefused, "severed": topazfall.ConnectionLost,
	"recalled": topazfall.Cancelled, "superseded": topazfall.NeverSent}

// listKinds maps the names of the kinds of worker lists.
var listKinds = map[string]topazfall.EventKind{"patch": topazfall.ListPatch, "whole": topazfall.ListSnapshot,
	"stale_copy": topazfall.ListRestored, "broken": topazfall.ListFailed}

// decodeEvent decodes an event of the selected instance into d.event.
func (d *Decoder) decodeEvent(word []byte, names *instanceNames) error {
	d.event = topazfall.Event{Tenant: -1, Load: topazfall.NoLoad}
	e := &d.event
	switch string(word) {
	case "CALL":
		e.Kind, e.Request = topazfall.Arrival, d.requestID()
		class := d.value()
		i, ok := names.classes[string(class)]
		if !ok && d.err == nil {
			return fmt.Errorf("unknown class %q", truncate(class))
		}
		e.Class = i
		if i, ok := names.tenants[string(d.value())]; ok {
			e.Tenant = i
		}
		if key := d.value(); string(key) != "-" { // "-" stands for no key
			e.Key = affinity.HashKey(string(key))
		}
		e.Due, e.Hint, e.Slots = d.integer(), d.integer(), d.decimal()
		d.value() // the job's memory, which is not used
		flags := d.integer()
		if flags&1 == 0 {
			e.Hint = 0
		}
		e.Retry = flags&2 != 0
	case "COMPLETED":
		e.Kind, e.Request, e.Attempt, e.Worker = topazfall.AttemptDone, d.requestID(), int(d.integer()), d.name()
		d.decodeOutcome(e)
		e.Final = d.integer() == 1
		d.value() // a note, which is not used
		d.decodeLoad(e)
	case "NOTICE":
		e.Request, e.Worker, e.Attempt = d.requestID(), d.name(), int(d.integer())
		switch kind := d.integer(); kind {
		case 1:
			e.Kind = topazfall.JobStarted
		case 2:
			e.Kind = topazfall.JobProgress
		default:
			return fmt.Errorf("unknown kind of notice %d", kind)
		}
		e.Amount = d.decimal()
	case "BELL":
		name := d.value()
		token, err := strconv.ParseUint(string(name), 10, 64)
		if err != nil {
			return fmt.Errorf("no timer was set by the name %q", truncate(name))
		}
		e.Kind, e.Token = topazfall.TimerDue, token
	case "CANCELLED_BY_CLIENT":
		e.Kind, e.Request = topazfall.ClientGone, d.requestID()
	case "HEALTH_RESULT":
		e.Kind, e.Worker = topazfall.ProbeDone, d.name()
		d.decodeOutcome(e)
		d.decodeLoad(e)
	case "FIRST_BYTE":
		e.Kind, e.Request, e.Elapsed = topazfall.StreamStarted, d.requestID(), d.integer()
		e.Attempt, e.Worker = int(d.integer()), d.name()
	case "WHISPER":
		e.Kind, e.From = topazfall.PeerMessage, int(d.integer())
		d.decodePayload(e)
	case "TARGETS":
		return d.decodeTargets(e)
	default:
		return fmt.Errorf("unknown message %q", truncate(word))
	}
	return d.endLine()
}

// decodeTargets decodes a TARGETS event, which refers to a list by its number.
func (d *Decoder) decodeTargets(e *topazfall.Event) error {
	d.value() // the version: changes come in order and without gaps
	kindName := d.value()
	kind, ok := listKinds[string(kindName)]
	if !ok {
		return fmt.Errorf("unknown kind of list %q", truncate(kindName))
	}
	e.Kind = kind
	number := int(d.integer())
	if err := d.endLine(); err != nil || kind == topazfall.ListFailed {
		return err
	}
	if e.List, ok = d.lists[number]; !ok {
		return fmt.Errorf("no list has the number %d", number)
	}
	return nil
}

// decodeOutcome decodes an outcome and the time that it took.
func (d *Decoder) decodeOutcome(e *topazfall.Event) {
	name := d.value()
	code, ok := outcomes[string(name)]
	if !ok && d.err == nil {
		d.err = fmt.Errorf("unknown outcome %q", truncate(name))
	}
	e.Outcome, e.Elapsed = code, d.integer()
}

// decodePayload decodes the base64 data of a gossip message.
func (d *Decoder) decodePayload(e *topazfall.Event) {
	text := d.value()
	if string(text) == "-" {
		return
	}
	data, err := base64.StdEncoding.AppendDecode(nil, text)
	if err != nil && d.err == nil {
		d.err = fmt.Errorf("payload is not base64: %v", err)
	}
	e.Data = data
}

// decodeLoad decodes a load report: name:value pairs separated by commas.
func (d *Decoder) decodeLoad(e *topazfall.Event) {
	text := d.value()
	if string(text) == "-" {
		return
	}
	for len(text) > 0 {
		pair, rest, _ := bytes.Cut(text, []byte{','})
		text = rest
		name, value, ok := bytes.Cut(pair, []byte{':'})
		if !ok {
			d.setError(fmt.Errorf("load report: %q is no name:value pair", truncate(pair)))
			return
		}
		v, err := parseDecimal(value)
		d.setError(err)
		config.SetLoad(&e.Load, string(name), v)
	}
}

// setError records the first error in the line.
func (d *Decoder) setError(err error) {
	if d.err == nil {
		d.err = err
	}
}

// value takes the next value of the line.
func (d *Decoder) value() []byte {
	if d.unread == nil {
		d.setError(errors.New("too few values"))
		return nil
	}
	p, rest, found := bytes.Cut(d.unread, []byte{' '})
	if d.unread = rest; !found {
		d.unread = nil
	}
	if len(p) == 0 {
		d.setError(errors.New("empty value"))
	}
	return p
}

// endLine returns the first error in the line, or an error if there are values left.
func (d *Decoder) endLine() error {
	if d.err == nil && d.unread != nil {
		return errors.New("too many values")
	}
	return d.err
}

// name takes a name; each distinct name is stored once.
func (d *Decoder) name() string {
	p := d.value()
	if s, ok := d.interned[string(p)]; ok {
		return s
	}
	s := string(p)
	d.interned[s] = s
	return s
}

// integer takes a whole number; "-" stands for 0.
func (d *Decoder) integer() int64 {
	p := d.value()
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
			d.setError(fmt.Errorf("%q is no whole number", truncate(p)))
			return 0
		}
		n = n*10 + int64(c-'0')
	}
	return sign * n
}

// requestID takes the number of a request.
func (d *Decoder) requestID() uint64 {
	n := d.integer()
	if n < 0 {
		d.setError(errors.New("negative request id"))
	}
	return uint64(n)
}

// decimal takes a number that may have a fraction; "-" stands for 0.
func (d *Decoder) decimal() float64 {
	p := d.value()
	if len(p) == 1 && p[0] == '-' {
		return 0
	}
	v, err := parseDecimal(p)
	d.setError(err)
	return v
}

// parseDecimal parses plain decimals without allocating and leaves other numbers to strconv.
func parseDecimal(p []byte) (float64, error) {
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
				return 0, fmt.Errorf("%q is not a number", truncate(p))
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

// truncate shortens a text for an error message.
func truncate(p []byte) string {
	if len(p) > 60 {
		return string(p[:60]) + "..."
	}
	return string(p)
}

// AppendInstance appends the line that names the instance whose actions follow.
func AppendInstance(out []byte, instance int) []byte {
	return append(strconv.AppendInt(append(out, "AS "...), int64(instance), 10), '\n')
}

// AppendEndOfReply appends the line that ends a reply.
func AppendEndOfReply(out []byte) []byte { return append(out, "EOR\n"...) }

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
