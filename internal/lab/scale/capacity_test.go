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

// cheap is a bench whose every figure was measured and keeps the operators' figures; times are in ms.
func cheap() *Bench {
	b := NewBench(Options{Seed: 7}, &strings.Builder{})
	b.Calibration = &Calibration{spent: []time.Duration{time.Millisecond}, wall: []time.Duration{time.Millisecond}}
	b.keepPace()
	for _, k := range []string{fromReal, fromHollow} {
		for _, workers := range []float64{200, 800, 1600, 3000, 5500} {
			b.Add(figureIdle, axisWorkers, "% of a core", k, workers, 0.1)
			b.Add(figureChange, axisWorkers, "ms", k, workers, workers/5500)
			b.Add(figureReweigh, axisWorkers, "ms", k, workers, 2*workers/5500)
			b.Add(figureWordReal, axisWorkers, "ms", k, workers, 0.001*workers/5500)
			b.Add(figureLoad, axisWorkers, "ms", k, workers, workers/5500)
			b.Add(figureResident, axisWorkers, "MB", k, workers, 60*workers/5500)
			b.Add(figureIdleBytes, axisWorkers, "B/s", k, workers, 100)
			b.Add(figureChangeBytes, axisWorkers, "B", k, workers, 100)
			b.Add(figureReweighB, axisWorkers, "B", k, workers, 500)
			b.Add(figureLoadBytes, axisWorkers, "kB", k, workers, 1)
		}
	}
	for _, teams := range []float64{6, 50, 120, 250, 490} {
		b.Add(figureReload, axisTeams, "ms", fromReal, teams, 1)
		b.Add(figureReloadBytes, axisTeams, "B", fromReal, teams, 100)
	}
	return b
}

// finish judges a bench and returns what the command returns.
func finish(t *testing.T, b *Bench) (string, error) {
	require.NoError(t, b.Fit())
	require.NoError(t, b.AddCapacityBounds())
	var out strings.Builder
	err := b.Report().Finish(&out, "")
	return out.String(), err
}

// What keeps all bars is no error; each miss that is planted is one, which names it.
func TestPlantedMisses(t *testing.T) {
	text, err := finish(t, cheap())
	require.NoError(t, err, text)
	for figure, want := range map[string]string{
		figureIdle:        "processor time for control, ordinary day",
		figureIdleBytes:   "bytes for control, ordinary day",
		figureResident:    "resident memory of a dispatcher",
		figureReweighB:    "bytes for control, ordinary day with live weights",
		figureReload:      "processor time for control, busiest minutes",
		figureReloadBytes: "bytes for control, ordinary day",
	} {
		b := cheap()
		for _, s := range b.Series {
			if s.Metric == figure {
				for i := range s.Points {
					s.Points[i].Y *= 1000
				}
			}
		}
		text, err := finish(t, b)
		require.ErrorContains(t, err, want, figure)
		require.Contains(t, text, "MISSED")
	}
}

// A hollow dispatcher that is much cheaper than a real one spoils the run.
func TestHollowThatDiffers(t *testing.T) {
	b := cheap()
	for _, s := range b.Series {
		if s.Metric == figureChange && s.Source == fromHollow {
			for i := range s.Points {
				s.Points[i].Y /= 2
			}
		}
	}
	_, err := finish(t, b)
	require.ErrorContains(t, err, "hollow dispatchers differ from real ones: processor time of a change")
}

// A figure in wall-clock time that is missed on a busy machine is not judged, and still no success; one that is
// missed on a steady one is missed, and so is one that counts events whatever the machine does.
func TestBusyMachine(t *testing.T) {
	slow := Bound{Name: "slow", Value: 5, Max: 4, Unit: "s", IsWallClock: true}
	for _, c := range []struct {
		wall time.Duration
		want string
	}{{time.Millisecond, "were missed: slow"}, {3 * time.Millisecond, "not judged: slow (machine too busy)"}} {
		b := cheap()
		b.Calibration = &Calibration{spent: []time.Duration{time.Millisecond}, wall: []time.Duration{c.wall}}
		b.AddBound(slow)
		_, err := finish(t, b)
		require.ErrorContains(t, err, c.want)
		b.AddBound(Bound{Name: "lost", Value: 1})
		_, err = finish(t, b)
		require.ErrorContains(t, err, "were missed: ")
		require.Contains(t, strings.Split(strings.Split(err.Error(), ": ")[1], "(machine")[0], "lost")
	}
}

