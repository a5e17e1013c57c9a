package scale

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	jsoniter "github.com/json-iterator/go"
	"github.com/stretchr/testify/require"

	"topazfall/internal/lab/report"
)

// benchWithinBounds returns a bench with points for every metric that meet all bounds. Times are in ms.
func benchWithinBounds() *Bench {
	b := NewBench(Options{Seed: 7}, &strings.Builder{})
	b.Calibration = &Calibration{cpuTimes: []time.Duration{time.Millisecond},
		wallTimes: []time.Duration{time.Millisecond}}
	b.recordCalibration()
	for _, k := range []string{sourceReal, sourceSimulated} {
		for _, workers := range []float64{200, 800, 1600, 3000, 5500} {
			b.Add(metricIdleCPU, axisWorkers, "% of a core", k, workers, 0.1)
			b.Add(metricChangeCPU, axisWorkers, "ms", k, workers, workers/5500)
			b.Add(metricReweightCPU, axisWorkers, "ms", k, workers, 2*workers/5500)
			b.Add(metricGossipCPU, axisWorkers, "ms", k, workers, 0.001*workers/5500)
			b.Add(metricSnapshotCPU, axisWorkers, "ms", k, workers, workers/5500)
			b.Add(metricResident, axisWorkers, "MB", k, workers, 60*workers/5500)
			b.Add(metricIdleBytes, axisWorkers, "B/s", k, workers, 100)
			b.Add(metricChangeBytes, axisWorkers, "B", k, workers, 100)
			b.Add(metricReweightBytes, axisWorkers, "B", k, workers, 500)
			b.Add(metricSnapshotBytes, axisWorkers, "kB", k, workers, 1)
		}
	}
	for _, teams := range []float64{6, 50, 120, 250, 490} {
		b.Add(metricQuotaChange, axisTeams, "ms", sourceReal, teams, 1)
		b.Add(metricConfigBytes, axisTeams, "B", sourceReal, teams, 100)
	}
	return b
}

// finishWithBounds adds the capacity bounds to a bench. It returns the printed report, and the error with which the
// command would end.
func finishWithBounds(t *testing.T, b *Bench) (string, error) {
	require.NoError(t, b.Fit())
	require.NoError(t, b.AddCapacityBounds())
	var out strings.Builder
	err := b.Report().Finish(&out, "")
	return out.String(), err
}

// A report that meets all bounds gives no error. A metric that is too high gives an error that names the bound.
func TestMissedBoundsAreReported(t *testing.T) {
	text, err := finishWithBounds(t, benchWithinBounds())
	require.NoError(t, err, text)
	for metric, want := range map[string]string{
		metricIdleCPU:       "processor time for control, ordinary day",
		metricIdleBytes:     "bytes for control, ordinary day",
		metricResident:      "resident memory of a dispatcher",
		metricReweightBytes: "bytes for control, ordinary day with live weights",
		metricQuotaChange:   "processor time for control, busiest minutes",
		metricConfigBytes:   "bytes for control, ordinary day",
	} {
		b := benchWithinBounds()
		for _, s := range b.Series {
			if s.Metric == metric {
				for i := range s.Points {
					s.Points[i].Y *= 1000
				}
			}
		}
		text, err := finishWithBounds(t, b)
		require.ErrorContains(t, err, want, metric)
		require.Contains(t, text, "MISSED")
	}
}

// Simulated dispatchers that are much cheaper than real ones make the run fail.
func TestSimulatedCostsDiffer(t *testing.T) {
	b := benchWithinBounds()
	for _, s := range b.Series {
		if s.Metric == metricChangeCPU && s.Source == sourceSimulated {
			for i := range s.Points {
				s.Points[i].Y /= 2
			}
		}
	}
	_, err := finishWithBounds(t, b)
	require.ErrorContains(t, err, "hollow dispatchers differ from real ones: processor time of a change")
}

// A bound in wall-clock time that is exceeded on a busy machine is not judged, but still an error. On a steady machine
// it is missed, and so is a count of events on any machine.
func TestBusyMachine(t *testing.T) {
	slow := Bound{Name: "slow", Value: 5, Max: 4, Unit: "s", IsWallClock: true}
	for _, c := range []struct {
		wall time.Duration
		want string
	}{{time.Millisecond, "were missed: slow"}, {3 * time.Millisecond, "not judged: slow (machine too busy)"}} {
		b := benchWithinBounds()
		b.Calibration = &Calibration{cpuTimes: []time.Duration{time.Millisecond}, wallTimes: []time.Duration{c.wall}}
		b.AddBound(slow)
		_, err := finishWithBounds(t, b)
		require.ErrorContains(t, err, c.want)
		b.AddBound(Bound{Name: "lost", Value: 1})
		_, err = finishWithBounds(t, b)
		require.ErrorContains(t, err, "were missed: ")
		require.Contains(t, strings.Split(strings.Split(err.Error(), ": ")[1], "(machine")[0], "lost")
	}
}

