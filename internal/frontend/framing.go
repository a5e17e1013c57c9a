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

// checkFraming returns the header fields of a request that was read from bytesRead bytes, and what is wrong with its
// framing, or "". The HTTP server is lenient: it accepts a Content-Length beside a Transfer-Encoding, folded lines,
// bare line feeds, names with spaces, "identity" and any version, and takes what follows for the next request. Another
// HTTP reader, such as the worker's, may see other message boundaries in the same bytes, and so a smuggled request.
func checkFraming(r *fasthttp.Request, bytesRead int) (fields []exchange.HeaderField, fault string) {
	h := &r.Header
	version, raw := h.Protocol(), h.RawHeaders()
	if v := string(version); v != "HTTP/1.1" && v != "HTTP/1.0" {
		return nil, "unknown version"
	}
	if uri := h.RequestURI(); len(uri) == 0 || uri[0] != '/' {
		return nil, "the target must be a path"
	}
	size := len(h.Method()) + len(" ") + len(h.RequestURI()) + len(" ") + len(version) + len("\r\n") + len(raw) +
		len(r.Body())
	if len(raw) == 0 {
		size += len("\r\n")
	}
	fields, fault = parseFields(raw)
	if fault != "" {
		return nil, fault
	}
	seen := map[string]bool{}
	for _, f := range fields {
		key := exchange.Lower(f.Name)
		if !singleFields[key] {
			continue
		}
		if seen[key] {
			return nil, f.Name + " is given twice"
		}
		seen[key] = true
		if key == "transfer-encoding" && exchange.Lower(f.Value) != "chunked" {
			return nil, "unknown Transfer-Encoding"
		}
	}
	switch {
	case seen["content-length"] && seen["transfer-encoding"]:
		return nil, "Content-Length beside Transfer-Encoding"
	case seen["transfer-encoding"]: // the size of its chunks is not known; isPipelined shows bytes that follow
		return fields, ""
	case bytesRead != size:
		return nil, "more than one message at a time"
	}
	return fields, ""
}

// parseFields parses the lines of a header, up to the empty one at its end. The names and values are as received, but
// for the white space around a value.
func parseFields(raw []byte) (fields []exchange.HeaderField, fault string) {
	fields = make([]exchange.HeaderField, 0, min(bytes.Count(raw, []byte{'\n'}), maxHeaderFields))
	for len(raw) > 0 {
		line, rest, found := bytes.Cut(raw, []byte("\r\n"))
		raw = rest
		if len(line) == 0 && found && len(rest) == 0 {
			break
		}
		name, value, colon := bytes.Cut(line, []byte{':'})
		if !found || !colon || !isToken(name) {
			return nil, "unreadable field"
		}
		for _, c := range value {
			if c < ' ' && c != '\t' || c == 0x7f {
				return nil, "unreadable field"
			}
		}
		fields = append(fields, exchange.HeaderField{Name: string(name), Value: string(bytes.Trim(value, " \t"))})
	}
	return fields, ""
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
