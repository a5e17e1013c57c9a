package admission

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"topazfall"
)

// testScenario returns a short scenario.
func testScenario() Scenario {
	return Scenario{Dispatchers: 30, WorkersPerDispatcher: 0.3, Load: 0.85, Shape: Calm, Reports: Weights,
		Classes: Long, Length: 10 * time.Second, RetryShare: 0.5, Seed: 1}
}

func testOptions() Options {
	return Options{Dispatchers: []int{3, 12}, Loads: []float64{0.85, 1.5}, Shapes: []string{"bursty"},
		Reports: []string{"weights", "answers"}, CutSeconds: []int{0, 1}, Classes: "long", WorkersPerDispatcher: 0.3,
		RetryShare: 1, FirstSeed: 5, Seeds: 2, Length: 5 * time.Second, Parallel: 1}
}

// The same seeds have the same table and the same JSON file to the byte, however many runs are made at a time.
func TestSameSeedSameResult(t *testing.T) {
	output := func(firstSeed uint64, parallel int) (table, file string) {
		o := testOptions()
		o.FirstSeed, o.Parallel = firstSeed, parallel
		r, err := Run(context.Background(), o)
		require.NoError(t, err)
		var buffer bytes.Buffer
		path := filepath.Join(t.TempDir(), "result.json")
		_ = r.Finish(&buffer, path) // the targets are not judged here
		content, err := os.ReadFile(path)
		require.NoError(t, err)
		return buffer.String(), string(content)
	}
	table, file := output(5, 1)
	sameTable, sameFile := output(5, 3)
	require.Equal(t, table, sameTable)
	require.Equal(t, file, sameFile)
	_, otherFile := output(50, 1)
	require.NotEqual(t, file, otherFile)
}

// Each request has exactly one final answer, each refusal and failure a reason, and nothing is left at the end.
func TestEachRequestHasOneAnswer(t *testing.T) {
	for name, change := range map[string]func(*Scenario){
		"calm":          func(*Scenario) {},
		"answers":       func(s *Scenario) { s.Reports = Answers },
		"overload":      func(s *Scenario) { s.Load = 1.5 },
		"overload, cut": func(s *Scenario) { s.Load, s.Cut, s.Reports = 1.5, 6*time.Second, Answers },
		"bursty, cut":   func(s *Scenario) { s.Shape, s.Cut = Bursty, 30*time.Second },
		"hot":           func(s *Scenario) { s.Shape, s.Dispatchers = Hot, 3 },
		"short, cut":    func(s *Scenario) { s.Classes, s.Cut, s.Load, s.Dispatchers = Short, time.Second, 1, 6 },
	} {
		t.Run(name, func(t *testing.T) {
			s := testScenario()
			change(&s)
			m, err := newModel(s)
			require.NoError(t, err)
			m.start()
			m.runUntil(m.endTime())
			m.result.complete(m)
			r := m.result
			require.Positive(t, r.Requests)
			require.Equal(t, r.Requests, r.InTime+r.Late+r.Refused+r.Failed+r.Expired)
			require.Zero(t, r.Violations)
			require.LessOrEqual(t, r.Refused, r.RefusedOnce)
			require.LessOrEqual(t, r.RefusedOnce, sum(r.Refusals))
			require.Equal(t, r.Failed, sum(r.Failures))
			require.Less(t, m.now, m.endTime())
			for _, d := range m.dispatchers {
				require.Empty(t, d.submissions)
			}
			for _, w := range m.workers {
				require.Empty(t, w.queue)
			}
		})
	}
}

func sum(counts []ReasonCount) (total int) {
	for _, c := range counts {
		total += c.Count
	}
	return total
}

// The offered work is the load times the true capacity, the mean of bursty traffic included.
func TestOfferedLoad(t *testing.T) {
	for _, shape := range []Shape{Calm, Bursty, Hot} {
		s := testScenario()
		s.Shape, s.Length, s.Load = shape, 5*time.Minute, 0.3
		m, err := newModel(s)
		require.NoError(t, err)
		m.start()
		m.runUntil(m.endTime())
		expected := s.Load * m.capacity() * s.Length.Seconds()
		require.InEpsilon(t, expected, m.result.Requests, 0.1, shape)
	}
}