// A report that is written to a file and read again has the same series and bounds.
func TestRoundTrip(t *testing.T) {
	b := benchWithinBounds()
	require.NoError(t, b.Fit())
	require.NoError(t, b.AddCapacityBounds())
	file := filepath.Join(t.TempDir(), "scale.json")
	require.NoError(t, b.Report().Finish(&strings.Builder{}, file))
	text, err := os.ReadFile(file)
	require.NoError(t, err)
	var back struct {
		report.Report
		Data []*Series `json:"data"`
	}
	require.NoError(t, jsoniter.Unmarshal(text, &back))
	require.Equal(t, b.Series, back.Data)
	require.Equal(t, b.Report().Bounds, back.Bounds)
	require.EqualValues(t, 7, back.Seed)
}

// A metric that was not measured gives an error; it does not count as 0.
func TestUnmeasured(t *testing.T) {
	b := benchWithinBounds()
	b.Series = slices.DeleteFunc(b.Series, func(s *Series) bool {
		return s.Metric == metricIdleCPU && s.Source == sourceReal
	})
	require.NoError(t, b.Fit())
	require.ErrorContains(t, b.AddCapacityBounds(), metricIdleCPU+" over workers (real) is not measured")
}

// At returns the median of the values measured at x, or else the fitted value.
func TestAt(t *testing.T) {
	var d Data
	d.Add("f", "x", "ms", sourceReal, 1, 1, 1.2, 9)
	d.Add("f", "x", "ms", sourceReal, 2, 2)
	_, err := d.At("f", "x", sourceReal, 3)
	require.ErrorContains(t, err, "has no fit")
	for _, x := range []float64{4, 5, 6} {
		d.Add("f", "x", "ms", sourceReal, x, x)
	}
	require.NoError(t, d.Fit())
	at, err := d.At("f", "x", sourceReal, 1)
	require.NoError(t, err)
	require.Equal(t, 1.2, at)
	_, err = d.At("f", "x", sourceReal, 3)
	require.NoError(t, err)
}

// Each metric and axis gets one chart with all its sources.
func TestCharts(t *testing.T) {
	b, dir := benchWithinBounds(), t.TempDir()
	require.NoError(t, b.Fit())
	require.NoError(t, WriteCharts(dir, b.Series))
	text, err := os.ReadFile(filepath.Join(dir, "resident-memory-over-workers.svg"))
	require.NoError(t, err)
	require.Contains(t, string(text), "<svg")
	require.Contains(t, string(text), "real, linear")
	require.Contains(t, string(text), "hollow, linear")
}

// The number of simulated dispatchers is limited by the memory budget.
func TestMemoryBudget(t *testing.T) {
	s := Setup{Workers: 5500, Real: 5, Simulated: 300}
	require.Less(t, maxSimulatedWithin(4<<30, s), 60)
	require.Positive(t, maxSimulatedWithin(4<<30, s))
	require.Zero(t, maxSimulatedWithin(0, s))
	s.Workers = 200
	require.Equal(t, 300, maxSimulatedWithin(8<<30, s))
	budget, err := memoryBudget()
	require.NoError(t, err)
	require.Positive(t, budget)
}

// Recomputing from the files of earlier runs gives the same bounds. Bounds that do not follow from a fit are kept, also
// if they were missed.
func TestRecompute(t *testing.T) {
	b := benchWithinBounds()
	require.NoError(t, b.Fit())
	require.NoError(t, b.AddCapacityBounds())
	b.AddBound(Bound{Name: "lost", Value: 1})
	whole, part := filepath.Join(t.TempDir(), "whole.json"), filepath.Join(t.TempDir(), "part.json")
	require.Error(t, b.Report().Finish(&strings.Builder{}, whole))
	again, err := Recompute([]string{whole}, "")
	require.NoError(t, err)
	require.ElementsMatch(t, b.Report().Bounds, again.Bounds)
	require.Equal(t, b.Report().Rows, again.Rows)

	later := NewBench(Options{Seed: 7}, &strings.Builder{})
	later.Add(metricIdleCPU, axisWorkers, "% of a core", sourceReal, 5500, 100)
	require.NoError(t, later.Report().Finish(&strings.Builder{}, part))
	again, err = Recompute([]string{whole, part}, "")
	require.NoError(t, err)
	require.ErrorContains(t, again.Finish(&strings.Builder{}, ""), "processor time for control, ordinary day")
	_, err = Recompute([]string{whole + "x"}, "")
	require.Error(t, err)
}

// Each assumption that is too low by a factor of 3 raises the bytes of an ordinary day.
func TestSensitivity(t *testing.T) {
	b := benchWithinBounds()
	require.NoError(t, b.Fit())
	day, err := b.Bytes(ordinaryDay())
	require.NoError(t, err)
	require.NoError(t, b.AddSensitivity())
	shown := 0
	for _, w := range b.derived {
		if strings.HasPrefix(w.name, derivedBytesPrefix) {
			require.Greater(t, w.value, day, w.name)
			shown++
		}
	}
	require.Equal(t, len(assumptions), shown)
}
