package discovery

import (
	"fmt"
	"log/slog"

	jsoniter "github.com/json-iterator/go"

	"topazfall"
	"topazfall/internal/decide/addresses"
	"topazfall/internal/dispatch"
)

type list struct {
	seq     int64
	whole   bool
	entries []dispatch.Entry
}

var states = map[string]topazfall.WorkerState{
	"up": topazfall.Ready, "draining": topazfall.Draining, "removed": topazfall.Gone}

// parse reads a list and translates it into the module's terms. One odd entry must not hold up the news of
// all the others: a host of which the list says something unknown, or no address, gets nothing new.
func parse(text []byte) (list, error) {
	var f struct {
		Seq   *int64 `json:"seq"`
		Whole bool   `json:"whole"`
		Hosts []struct {
			Host   string              `json:"host"`
			Dial   string              `json:"dial"`
			Addrs  jsoniter.RawMessage `json:"addresses"`
			Site   string              `json:"site"`
			Class  string              `json:"class"`
			Block  int                 `json:"block"`
			Health string              `json:"health"`
			Share  float64             `json:"share"`
			Born   int64               `json:"born_ms"`
		} `json:"hosts"`
	}
	if err := jsoniter.Unmarshal(text, &f); err != nil {
		return list{}, err
	}
	if f.Seq == nil {
		return list{}, fmt.Errorf("no seq")
	}
	l := list{seq: *f.Seq, whole: f.Whole}
	for _, h := range f.Hosts {
		state, ok := states[h.Health]
		addrs := several(h.Host, h.Addrs)
		if !ok || h.Host == "" || h.Dial == "" && len(addrs) == 0 && state == topazfall.Ready {
			slog.Warn("inventory", "odd", "entry", "host", h.Host, "dial", h.Dial, "health", h.Health)
			state = topazfall.Draining
		}
		if h.Host != "" {
			l.entries = append(l.entries,
				dispatch.Entry{Addr: h.Dial, Addrs: addrs, Worker: topazfall.Worker{ID: h.Host, Zone: h.Site,
					Kind: h.Class, Cell: h.Block, State: state, Weight: h.Share, StartedAt: h.Born * 1000}})
		}
	}
	return l, nil
}

// several reads the addresses of a host. What cannot be read costs no more than itself; where nothing is
// left, the host is as one that lists none.
func several(host string, text []byte) []addresses.Address {
	if len(text) == 0 || string(text) == "null" {
		return nil
	}
	var entries []jsoniter.RawMessage
	if err := jsoniter.Unmarshal(text, &entries); err != nil {
		slog.Warn("inventory", "odd", "addresses", "host", host, "error", "no list")
		return nil
	}
	texts := make([]string, len(entries))
	for i, e := range entries {
		if jsoniter.Unmarshal(e, &texts[i]) != nil {
			texts[i] = string(e) // no string, and so no address: the error shows it
		}
	}
	list, faults := addresses.List(texts)
	for _, f := range faults {
		slog.Warn("inventory", "odd", "address", "host", host, "address", f.Text, "error", f.Err)
	}
	return list
}
