package discovery

import (
	"fmt"
	"log/slog"

	jsoniter "github.com/json-iterator/go"

	"topazfall"
	"topazfall/internal/decide/addresses"
	"topazfall/internal/dispatch"
)

// list is an answer of discovery: the whole list of workers, or the changes since the version that the call named.
type list struct {
	seq     int64
	whole   bool
	entries []dispatch.Entry
}

var workerStates = map[string]topazfall.WorkerState{
	"up": topazfall.Ready, "draining": topazfall.Draining, "removed": topazfall.Gone}

// parseList parses a list of workers, which discovery calls hosts. An invalid entry must not prevent the others from
// taking effect: a worker with an unknown state, or one that is up without an address, counts as draining and gets no
// new requests. An entry without a host name is skipped.
func parseList(text []byte) (list, error) {
	var document struct {
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
	if err := jsoniter.Unmarshal(text, &document); err != nil {
		return list{}, err
	}
	if document.Seq == nil {
		return list{}, fmt.Errorf("the list has no seq")
	}
	l := list{seq: *document.Seq, whole: document.Whole}
	for _, host := range document.Hosts {
		state, ok := workerStates[host.Health]
		addrs := parseAddresses(host.Host, host.Addrs)
		if !ok || host.Host == "" || host.Dial == "" && len(addrs) == 0 && state == topazfall.Ready {
			slog.Warn("inventory", "odd", "entry", "host", host.Host, "dial", host.Dial, "health", host.Health)
			state = topazfall.Draining
		}
		if host.Host != "" {
			l.entries = append(l.entries,
				dispatch.Entry{Addr: host.Dial, Addrs: addrs, Worker: topazfall.Worker{ID: host.Host, Zone: host.Site,
					Kind: host.Class, Cell: host.Block, State: state, Weight: host.Share, StartedAt: host.Born * 1000}})
		}
	}
	return l, nil
}

// parseAddresses parses the list of a worker's addresses and skips invalid ones. A worker whose addresses are all
// invalid counts as one without a list.
func parseAddresses(host string, text []byte) []addresses.Address {
	if len(text) == 0 || string(text) == "null" {
		return nil
	}
	var entries []jsoniter.RawMessage
	if err := jsoniter.Unmarshal(text, &entries); err != nil {
		slog.Warn("inventory", "odd", "addresses", "host", host, "error", "not a list")
		return nil
	}
	texts := make([]string, len(entries))
	for i, entry := range entries {
		if jsoniter.Unmarshal(entry, &texts[i]) != nil {
			texts[i] = string(entry) // not a string, so not an address: it is logged as a fault
		}
	}
	valid, faults := addresses.ParseList(texts)
	for _, fault := range faults {
		slog.Warn("inventory", "odd", "address", "host", host, "address", fault.Text, "error", fault.Err)
	}
	return valid
}
