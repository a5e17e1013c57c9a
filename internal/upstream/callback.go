package upstream

import (
	"bytes"
	"fmt"
	"regexp"
	"slices"
	"strconv"
	"time"

	jsoniter "github.com/json-iterator/go"

	"topazfall"
	"topazfall/internal/config"
	"topazfall/internal/dispatch"
)

// CallBack takes the body of one call-back and tells whether its message is in hand here. The error says why it
// cannot be read.
func (s *Side) CallBack(body []byte) (taken bool, err error) {
	n, known, err := parseNote(body)
	if err != nil || !known { // a state that says nothing here says nothing anywhere
		return err == nil, err
	}
	taken = s.core.Take(n)
	if n.State == dispatch.Over {
		s.lastWords(n.ID, n.From)
	}
	return taken, nil
}

// lastWords bounds the time for what a host still has to say on the connection of a job that it has told the end of.
// An answer may come after the call-back, and lets the connection be used again; or it never ends.
func (s *Side) lastWords(id, host string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for r, c := range s.early {
		if r.Exchange.ID == id && r.Host.ID == host {
			c.SetReadDeadline(time.Now().Add(probeTime))
		}
	}
}

// ends translates the states that end a job into the module's outcomes.
var ends = map[string]topazfall.Outcome{"done": topazfall.Completed, "failed": topazfall.Errored,
	"returned": topazfall.Saturated, "lost": topazfall.Severed}

// oddLoad finds a load report in a call-back. In a string its quotes would be escaped.
var oddLoad = regexp.MustCompile(`"load"\s*:\s*\{[^{}"]*("[a-z0-9_]*"[^{}"]*)*\}`)

// parseNote reads a call-back; known is false for a state that says nothing to this dispatcher.
func parseNote(body []byte) (n dispatch.Note, known bool, err error) {
	var f struct {
		ID     string              `json:"id"`
		From   string              `json:"from"`
		State  string              `json:"state"`
		Share  float64             `json:"share"`
		Result jsoniter.RawMessage `json:"result"`
		Load   jsoniter.RawMessage `json:"load"`
	}
	// a report with what is no number, NaN for one, costs itself only
	if err = jsoniter.Unmarshal(body, &f); err != nil {
		if at := oddLoad.FindAllIndex(body, 2); len(at) == 1 {
			err = jsoniter.Unmarshal(slices.Concat(body[:at[0][0]], []byte(`"load":null`), body[at[0][1]:]), &f)
		}
	}
	if err != nil {
		return n, false, err
	}
	if f.ID == "" || f.From == "" || f.State == "" {
		return n, false, fmt.Errorf("id %q from %q state %q", f.ID, f.From, f.State)
	}
	// one that can't be read costs itself only
	n = dispatch.Note{ID: f.ID, From: f.From, Share: f.Share, Load: bodyLoad(f.Load)}
	switch f.State {
	case "started":
		n.State = dispatch.Started
	case "running":
		n.State = dispatch.Running
	default:
		n.State = dispatch.Over
		if n.Outcome, known = ends[f.State]; !known {
			return n, false, nil
		}
		// an empty one would be served that no host made
		if n.Outcome == topazfall.Completed && (len(f.Result) == 0 || string(f.Result) == "null") {
			return n, false, fmt.Errorf("id %q from %q is done without a result", f.ID, f.From)
		}
	}
	if len(f.Result) > 0 && f.Result[0] == '"' {
		var text string
		if err := jsoniter.Unmarshal(f.Result, &text); err != nil {
			return n, false, err
		}
		n.Result = []byte(text)
	} else {
		n.Result = f.Result // what is no string goes on as it came
	}
	return n, true, nil
}

// headerLoad reads a load report of the form name=value,name=value. What cannot be read is left out.
func headerLoad(text []byte) topazfall.Load {
	l := topazfall.NoLoad
	for len(text) > 0 {
		var pair []byte
		pair, text, _ = bytes.Cut(text, []byte{','})
		name, value, _ := bytes.Cut(pair, []byte{'='})
		if v, err := strconv.ParseFloat(string(bytes.TrimSpace(value)), 64); err == nil {
			config.SetLoad(&l, string(bytes.TrimSpace(name)), v)
		}
	}
	return l
}

// bodyLoad reads a load report that came as a body, as an object or in the header's form.
func bodyLoad(text []byte) topazfall.Load {
	l := topazfall.NoLoad
	var f map[string]float64
	if jsoniter.Unmarshal(text, &f) != nil {
		return headerLoad(text)
	}
	for name, v := range f {
		config.SetLoad(&l, name, v)
	}
	return l
}