// tinyModel returns a model without traffic, with one dispatcher and one standard worker with five cores.
func tinyModel(t *testing.T, workerZone zone, cutLength time.Duration) *model {
	t.Helper()
	s := testScenario()
	s.Dispatchers, s.Reports, s.Cut = 1, Answers, cutLength
	m, err := newModel(s)
	require.NoError(t, err)
	w := &worker{id: "only", kind: workerKind{"standard", 5, 1}, zone: workerZone, speed: 1}
	m.workers, m.workersByID = []*worker{w}, map[string]*worker{w.id: w}
	m.deliverList(m.dispatchers[0], m.list(), 0)
	m.now = m.measuredFrom
	return m
}

// submitAt schedules a request of one second of work.
func (m *model) submitAt(at int64, class int) {
	m.at(at, func() {
		r := &request{dispatcher: m.dispatchers[0], class: class, work: second, hint: second, arrivedAt: at,
			due: at + m.classes[class].Deadline, worth: 1, counted: true}
		m.result.countArrival(r)
		m.submit(r)
	})
}

// Six jobs of a second each at a worker with five cores: five end after the latency of 0.2 ms to the worker, a second,
// and 0.2 ms back. The sixth starts when they end. Its aim is 0.75 s and twice its work, so it is in time as well.
func TestTinyScenario(t *testing.T) {
	m := tinyModel(t, 0, 0)
	start := m.measuredFrom
	for range 6 {
		m.submitAt(start, 0)
	}
	firstEnd := start + sameZoneLatency + second + sameZoneLatency
	m.runUntil(start + sameZoneLatency + 1)
	require.Equal(t, 5, m.workers[0].running)
	require.Len(t, m.workers[0].queue, 1)
	require.Equal(t, topazfall.Load{Queue: 1, Inflight: 5, Free: 0, Util: 1}, m.workers[0].load())
	require.InDelta(t, 5/(1+6./5), m.workers[0].entry(Weights).Weight, 1e-9)
	m.runUntil(firstEnd)
	require.Zero(t, m.result.InTime)
	m.runUntil(firstEnd + 1)
	require.Equal(t, 5, m.result.InTime)
	m.runUntil(firstEnd + second)
	require.Equal(t, 5, m.result.InTime)
	m.runUntil(firstEnd + second + 1)
	require.Equal(t, 6, m.result.InTime)
	require.Equal(t, 6, m.result.Sends)
	m.result.complete(m)
	require.Equal(t, 1.0, m.result.WorthShare)
}

// An unsafe job that runs across the zones when they are cut: its answer is lost, which the dispatcher finds at the end
// of the cut. It must not run again, so it fails.
func TestAnswerLostInCut(t *testing.T) {
	m := tinyModel(t, 1, time.Minute)
	m.submitAt(m.cut.from-second/2, 1)
	m.runUntil(m.cut.from)
	require.Equal(t, 1, m.workers[0].running)
	due := m.cut.from - second/2 + m.classes[1].Deadline
	m.runUntil(due)
	require.Zero(t, m.workers[0].running)
	require.Zero(t, m.result.Failed+m.result.Expired)
	m.runUntil(due + 1)
	require.Equal(t, 1, m.result.Expired) // the deadline of 20 s comes before the end of the cut

	m = tinyModel(t, 1, 3*time.Second)
	m.submitAt(m.cut.from-second/2, 1)
	m.runUntil(m.cut.until)
	require.Zero(t, m.result.Failed)
	m.runUntil(m.cut.until + 1)
	require.Equal(t, 1, m.result.Failed)
	require.Equal(t, 1, m.result.failures[topazfall.RepeatForbidden])
	m = tinyModel(t, 1, 200*time.Millisecond) // the answer comes after a short cut
	m.submitAt(m.cut.from-second/2, 1)
	m.runUntil(m.cut.from + second/2 + 2*crossZoneLatency + 1)
	require.Equal(t, 1, m.result.InTime)
}
