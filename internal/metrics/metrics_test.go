package metrics

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"topazfall"
)

// All classes start at 0. A removed class keeps its line and position, and a new class gets its own.
func TestClassesKeepTheirLines(t *testing.T) {
	f := &Metrics{}
	f.CountJob(0, Declined) // of no class
	f.AddClasses("lookup", "report")
	f.CountJob(1, Succeeded)
	f.CountJob(1, Succeeded)
	f.AddClasses("report", `n"é`)
	f.CountJob(2, Aborted)
	f.CountJob(3, Aborted)
	f.CountJob(-1, Aborted)
	f.Forwards.Add(4)
	f.Outstanding.Add(5)
	var text strings.Builder
	f.Write(&text)
	require.Equal(t, `# TYPE app_succeeded_total counter
app_succeeded_total{service="lookup"} 0
app_succeeded_total{service="report"} 2
app_succeeded_total{service="n\"é"} 0
# TYPE app_declined_total counter
app_declined_total{service="lookup"} 0
app_declined_total{service="report"} 0
app_declined_total{service="n\"é"} 0
# TYPE app_aborted_total counter
app_aborted_total{service="lookup"} 0
app_aborted_total{service="report"} 0
app_aborted_total{service="n\"é"} 1
# TYPE app_forwards_total counter
app_forwards_total 4
# TYPE app_outstanding gauge
app_outstanding 5
# TYPE app_discovered gauge
app_discovered 0
# TYPE app_ejected gauge
app_ejected 0
# TYPE app_sighup_applied_total counter
app_sighup_applied_total 0
# TYPE app_sighup_rejected_total counter
app_sighup_rejected_total 0
`, text.String())
}

// Rejections are counted by reason from the first one on. A reason that is none of the constants is counted as unknown.
func TestRejectionsByReason(t *testing.T) {
	m := &Metrics{}
	m.CountRejection(topazfall.LateRisk)
	m.CountRejection(topazfall.LateRisk)
	m.CountRejection(topazfall.OverQuota)
	m.CountRejection(-1)
	m.CountRejection(1000)
	var text strings.Builder
	m.Write(&text)
	require.Contains(t, text.String(), `# TYPE app_rejected_total counter
app_rejected_total{reason="over_quota"} 1
app_rejected_total{reason="late_risk"} 2
app_rejected_total{reason="unknown"} 2
`)
}
