package topazfall

import (
	"slices"

	"topazfall/internal/decide/gossip"
	"topazfall/internal/decide/ramp"
)

// What dispatchers tell each other of workers, between the module and internal/decide/gossip, which says whom. What it
// means for a choice is in balancer.go; how much of it is believed at once is here.

// restByWord bounds what words can do: while one in so many of the listed workers rests, none goes to rest for a word
// more.
const restByWord = 3

// tell lets those who share a worker know that a job has been sent there, or has ended. Worth its price is what
// occupies it for long and can go nowhere else, and what leaves it with a backlog: to all who read the list it still
// looks freer than others, and each would send there. What is short has mostly ended before the list is heard again. Of
// a cold worker all is told, as what it bears is spent together. What was sent is kept for this dispatcher's own
// account as well.
func (b *Balancer) tell(op gossip.Op, a *attempt) {
	if op == gossip.Sent {
		a.w.sent.Add(ramp.Sent{At: b.now, Work: a.r.work, Own: true}, b.s.Contract.FallTime)
	}
	if op == gossip.Sent && b.hasPeers() && a.w.listed {
		final := a.r.class.Repeat == Unsafe && a.r.work > b.jobTime
		a.told = b.cold(a.w) || final || 2*a.r.work > b.jobTime && b.region(a.w) > 0
	}
	if a.told {
		b.inform(op, a)
	}
}

// inform lets those know of an attempt who may send to its worker as well: its users of this turn and of the next,
// where it was cold, else its sharers.
func (b *Balancer) inform(op gossip.Op, a *attempt) {
	word := gossip.Word{Op: op, At: b.now, Host: a.w.name, Work: int64(a.r.work)}
	if op == gossip.Sent && b.cold(a.w) {
		a.turn, _, _ = b.coldTurn(a.w)
		a.turn.Users++ // the first of the next turn
	}
	if a.turn.Users == 0 {
		b.informSharers(word, a.w)
		return
	}
	data := word.Append(nil)
	b.circle.Each(a.turn, func(peer int) {
		if peer != b.s.Me && a.w.listed {
			b.do(Action{Kind: TellPeer, Peer: peer, Data: data})
		}
	})
}

// informSharers lets those know who have a worker among their buddies, if as many are out for them as for this one.
func (b *Balancer) informSharers(word gossip.Word, w *worker) {
	if !w.listed {
		return
	}
	data := word.Append(nil)
	place := slices.Index(b.ranked, w)
	gossip.Sharers(place, len(b.ranked), b.reach, b.s.Me, b.s.Dispatchers, func(peer int) {
		b.do(Action{Kind: TellPeer, Peer: peer, Data: data})
	})
}

// hasPeers tells whether there is anybody to talk to. Where no more dispatchers are there than share a worker anyway,
// each hears of all of them by its own jobs, and a word costs more than it saves.
func (b *Balancer) hasPeers() bool { return b.s.Allowed.PeerMessages && b.s.Dispatchers > cover }

// fault blames a worker, and lets those know who use it: each would find out by a job of its own. To tell all has its
// price at each of hundreds, of whom a dozen or two will ever send there.
func (b *Balancer) fault(w *worker) {
	if b.hasPeers() {
		b.informSharers(gossip.Word{Op: gossip.Failed, At: b.now, Host: w.name}, w)
	}
	b.blame(w)
}

// hear takes what another dispatcher tells. What is odd, old or of an unknown worker is dropped, and counted.
func (b *Balancer) hear(e *Event) {
	word, err := gossip.Parse(e.Data, b.now)
	known := false
	if err == nil && e.From >= 0 && e.From != b.s.Me {
		for _, w := range b.ranked {
			if w.name == word.Host {
				known = true
				b.heed(word, w)
			}
		}
	}
	if !known {
		b.unheeded++
	}
}

func (b *Balancer) heed(word gossip.Word, w *worker) {
	switch word.Op {
	case gossip.Sent:
		w.told.Add(word.At, 1)
		w.sent.Add(ramp.Sent{At: b.now, Work: float64(word.Work)}, b.s.Contract.FallTime)
	case gossip.Ended:
		w.told.Add(word.At, -1)
	case gossip.Failed:
		resting := 0
		for _, other := range b.ranked {
			if b.now < other.downUntil {
				resting++
			}
		}
		if restByWord*resting < len(b.ranked) { // gossip must not leave nobody to serve
			b.blame(w)
		}
	}
}

// Unheeded is how many words of other dispatchers were dropped.
func (b *Balancer) Unheeded() int { return b.unheeded }

// foldHearsay makes held what it was at a later time, by what was told, and returns what has come since then.
func (w *worker) foldHearsay(of int64) (since float64) {
	since = float64(w.told.Since(of))
	w.held += float64(w.told.Since(w.reportOf)) - since
	w.reportOf = of
	return since
}
