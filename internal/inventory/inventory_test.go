package inventory

import (
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"topazfall"
	"topazfall/internal/decide/addresses"
)

// A dispatcher among few tries again in time for its watch to go on; one of many leaves a discovery that is asked to the
// others by chance, and none stays away for long. A watch that has fallen silent is open again before what it missed counts
// as told, and an agent on the own machine is called again several times within the grace of a drain, however many there are.
func TestPause(t *testing.T) {
	for _, asked := range []bool{false, true} {
		for _, dispatchers := range []int{1, 3, 8, 48, 300, 2000} {
			terms := Terms{dispatchers, asked, 250 * time.Millisecond, 10 * time.Second}
			seen := map[time.Duration]bool{}
			for failures := 1; failures < 99; failures++ {
				p, silent := terms.pause(failures, false), terms.pause(failures, true)
				seen[p] = true
				require.Positive(t, p)
				require.Less(t, wait+grace+silent+wait+grace, silence+terms.Grace)
				if dispatchers < 8 || !asked {
					require.LessOrEqual(t, p, 600*time.Millisecond)
				}
				if !asked {
					require.LessOrEqual(t, 2*max(p, silent)+terms.beat(), terms.Grace)
				}
				if asked && failures > 5 { // so many calls a second of all together, where it says that it has no room
					require.LessOrEqual(t, float64(dispatchers)/p.Seconds(), 14.)
				}
			}
			require.Greater(t, len(seen), 50, "not all at the same time")
			require.True(t, dispatchers > 7 || terms.pause(1, true) < 200*time.Millisecond)
		}
	}
}

// What an agent has counts as told from a process's first moment: it is called at once. Where discovery must be asked there
// is more time, and those who start together must not all ask in one moment: it answers a few a second, and what waits too
// long fails.
func TestLead(t *testing.T) {
	s := topazfall.Settings{Contract: topazfall.Contract{DrainGrace: 500_000, AskEvery: 10_000_000}}
	for _, ask := range []bool{false, true} {
		s.AskForList = ask
		for _, dispatchers := range []int{1, 8, 80, 300, 2000} {
			s.Dispatchers = dispatchers
			w, longest, calls := New("", nil, TermsOf(&s)), time.Duration(0), map[time.Duration]int{}
			require.Zero(t, w.lead(), "without a list there is nothing to wait with")
			w.known = true
			for range dispatchers * 100 { // a hundred joint starts
				lead := w.lead()
				longest = max(longest, lead)
				calls[lead.Truncate(time.Second)]++
			}
			require.LessOrEqual(t, longest, 5*time.Second)
			require.True(t, ask || longest == 0)
			require.True(t, !ask || dispatchers < 2*few || longest > 200*time.Millisecond, longest)
			for second, n := range calls { // spread over the seconds that the contract leaves
				require.True(t, !ask || dispatchers < 80 || n/100 <= dispatchers/5+dispatchers/40, second)
			}
		}
	}
}

// FuzzParse: no list, however odd, does more than cost what is odd in it.
func FuzzParse(f *testing.F) {
	for _, text := range []string{`{"seq":1,"whole":true,"hosts":[{"host":"a","dial":"1.2.3.4:5","health":"up"}]}`,
		`{"seq":2,"hosts":[{"host":"a","addresses":["[::1]:1","unix:/a","[::1]:1",7,null,"x"],"health":"draining"}]}`,
		`{"seq":2,"hosts":[{"host":"a","dial":"1.2.3.4:5","addresses":{"a":1},"health":"odd"}]}`, `{"seq":"1"}`, `{}`, `[`, ``} {
		f.Add([]byte(text))
	}
	slog.SetDefault(slog.New(slog.DiscardHandler))
	f.Fuzz(func(t *testing.T, text []byte) {
		l, err := parse(text)
		if err != nil {
			return
		}
		for _, e := range l.entries {
			require.NotEmpty(t, e.ID)
			require.LessOrEqual(t, len(e.Addrs), addresses.Most)
			require.True(t, e.State != topazfall.Ready || e.Addr != "" || len(e.Addrs) > 0, "ready, and not to be reached")
		}
	})
}
