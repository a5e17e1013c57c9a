package frontend

import (
	"bytes"

	"github.com/valyala/fasthttp"

	"topazfall/internal/exchange"
)

// once names the fields that may come only once: where they come twice, a host might go by the other.
var once = map[string]bool{"host": true, "content-length": true, "transfer-encoding": true, "x-request-id": true,
	"x-priority-class": true, "x-tenant-id": true, "x-timeout-ms": true, "x-retried": true, "x-cost": true,
	"x-attrs": true}

// misframed says what is wrong with the frame of a request that came in so many bytes, if anything is. The
// server is lenient here: it takes a Content-Length beside a Transfer-Encoding, folded lines, bare line
// feeds, names with spaces in them, "identity" and any version, and makes of what follows the next request.
// Another reader may find other borders in the same bytes, and behind them a request of its own.
func misframed(r *fasthttp.Request, bytesRead int) string {
	h := &r.Header
	version, raw := h.Protocol(), h.RawHeaders()
	if v := string(version); v != "HTTP/1.1" && v != "HTTP/1.0" {
		return "unknown version"
	}
	if uri := h.RequestURI(); len(uri) == 0 || uri[0] != '/' {
		return "the target must be a path"
	}
	size := len(h.Method()) + len(" ") + len(h.RequestURI()) + len(" ") + len(version) + len("\r\n") + len(raw) +
		len(r.Body())
	if len(raw) == 0 {
		size += len("\r\n")
	}
	seen := map[string]bool{}
	for len(raw) > 0 {
		line, rest, found := bytes.Cut(raw, []byte("\r\n"))
		raw = rest
		if len(line) == 0 && found && len(rest) == 0 {
			break
		}
		name, value, colon := bytes.Cut(line, []byte{':'})
		if !found || !colon || !token(name) {
			return "unreadable field"
		}
		for _, c := range value {
			if c < ' ' && c != '\t' || c == 0x7f {
				return "unreadable field"
			}
		}
		key := exchange.Lower(string(name))
		if once[key] && seen[key] {
			return string(name) + " is given twice"
		}
		seen[key] = true
		if key == "transfer-encoding" && exchange.Lower(string(bytes.TrimSpace(value))) != "chunked" {
			return "unknown Transfer-Encoding"
		}
	}
	switch {
	case seen["content-length"] && seen["transfer-encoding"]:
		return "Content-Length beside Transfer-Encoding"
	case seen["transfer-encoding"]: // what its chunks took is not known; bytes behind them show when they are read
		return ""
	case bytesRead != size:
		return "more than one message at a time"
	}
	return ""
}

// token tells whether a name consists of what names may consist of.
func token(name []byte) bool {
	for _, c := range name {
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
		if !letter && bytes.IndexByte([]byte("!#$%&'*+-.^_`|~"), c) < 0 {
			return false
		}
	}
	return len(name) > 0
}
