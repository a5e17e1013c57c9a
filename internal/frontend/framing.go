package frontend

import (
	"bytes"

	"github.com/valyala/fasthttp"

	"topazfall/internal/exchange"
)

// singleFields are the header fields that may occur only once: of two fields of a name, a host (worker) might use the
// other one.
var singleFields = map[string]bool{"host": true, "content-length": true, "transfer-encoding": true,
	"x-request-id": true, "x-priority-class": true, "x-tenant-id": true, "x-timeout-ms": true, "x-retried": true,
	"x-cost": true, "x-attrs": true}

// framingFault returns what is wrong with the framing of a request that was read from bytesRead bytes, or "". The HTTP
// server is lenient: it accepts a Content-Length beside a Transfer-Encoding, folded lines, bare line feeds, names with
// spaces, "identity" and any version, and takes what follows for the next request. Another HTTP reader, such as the
// worker's, may see other message boundaries in the same bytes, and so a smuggled request.
func framingFault(r *fasthttp.Request, bytesRead int) string {
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
		if !found || !colon || !isToken(name) {
			return "unreadable field"
		}
		for _, c := range value {
			if c < ' ' && c != '\t' || c == 0x7f {
				return "unreadable field"
			}
		}
		key := exchange.Lower(string(name))
		if singleFields[key] && seen[key] {
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
	case seen["transfer-encoding"]: // the size of its chunks is not known; isPipelined shows bytes that follow
		return ""
	case bytesRead != size:
		return "more than one message at a time"
	}
	return ""
}

// isToken reports whether a name consists of the characters that are allowed in field names.
func isToken(name []byte) bool {
	for _, c := range name {
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
		if !letter && bytes.IndexByte([]byte("!#$%&'*+-.^_`|~"), c) < 0 {
			return false
		}
	}
	return len(name) > 0
}