// What was measured comes back from the file as it went there.
func TestRoundTrip(t *testing.T) {
	b := cheap()
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

// A figure that was not measured is an error, and no zero.
func TestUnmeasured(t *testing.T) {
	b := cheap()
	b.Series = slices.DeleteFunc(b.Series, func(s *Series) bool {
		return s.Metric == figureIdle && s.Source == fromReal
	})
	require.NoError(t, b.Fit())
	require.ErrorContains(t, b.AddCapacityBounds(), figureIdle+" over workers (real) is not measured")
}

// Where it was measured a figure is the median, elsewhere the fit.
func TestAt(t *testing.T) {
	var d Data
	d.Add("f", "x", "ms", fromReal, 1, 1, 1.2, 9)
	d.Add("f", "x", "ms", fromReal, 2, 2)
	_, err := d.At("f", "x", fromReal, 3)
	require.ErrorContains(t, err, "has no fit")
	for _, x := range []float64{4, 5, 6} {
		d.Add("f", "x", "ms", fromReal, x, x)
	}
	require.NoError(t, d.Fit())
	at, err := d.At("f", "x", fromReal, 1)
	require.NoError(t, err)
	require.Equal(t, 1.2, at)
	_, err = d.At("f", "x", fromReal, 3)
	require.NoError(t, err)
}

// A chart is drawn for each figure and axis, with all its sources.
func TestCharts(t *testing.T) {
	b, dir := cheap(), t.TempDir()
	require.NoError(t, b.Fit())
	require.NoError(t, WriteCharts(dir, b.Series))
	text, err := os.ReadFile(filepath.Join(dir, "resident-memory-over-workers.svg"))
	require.NoError(t, err)
	require.Contains(t, string(text), "<svg")
	require.Contains(t, string(text), "real, linear")
	require.Contains(t, string(text), "hollow, linear")
}

// No more hollow dispatchers are started than there is memory for.
func TestMemoryBound(t *testing.T) {
	s := Setup{Workers: 5500, Real: 5, Simulated: 300}
	require.Less(t, hollowWithin(4<<30, s), 60)
	require.Positive(t, hollowWithin(4<<30, s))
	require.Zero(t, hollowWithin(0, s))
	s.Workers = 200
	require.Equal(t, 300, hollowWithin(8<<30, s))
	room, err := memoryRoom()
	require.NoError(t, err)
	require.Positive(t, room)
}

// What earlier runs kept is worked out anew to the same bars; bars that follow from no slope stay, and so do their
// misses.
func TestRework(t *testing.T) {
	b := cheap()
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
	later.Add(figureIdle, axisWorkers, "% of a core", fromReal, 5500, 100)
	require.NoError(t, later.Report().Finish(&strings.Builder{}, part))
	again, err = Recompute([]string{whole, part}, "")
	require.NoError(t, err)
	require.ErrorContains(t, again.Finish(&strings.Builder{}, ""), "processor time for control, ordinary day")
	_, err = Recompute([]string{whole + "x"}, "")
	require.Error(t, err)
}

// Each assumption that is wrong by 3 times shows in what an ordinary day takes.
func TestSensitivity(t *testing.T) {
	b := cheap()
	require.NoError(t, b.Fit())
	day, err := b.Bytes(ordinary())
	require.NoError(t, err)
	require.NoError(t, b.AddSensitivity())
	shown := 0
	for _, w := range b.worked {
		if strings.HasPrefix(w.what, workedBytes) {
			require.Greater(t, w.value, day, w.what)
			shown++
		}
	}
	require.Equal(t, len(assumptions), shown)
}
