package messenger

import (
	"encoding/binary"
	"fmt"
	"io"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// MaxMessageSize bounds one encoded request or answer.
const MaxMessageSize = 4 << 20

const (
	protocolVersion = 1
	// protocolName is negotiated by ALPN, so that a process of another protocol is refused in the handshake.
	protocolName = "persimmontrail/1"

	frameHeaderSize = 5
	// partSize is the payload of one frame. A ping on a TCP connection waits for at most one frame of a large message.
	partSize = 32 << 10
)

type frameType byte

// A message is any number of part frames and a final request or answer frame.
const (
	framePart     frameType = 1
	frameRequest  frameType = 2
	frameAnswer   frameType = 3
	framePing     frameType = 4
	framePong     frameType = 5
	frameReceived frameType = 6 // The caller has the whole answer (TCP only; on QUIC the end of the stream says it).
	frameGoodbye  frameType = 7 // The server closes the connection and runs no request on it any more (TCP only).
)

// request is the envelope of a request.
type request struct {
	Version int  `cbor:"1,keyasint"`
	Kind    Kind `cbor:"2,keyasint"`
	// Timeout is what was left of the caller's time when the request was sent; 0 means no deadline. A duration does not need synchronised clocks.
	Timeout time.Duration `cbor:"3,keyasint,omitempty"`
	Body    []byte        `cbor:"4,keyasint,omitempty"`
}

// answer is the envelope of an answer.
type answer struct {
	Version int    `cbor:"1,keyasint"`
	Code    string `cbor:"2,keyasint,omitempty"`
	Text    string `cbor:"3,keyasint,omitempty"`
	// NotRun says that the handler did not run and will not run.
	NotRun bool   `cbor:"4,keyasint,omitempty"`
	Body   []byte `cbor:"5,keyasint,omitempty"`
}

var (
	encoding = must(cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode())
	decoding = must(cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF}.DecMode())
)

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// Decode decodes the body of a request or an answer into v.
func Decode(body []byte, v any) error {
	if err := decoding.Unmarshal(body, v); err != nil {
		return fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return nil
}

func encodeRequest(kind Kind, timeout time.Duration, v any) ([]byte, error) {
	body, err := encoding.Marshal(v)
	if err != nil {
		return nil, err
	}
	return encodeEnvelope(request{Version: protocolVersion, Kind: kind, Timeout: timeout, Body: body})
}

func encodeEnvelope(v any) ([]byte, error) {
	data, err := encoding.Marshal(v)
	if err != nil {
		return nil, err
	}
	if len(data) > MaxMessageSize {
		return nil, fmt.Errorf("%w: %d bytes", ErrTooLarge, len(data))
	}
	return data, nil
}

func decodeRequest(data []byte) (request, error) {
	var r request
	if err := Decode(data, &r); err != nil {
		return r, err
	}
	if r.Version != protocolVersion {
		return r, &RemoteError{Code: CodeVersion, Text: fmt.Sprintf("protocol version %d, want %d", r.Version, protocolVersion)}
	}
	if r.Kind == "" || r.Timeout < 0 {
		return r, fmt.Errorf("%w: no kind or negative timeout", ErrMalformed)
	}
	return r, nil
}

func decodeAnswer(data []byte) (answer, error) {
	var a answer
	if err := Decode(data, &a); err != nil {
		return a, err
	}
	if a.Version != protocolVersion {
		return a, fmt.Errorf("%w: protocol version %d, want %d", ErrMalformed, a.Version, protocolVersion)
	}
	return a, nil
}

// appendFrame appends one frame to b.
func appendFrame(b []byte, t frameType, payload []byte) []byte {
	b = append(b, byte(t))
	b = binary.BigEndian.AppendUint32(b, uint32(len(payload)))
	return append(b, payload...)
}

// frames calls send with each frame of the message; last is the type of the final one.
func frames(last frameType, message []byte, send func(frame []byte) error) error {
	buf := make([]byte, 0, frameHeaderSize+min(len(message), partSize))
	for len(message) > partSize {
		if err := send(appendFrame(buf, framePart, message[:partSize])); err != nil {
			return err
		}
		message = message[partSize:]
	}
	return send(appendFrame(buf, last, message))
}

// wireSize is the size of a message with its framing.
func wireSize(message []byte) int {
	parts := max(1, (len(message)+partSize-1)/partSize)
	return len(message) + parts*frameHeaderSize
}

// frameReader reads frames and assembles messages.
type frameReader struct {
	r io.Reader
	// message holds the parts read so far.
	message []byte
}

// next returns the type of the next frame that is not a part. For a request or an answer it returns the whole message.
// It checks sizes before it allocates, and calls progress, if set, after each part.
func (f *frameReader) next(progress func()) (frameType, []byte, error) {
	for {
		t, size, err := f.header()
		if err != nil {
			return 0, nil, err
		}
		if err := f.payload(size); err != nil {
			return 0, nil, err
		}
		if t == framePart {
			if progress != nil {
				progress()
			}
			continue
		}
		if t != frameRequest && t != frameAnswer {
			return t, nil, nil
		}
		m := f.message
		f.message = nil
		return t, m, nil
	}
}

func (f *frameReader) header() (frameType, int, error) {
	var h [frameHeaderSize]byte
	if _, err := io.ReadFull(f.r, h[:]); err != nil {
		return 0, 0, err
	}
	t, size := frameType(h[0]), binary.BigEndian.Uint32(h[1:])
	switch t {
	case framePart, frameRequest, frameAnswer:
	case framePing, framePong, frameReceived, frameGoodbye:
		if size != 0 {
			return 0, 0, fmt.Errorf("%w: frame type %d with a payload", ErrMalformed, t)
		}
	default:
		return 0, 0, fmt.Errorf("%w: frame type %d", ErrMalformed, t)
	}
	if size > partSize {
		return 0, 0, fmt.Errorf("%w: frame of %d bytes", ErrTooLarge, size)
	}
	if len(f.message)+int(size) > MaxMessageSize {
		return 0, 0, fmt.Errorf("%w: more than %d bytes", ErrTooLarge, MaxMessageSize)
	}
	return t, int(size), nil
}

func (f *frameReader) payload(size int) error {
	if size == 0 {
		return nil
	}
	n := len(f.message)
	f.message = append(f.message, make([]byte, size)...)
	_, err := io.ReadFull(f.r, f.message[n:])
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}
