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

// FrameVersion is that of the frames.
const FrameVersion = 1

// lengthBytes come before each frame.
const lengthBytes = 4

// MaxFrameBytes is the most bytes of a frame: a message of the log, and what is round it.
const MaxFrameBytes = configlog.MaxMessage + 1024

// Errors of a frame that cannot be read.
var (
	ErrFrameTooLarge  = errors.New("the frame is larger than a frame may be")
	ErrFrameMalformed = errors.New("the frame is not well-formed")
	ErrFrameVersion   = errors.New("the frame is of an unknown version")
)

// encodeFrame returns a frame as it is on the wire.
func encodeFrame(f *syncpb.Frame) ([]byte, error) {
	f.Version = FrameVersion
	text, err := proto.MarshalOptions{}.MarshalAppend(make([]byte, lengthBytes), f)
	if err != nil {
		return nil, err
	}
	if len(text)-lengthBytes > MaxFrameBytes {
		return nil, ErrFrameTooLarge
	}
	binary.BigEndian.PutUint32(text, uint32(len(text)-lengthBytes))
	return text, nil
}

// readFrame reads one frame. Besides those of r its errors are ErrFrameSize, after which nothing more can be read,
// ErrFrameForm and ErrFrameVersion, after which the next frame can.
func readFrame(r io.Reader) (*syncpb.Frame, error) {
	var head [lengthBytes]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, err
	}
	length := binary.BigEndian.Uint32(head[:])
	if length > MaxFrameBytes {
		return nil, fmt.Errorf("%w: %d bytes", ErrFrameTooLarge, length)
	}
	text := make([]byte, length)
	if _, err := io.ReadFull(r, text); err != nil {
		if err == io.EOF {
			err = io.ErrUnexpectedEOF
		}
		return nil, err
	}
	return parseFrame(text)
}

func parseFrame(text []byte) (*syncpb.Frame, error) {
	f := &syncpb.Frame{}
	if err := proto.Unmarshal(text, f); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrFrameMalformed, err)
	}
	if f.Version != FrameVersion {
		return nil, fmt.Errorf("%w: %d", ErrFrameVersion, f.Version)
	}
	if f.Content == nil {
		return nil, fmt.Errorf("%w: it is empty", ErrFrameMalformed)
	}
	return f, nil
}

// SplitFrames is a bufio.SplitFunc for a stream of frames, each with its length.
func SplitFrames(data []byte, atEOF bool) (advance int, token []byte, err error) {
	if len(data) >= lengthBytes {
		length := binary.BigEndian.Uint32(data)
		if length > MaxFrameBytes {
			return 0, nil, ErrFrameTooLarge
		}
		if whole := lengthBytes + int(length); len(data) >= whole {
			return whole, data[:whole], nil
		}
	}
	if atEOF && len(data) > 0 {
		return len(data), data, nil
	}
	return 0, nil, nil
}
