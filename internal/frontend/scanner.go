package frontend

import (
	"bytes"
	"errors"
	"strconv"
)

var (
	// errHeaderTooLarge means that a request's header has more than maxHeaderBytes bytes.
	errHeaderTooLarge = errors.New("the header is too large")
	// errTooManyFields means that a request has more than maxHeaderFields fields. Each takes up many times the size of
	// a short one.
	errTooManyFields = errors.New("the header has too many fields")
)

// maxRequestBytes is the largest size of a request as it is sent. A body in chunks can be sent in many times its size.
const maxRequestBytes = maxHeaderBytes + 8*maxBodyBytes

// scanState is the part of a request that a requestScanner has come to.
type scanState int

const (
	scanHeader scanState = iota
	scanBody
	scanChunkSize
	scanChunkData
	scanChunkEnd
	scanTrailer
	scanComplete
)

// requestScanner finds the end of a request in the bytes that have arrived so far. It only has to find that of requests
// that the HTTP server accepts. A malformed request, or one that the server rejects because of its header, is complete
// as soon as that is known.
type requestScanner struct {
	state scanState
	start int // of the present line, chunk or body
	next  int // up to here the present line has been searched for its end

	hasRequestLine  bool
	isCallback      bool
	isChunked       bool
	expectsContinue bool // the client sends the body after a 100 (Continue)
	length          int  // of the body or the present chunk
	bodySize        int  // of all chunks so far
	fields          int  // lines of the header and the trailer
}

// scan continues in buffer, which begins with the request's first byte. complete is false while more bytes are needed.
func (s *requestScanner) scan(buffer []byte) (complete bool, err error) {
	for s.state != scanComplete {
		if s.state == scanBody || s.state == scanChunkData {
			if len(buffer)-s.start < s.length {
				return s.endIfOversized(buffer), nil
			}
			s.advance(s.start + s.length)
			if s.state == scanBody {
				s.state = scanComplete
			} else {
				s.state = scanChunkEnd
			}
			continue
		}
		end := bytes.IndexByte(buffer[s.next:], '\n')
		if end < 0 {
			s.next = len(buffer)
			if s.state == scanHeader && len(buffer) >= maxHeaderBytes {
				return false, errHeaderTooLarge
			}
			return s.endIfOversized(buffer), nil
		}
		line := bytes.TrimSuffix(buffer[s.start:s.next+end], []byte{'\r'})
		s.advance(s.next + end + 1)
		if s.state == scanHeader && s.start > maxHeaderBytes {
			return false, errHeaderTooLarge
		}
		if s.scanLine(line); s.fields > maxHeaderFields {
			return false, errTooManyFields
		}
	}
	return true, nil
}

// endIfOversized completes a request that is too large, whatever follows, and reports whether it is. The server rejects
// it.
func (s *requestScanner) endIfOversized(buffer []byte) bool {
	if len(buffer) >= maxRequestBytes || s.state != scanHeader && s.next-s.start > maxHeaderBytes {
		s.state = scanComplete
	}
	return s.state == scanComplete
}

// advance sets where the next line, chunk or body begins.
func (s *requestScanner) advance(start int) { s.start, s.next = start, start }

// isPausedFor100 reports whether the header is complete, and its client waits for a 100 (Continue) before it sends
// more.
func (s *requestScanner) isPausedFor100(buffer []byte) bool {
	return s.expectsContinue && s.state != scanHeader && s.start == len(buffer)
}

// resumeAfter100 continues with an empty buffer.
func (s *requestScanner) resumeAfter100() {
	s.expectsContinue = false
	s.advance(0)
}

// totalSize returns the size of the request if it is known, and 0 otherwise.
func (s *requestScanner) totalSize() int {
	if s.state == scanBody {
		return s.start + s.length
	}
	return 0
}

// maxBodySize returns the largest size that the body can have.
func (s *requestScanner) maxBodySize() int {
	if s.isChunked {
		return maxBodyBytes
	}
	return s.length
}

// scanLine processes a line of the header, of a chunk or of the trailer.
func (s *requestScanner) scanLine(line []byte) {
	switch {
	case s.state == scanHeader && len(line) > 0:
		s.scanHeaderLine(line)
	case s.state == scanHeader && s.hasRequestLine: // an empty line before the request line does not count
		s.endHeader()
	case s.state == scanChunkSize:
		s.scanChunkSize(line)
	case s.state == scanChunkEnd && len(line) == 0:
		s.state = scanChunkSize
	case s.state == scanChunkEnd || s.state == scanTrailer && len(line) == 0:
		s.state = scanComplete
	case s.state == scanTrailer:
		s.fields++
	}
}

func (s *requestScanner) scanHeaderLine(line []byte) {
	if !s.hasRequestLine {
		s.hasRequestLine, s.isCallback = true, bytes.HasPrefix(line, []byte("POST "+callbackPath+" "))
		return
	}
	s.fields++
	name, value, _ := bytes.Cut(line, []byte{':'})
	value = bytes.TrimSpace(value)
	switch {
	case equalFold(name, "content-length"):
		length, _ := strconv.ParseUint(string(value), 10, 31) // the server rejects what is no number
		s.length = int(length)
	case equalFold(name, "transfer-encoding"):
		s.isChunked = equalFold(value, "chunked")
	case equalFold(name, "expect"):
		s.expectsContinue = equalFold(value, "100-continue")
	}
}

// equalFold reports whether b is a text of ASCII letters, whatever their case.
func equalFold(b []byte, text string) bool {
	return len(b) == len(text) && bytes.EqualFold(b, []byte(text))
}

// endHeader decides what follows the header.
func (s *requestScanner) endHeader() {
	switch {
	case s.isChunked:
		s.state = scanChunkSize
	case s.length <= maxBodyBytes:
		s.state = scanBody
	default:
		s.state = scanComplete
	}
}

func (s *requestScanner) scanChunkSize(line []byte) {
	digits, _, _ := bytes.Cut(line, []byte{';'})
	size, err := strconv.ParseUint(string(bytes.TrimSpace(digits)), 16, 31)
	switch {
	case err != nil || s.bodySize+int(size) > maxBodyBytes:
		s.state = scanComplete
	case size == 0:
		s.state = scanTrailer
	default:
		s.state, s.length, s.bodySize = scanChunkData, int(size), s.bodySize+int(size)
	}
}
