package discovery

import (
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"topazfall"
	"topazfall/internal/decide/addresses"
)

// Retry-After is used if it is a number of seconds, and is limited; any other value counts as 0.
func TestRetryAfter(t *testing.T) {
	for text, want := range map[string]time.Duration{"": 0, "7": 7 * time.Second, "0.25": 250 * time.Millisecond,
		"-3":  0,
		"NaN": 0, "Inf": time.Hour, "1e99": time.Hour, "0": 0, "Wed, 21 Oct 2015 07:28:00 GMT": 0} {
		require.Equal(t, want, parseRetryAfter([]byte(text)), text)
	}
}

// FuzzParse checks that whatever a list holds, each parsed entry has an id, and an address if it is ready.
func FuzzParse(f *testing.F) {
	for _, text := range []string{`{"seq":1,"whole":true,"hosts":[{"host":"a","dial":"1.2.3.4:5","health":"up"}]}`,
		`{"seq":2,"hosts":[{"host":"a","addresses":["[::1]:1","unix:/a","[::1]:1",7,null,"x"],"health":"draining"}]}`,
		`{"seq":2,"hosts":[{"host":"a","dial":"1.2.3.4:5","addresses":{"a":1},"health":"odd"}]}`, `{"seq":"1"}`, `{}`,
		`[`, ``} {
		f.Add([]byte(text))
	}
	slog.SetDefault(slog.New(slog.DiscardHandler))
	f.Fuzz(func(t *testing.T, text []byte) {
		l, err := parseList(text)
		if err != nil {
			return
		}
		for _, e := range l.entries {
			require.NotEmpty(t, e.ID)
			require.LessOrEqual(t, len(e.Addrs), addresses.MaxAddresses)
			require.True(t, e.State != topazfall.Ready || e.Addr != "" || len(e.Addrs) > 0,
				"a ready worker without an address")
		}
	})
}
