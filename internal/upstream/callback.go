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

// HandleCallback processes the body of one callback of a host (worker). handled is false if the callback's message is
// not in flight in this process. The error says why the body cannot be parsed.
func (t *Transport) HandleCallback(body []byte) (handled bool, err error) {
	callback, known, err := parseCallback(body)
	if err != nil || !known { // a state unknown here is unknown to other dispatchers too
		return err == nil, err
	}
	handled = t.core.HandleCallback(callback)
	if callback.State == dispatch.Finished {
		t.limitFinalAnswer(callback.ID, callback.From)
	}
	return handled, nil
}

// limitFinalAnswer limits the time for the answer to a relay whose job has ended by a callback. The answer may arrive
// after the callback, and the connection can then be used again; or it may never be complete.
func (t *Transport) limitFinalAnswer(id, hostID string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for r, c := range t.unanswered {
		if r.Exchange.ID == id && r.Host.ID == hostID {
			c.SetReadDeadline(time.Now().Add(probeTimeout))
		}
	}
}

// finalOutcomes maps the callback states that end a job to outcomes.
var finalOutcomes = map[string]topazfall.Outcome{"done": topazfall.Completed, "failed": topazfall.Errored,
	"returned": topazfall.Saturated, "lost": topazfall.ConnectionLost}

// loadReport matches a load report in a callback. It cannot match within a JSON string, where the quotes are escaped.
var loadReport = regexp.MustCompile(`"load"\s*:\s*\{[^{}"]*("[a-z0-9_]*"[^{}"]*)*\}`)

// parseCallback parses a callback; known is false if its state is not known to this dispatcher.
func parseCallback(body []byte) (callback dispatch.Callback, known bool, err error) {
	var f struct {
		ID     string              `json:"id"`
		From   string              `json:"from"`
		State  string              `json:"state"`
		Share  float64             `json:"share"`
		Result jsoniter.RawMessage `json:"result"`
		Load   jsoniter.RawMessage `json:"load"`
	}
	// A load report with an invalid number, such as NaN, is left out; the rest of the callback counts.
	if err = jsoniter.Unmarshal(body, &f); err != nil {
		if at := loadReport.FindAllIndex(body, 2); len(at) == 1 {
			err = jsoniter.Unmarshal(slices.Concat(body[:at[0][0]], []byte(`"load":null`), body[at[0][1]:]), &f)
		}
	}
	if err != nil {
		return callback, false, err
	}
	if f.ID == "" || f.From == "" || f.State == "" {
		return callback, false, fmt.Errorf("id %q from %q state %q", f.ID, f.From, f.State)
	}
	// A load report that cannot be parsed is left out, too.
	callback = dispatch.Callback{ID: f.ID, From: f.From, Progress: f.Share, Load: parseLoadBody(f.Load)}
	switch f.State {
	case "started":
		callback.State = dispatch.Started
	case "running":
		callback.State = dispatch.Running
	default:
		callback.State = dispatch.Finished
		if callback.Outcome, known = finalOutcomes[f.State]; !known {
			return callback, false, nil
		}
		// Without this check an empty result would be served that no host has produced.
		if callback.Outcome == topazfall.Completed && (len(f.Result) == 0 || string(f.Result) == "null") {
			return callback, false, fmt.Errorf("id %q from %q is done without a result", f.ID, f.From)
		}
	}
	callback.Result, err = decodeResult(f.Result)
	return callback, err == nil, err
}

// decodeResult returns the result that a callback carries as JSON: the text of a string, or anything else unchanged.
func decodeResult(result []byte) ([]byte, error) {
	if len(result) == 0 || result[0] != '"' {
		return result, nil
	}
	if bytes.IndexByte(result, '\\') < 0 { // without escapes the text is not copied again
		return result[1 : len(result)-1], nil
	}
	var text string
	err := jsoniter.Unmarshal(result, &text)
	return []byte(text), err
}

// parseLoadHeader parses a load report of the form name=value,name=value. Invalid parts are left out.
func parseLoadHeader(text []byte) topazfall.Load {
	load := topazfall.NoLoad
	for len(text) > 0 {
		var pair []byte
		pair, text, _ = bytes.Cut(text, []byte{','})
		name, value, _ := bytes.Cut(pair, []byte{'='})
		if v, err := strconv.ParseFloat(string(bytes.TrimSpace(value)), 64); err == nil {
			config.SetLoad(&load, string(bytes.TrimSpace(name)), v)
		}
	}
	return load
}

// parseLoadBody parses a load report in a body, either a JSON object or in the form of the header.
func parseLoadBody(text []byte) topazfall.Load {
	load := topazfall.NoLoad
	var f map[string]float64
	if jsoniter.Unmarshal(text, &f) != nil {
		return parseLoadHeader(text)
	}
	for name, v := range f {
		config.SetLoad(&load, name, v)
	}
	return load
}
