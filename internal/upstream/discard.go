package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"

	"github.com/valyala/fasthttp"
)

// errBadChunk means that a chunk of an answer has no readable size, or does not end after it.
var errBadChunk = errors.New("a chunk of the answer cannot be read")

// discardBody reads a body of the given length, -1 if it is chunked and below that if it ends with the connection. It
// is not kept: the HTTP library would allocate it by its announced length, which a host may never send.
func discardBody(reader *bufio.Reader, length int) error {
	switch {
	case length > maxAnswerBody:
		return fasthttp.ErrBodyTooLarge
	case length >= 0:
		_, err := reader.Discard(length)
		return withinBody(err)
	case length == -1:
		return withinBody(discardChunks(reader))
	}
	_, err := reader.Discard(maxAnswerBody + 1)
	switch err {
	case io.EOF:
		return nil
	case nil:
		return fasthttp.ErrBodyTooLarge
	}
	return err
}

// withinBody returns the error of reading a body whose end is known: there the end of the connection comes too early.
func withinBody(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// discardChunks reads the chunks of a body up to its trailer.
func discardChunks(reader *bufio.Reader) error {
	for total := 0; ; {
		line, err := reader.ReadSlice('\n')
		if err != nil {
			return err
		}
		digits, _, _ := bytes.Cut(line, []byte{';'})
		size, err := strconv.ParseUint(string(bytes.TrimSpace(digits)), 16, 31)
		if err != nil {
			return errBadChunk
		}
		if size == 0 {
			return nil
		}
		if total += int(size); total > maxAnswerBody {
			return fasthttp.ErrBodyTooLarge
		}
		if _, err := reader.Discard(int(size)); err != nil {
			return err
		}
		if line, err = reader.ReadSlice('\n'); err != nil || string(line) != "\r\n" {
			return errors.Join(errBadChunk, err)
		}
	}
}
