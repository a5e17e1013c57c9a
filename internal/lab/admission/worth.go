package admission

import "time"

const (
	worthStep      = 100 * millisecond // the resolution of a worthSeries
	recoveryWindow = 2 * second        // the length of the window in which the served share is compared
	recoveredShare = 0.95              // of the share before the cut, which counts as recovered
)

// minRecoveryTarget is the recovery target after a short cut.
const minRecoveryTarget = 3 * time.Second

// recoveryTarget returns how soon after a cut the served share should have recovered.
func recoveryTarget(cut time.Duration) time.Duration { return max(minRecoveryTarget, cut/2) }

// Recovery says how the service recovered from a cut.
type Recovery struct {
	ShareBefore float64 `json:"share_before"` // of the worth that was served before the cut
	Reached     bool    `json:"reached"`      // before the run ended
	Seconds     float64 `json:"seconds"`      // from the end of the cut; until the end of the run if not reached
}

// worthSeries holds the worth of the requests that arrived in each step, and that of those that were served in time.
type worthSeries struct {
	from            int64
	offered, served []float64
}

func newWorthSeries(from, length int64) worthSeries {
	steps := length/worthStep + 1
	return worthSeries{from, make([]float64, steps), make([]float64, steps)}
}

// step returns the index of the step that contains a time.
func (w *worthSeries) step(at int64) int { return int((at - w.from) / worthStep) }

func (w *worthSeries) addOffered(arrivedAt int64, worth float64) {
	w.offered[w.step(arrivedAt)] += worth
}

func (w *worthSeries) addServed(arrivedAt int64, worth float64) { w.served[w.step(arrivedAt)] += worth }

// share returns the share of the worth that was served, of the requests that arrived in a range of steps. It is 1 if
// none arrived.
func (w *worthSeries) share(from, until int) float64 {
	offered, served := 0.0, 0.0
	for i := from; i < until; i++ {
		offered += w.offered[i]
		served += w.served[i]
	}
	if offered == 0 {
		return 1
	}
	return served / offered
}

// bySecond returns the share of the worth that was served by the second of arrival.
func (w *worthSeries) bySecond() (shares []float64) {
	const steps = int(second / worthStep)
	for from := 0; from+steps <= len(w.offered); from += steps {
		shares = append(shares, w.share(from, from+steps))
	}
	return shares
}

// recovery finds the first window that ends at the end of the cut or later and in which the served share has
// recovered.
func (w *worthSeries) recovery(c cut) Recovery {
	const window = int(recoveryWindow / worthStep)
	before := w.share(0, w.step(c.from))
	cutEnd, last := w.step(c.until), len(w.offered)-1
	for end := cutEnd; end <= last; end++ {
		if w.share(end-window, end) >= recoveredShare*before {
			return Recovery{before, true, stepsToSeconds(end - cutEnd)}
		}
	}
	return Recovery{before, false, stepsToSeconds(last - cutEnd)}
}

func stepsToSeconds(steps int) float64 { return float64(int64(steps)*worthStep) / float64(second) }
