package configsync

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"google.golang.org/protobuf/proto"

	"topazfall/internal/configsync/syncpb"
	"topazfall/internal/decide/configlog"
)

// FrameVersion is the version of the frame format.
const FrameVersion = 1

// lengthPrefixBytes is the size of the length field before each frame.
const lengthPrefixBytes = 4

// MaxFrameBytes is the size limit of a frame: the largest message of the log and 1024 bytes for its envelope.
const MaxFrameBytes = configlog.MaxMessage + 1024

// Errors for frames that cannot be decoded.
var (
	ErrFrameTooLarge  = errors.New("the frame exceeds the size limit")
	ErrFrameMalformed = errors.New("the frame is malformed")
	ErrFrameVersion   = errors.New("the frame has an unknown version")
)

// encodeFrame sets the version of a frame and returns its wire format, with the length prefix.
func encodeFrame(f *syncpb.Frame) ([]byte, error) {
	f.Version = FrameVersion
	data, err := proto.MarshalOptions{}.MarshalAppend(make([]byte, lengthPrefixBytes), f)
	if err != nil {
		return nil, err
	}
	if len(data)-lengthPrefixBytes > MaxFrameBytes {
		return nil, ErrFrameTooLarge
	}
	binary.BigEndian.PutUint32(data, uint32(len(data)-lengthPrefixBytes))
	return data, nil
}

// readFrame reads one frame. It returns errors of r and ErrFrameTooLarge, after which the stream cannot be read any
// further, and ErrFrameMalformed and ErrFrameVersion, after which the next frame can be read.
func readFrame(r io.Reader) (*syncpb.Frame, error) {
	var header [lengthPrefixBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return nil, err
	}
	length := binary.BigEndian.Uint32(header[:])
	if length > MaxFrameBytes {
		return nil, fmt.Errorf("%w: %d bytes", ErrFrameTooLarge, length)
	}
	data := make([]byte, length)
	if _, err := io.ReadFull(r, data); err != nil {
		if err == io.EOF {
			err = io.ErrUnexpectedEOF
		}
		return nil, err
	}
	return parseFrame(data)
}

func parseFrame(data []byte) (*syncpb.Frame, error) {
	f := &syncpb.Frame{}
	if err := proto.Unmarshal(data, f); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrFrameMalformed, err)
	}
	if f.Version != FrameVersion {
		return nil, fmt.Errorf("%w: %d", ErrFrameVersion, f.Version)
	}
	if f.Content == nil {
		return nil, fmt.Errorf("%w: it has no content", ErrFrameMalformed)
	}
	return f, nil
}

// SplitFrames is a bufio.SplitFunc that splits a stream into frames with their length prefix.
func SplitFrames(data []byte, atEOF bool) (advance int, token []byte, err error) {
	if len(data) >= lengthPrefixBytes {
		length := binary.BigEndian.Uint32(data)
		if length > MaxFrameBytes {
			return 0, nil, ErrFrameTooLarge
		}
		if end := lengthPrefixBytes + int(length); len(data) >= end {
			return end, data[:end], nil
		}
	}
	if atEOF && len(data) > 0 {
		return len(data), data, nil
	}
	return 0, nil, nil
}
