package addresses

import "testing"

// FuzzParse checks that Parse returns canonical addresses, and that socket paths can be connected to.
func FuzzParse(f *testing.F) {
	for _, text := range []string{"127.0.0.1:9000", "[::1]:9000", "unix:/run/w1.sock", "[::ffff:1.2.3.4]:80",
		"unix:/../a",
		"[fe80::1%25eth0]:1", "1.2.3.4:0", "unix:", "localhost:1", "[::1]", "0x7f.1:80"} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		a, err := Parse(text)
		if err != nil {
			return
		}
		again, err := Parse(a.String())
		if err != nil || again != a {
			t.Fatalf("%q is parsed as %q, and that as %q (%v)", text, a, again, err)
		}
		if a.Network() == "unix" && (len(a.Target()) > maxPathLength || a.Target()[0] != '/') {
			t.Fatalf("%q is not a valid socket path", a.Target())
		}
	})
}
