// Package withdrawn keeps the hosts that the roster has removed or drains beyond the end of a process: it has the one
// form in which they are handed over to a successor and saved in the agent's folder, and the file there.
package withdrawn

import (
	"errors"
	"fmt"

	jsoniter "github.com/json-iterator/go"

	"topazfall"
	"topazfall/internal/decide/addresses"
	"topazfall/internal/decide/sources"
)

// document is the form of sources.Withdrawals. Its JSON names are read by other versions of the program.
type document struct {
	Boot       string `json:"boot"`  // the boot of the machine in which At was read, "" if unknown
	At         int64  `json:"at_us"` // microseconds of the machine's clock since that boot
	Incomplete bool   `json:"incomplete,omitempty"`
	Hosts      []host `json:"hosts"`
}

type host struct {
	Host      string   `json:"host"`
	Dial      string   `json:"dial,omitempty"`
	Addresses []string `json:"addresses,omitempty"`
	Health    string   `json:"health"` // as on discovery's list
	Listed    bool     `json:"listed,omitempty"`
	IdleFor   int64    `json:"idle_us"`
}

const (
	healthDraining = "draining"
	healthRemoved  = "removed"
)

// Moment is a point in time that processes of one boot of the machine can compare, whatever happens to its wall clock.
type Moment struct {
	Boot string // identifies the boot, "" if unknown
	At   int64  // microseconds since then
}

// Encode returns the form of withdrawals as they are at a moment.
func Encode(withdrawals sources.Withdrawals, now Moment) ([]byte, error) {
	d := document{Boot: now.Boot, At: now.At, Incomplete: withdrawals.Incomplete, Hosts: []host{}}
	for _, w := range withdrawals.Hosts {
		h := host{Host: w.ID, Dial: w.Addr, Health: healthRemoved, Listed: w.Listed, IdleFor: w.IdleFor}
		if w.State == topazfall.Draining {
			h.Health = healthDraining
		}
		for _, address := range w.Addrs {
			h.Addresses = append(h.Addresses, address.String())
		}
		d.Hosts = append(d.Hosts, h)
	}
	return jsoniter.ConfigCompatibleWithStandardLibrary.Marshal(d)
}

// Decode returns the withdrawals of a document as they are now. The time since they were written counts if the machine
// has not been booted since. If it has, nobody knows that time: then none counts, so that no host is forgotten early.
func Decode(text []byte, now Moment) (sources.Withdrawals, error) {
	var d document
	if err := jsoniter.Unmarshal(text, &d); err != nil {
		return sources.Withdrawals{}, err
	}
	if d.Hosts == nil {
		return sources.Withdrawals{}, errors.New("it has no hosts")
	}
	elapsed := int64(0)
	if now.Boot != "" && d.Boot == now.Boot {
		elapsed = max(now.At-d.At, 0)
	}
	withdrawals := sources.Withdrawals{Incomplete: d.Incomplete}
	for _, h := range d.Hosts {
		w, err := h.decode()
		if err != nil {
			return sources.Withdrawals{}, err
		}
		// DNS may have listed it up to now.
		if w.IdleFor = h.IdleFor + elapsed; h.Listed || h.Health == healthDraining {
			w.IdleFor = 0
		}
		withdrawals.Hosts = append(withdrawals.Hosts, w)
	}
	return withdrawals, nil
}

func (h host) decode() (w sources.Withdrawn, err error) {
	if h.Host == "" {
		return w, errors.New("a host has no name")
	}
	states := map[string]topazfall.WorkerState{healthDraining: topazfall.Draining, healthRemoved: topazfall.Gone}
	state, known := states[h.Health]
	if !known {
		return w, fmt.Errorf("the health of host %q is %q", h.Host, h.Health)
	}
	list, faults := addresses.ParseList(h.Addresses)
	if len(faults) > 0 {
		return w, fmt.Errorf("address %q of host %q: %w", faults[0].Text, h.Host, faults[0].Err)
	}
	w.Entry = sources.Entry{Worker: topazfall.Worker{ID: h.Host, State: state}, Addr: h.Dial, Addrs: list}
	w.Listed = h.Listed
	return w, nil
}
