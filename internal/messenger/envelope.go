package messenger

import (
	"encoding/binary"
	"fmt"
	"io"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// MaxMessageSize is the maximum size of an encoded request or answer, in bytes.
const MaxMessageSize = 4 << 20

const (
	protocolVersion = 1
	// protocolName is negotiated by ALPN, so that the handshake refuses processes of another protocol.
	protocolName = "persimmontrail/1"

	// frameHeaderSize is the size of a frame header: the type in 1 byte and the size of the payload in 4 bytes.
	frameHeaderSize = 5
	// maxFramePayload limits the payload of one frame, in bytes. Larger messages are divided, so that a ping on a TCP
	// connection waits for at most one frame of a large message.
	maxFramePayload = 32 << 10
)

type frameType byte

// A message consists of any number of part frames followed by one request or answer frame.
const (
	framePart           frameType = 1
	frameRequest        frameType = 2
	frameAnswer         frameType = 3
	framePing           frameType = 4
	framePong           frameType = 5
	frameAnswerReceived frameType = 6 // The caller has received the whole answer (TCP only; on QUIC the caller ends the stream instead).
	frameGoAway         frameType = 7 // The server closes the connection and runs no more requests on it (TCP only).
)

// request is the CBOR envelope that a client sends. Body is the encoded value that was passed to Client.Call.
type request struct {
	Version int  `cbor:"1,keyasint"`
	Kind    Kind `cbor:"2,keyasint"`
	// Timeout is the time that was left until the caller's deadline when the request was sent; 0 means no deadline.
	// It is a duration, since the clocks of the two processes may differ.
	Timeout time.Duration `cbor:"3,keyasint,omitempty"`
	Body    []byte        `cbor:"4,keyasint,omitempty"`
}

// answer is the envelope of an answer. Code and Text are set if the call failed.
type answer struct {
	Version int    `cbor:"1,keyasint"`
	Code    string `cbor:"2,keyasint,omitempty"`
	Text    string `cbor:"3,keyasint,omitempty"`
	// NotRun reports that the handler did not run and will not run.
	NotRun bool   `cbor:"4,keyasint,omitempty"`
	Body   []byte `cbor:"5,keyasint,omitempty"`
}

var (
	encMode = must(cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode())
	decMode = must(cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF}.DecMode())
)

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// Decode decodes the body of a request or an answer into v. Its errors match ErrMalformed.
func Decode(body []byte, v any) error {
	if err := decMode.Unmarshal(body, v); err != nil {
		return fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return nil
}

func encodeRequest(kind Kind, timeout time.Duration, v any) ([]byte, error) {
	body, err := encMode.Marshal(v)
	if err != nil {
		return nil, err
	}
	return encodeEnvelope(request{Version: protocolVersion, Kind: kind, Timeout: timeout, Body: body})
}

func encodeEnvelope(v any) ([]byte, error) {
	data, err := encMode.Marshal(v)
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

// appendFrame appends a frame header and the payload, which must not exceed maxFramePayload, to b.
func appendFrame(b []byte, typ frameType, payload []byte) []byte {
	b = append(b, byte(typ))
	b = binary.BigEndian.AppendUint32(b, uint32(len(payload)))
	return append(b, payload...)
}

// writeFrames divides the message into frames and calls writeFrame with each of them. The last frame has type
// finalType, the others are part frames. writeFrame must not keep the frame, whose memory is reused.
func writeFrames(finalType frameType, message []byte, writeFrame func(frame []byte) error) error {
	buf := make([]byte, 0, frameHeaderSize+min(len(message), maxFramePayload))
	for len(message) > maxFramePayload {
		if err := writeFrame(appendFrame(buf, framePart, message[:maxFramePayload])); err != nil {
			return err
		}
		message = message[maxFramePayload:]
	}
	return writeFrame(appendFrame(buf, finalType, message))
}

// wireSize returns the size of a message with its frame headers, in bytes.
func wireSize(message []byte) int {
	frameCount := max(1, (len(message)+maxFramePayload-1)/maxFramePayload)
	return len(message) + frameCount*frameHeaderSize
}

// frameReader reads frames and assembles messages.
type frameReader struct {
	source io.Reader
	// buffered holds the payload of the message's frames read so far.
	buffered []byte
}

// next returns the type of the next frame that is not a part frame, and for a request or an answer the whole message.
// It checks sizes before it allocates memory, and calls progress, if set, after each part frame.
func (f *frameReader) next(progress func()) (frameType, []byte, error) {
	for {
		typ, size, err := f.readHeader()
		if err != nil {
			return 0, nil, err
		}
		if err := f.readPayload(size); err != nil {
			return 0, nil, err
		}
		if typ == framePart {
			if progress != nil {
				progress()
			}
			continue
		}
		if typ != frameRequest && typ != frameAnswer {
			return typ, nil, nil
		}
		message := f.buffered
		f.buffered = nil
		return typ, message, nil
	}
}

func (f *frameReader) readHeader() (frameType, int, error) {
	var header [frameHeaderSize]byte
	if _, err := io.ReadFull(f.source, header[:]); err != nil {
		return 0, 0, err
	}
	typ, size := frameType(header[0]), binary.BigEndian.Uint32(header[1:])
	switch typ {
	case framePart, frameRequest, frameAnswer:
	case framePing, framePong, frameAnswerReceived, frameGoAway:
		if size != 0 {
			return 0, 0, fmt.Errorf("%w: frame type %d with a payload", ErrMalformed, typ)
		}
	default:
		return 0, 0, fmt.Errorf("%w: frame type %d", ErrMalformed, typ)
	}
	if size > maxFramePayload {
		return 0, 0, fmt.Errorf("%w: frame of %d bytes", ErrTooLarge, size)
	}
	if len(f.buffered)+int(size) > MaxMessageSize {
		return 0, 0, fmt.Errorf("%w: more than %d bytes", ErrTooLarge, MaxMessageSize)
	}
	return typ, int(size), nil
}

func (f *frameReader) readPayload(size int) error {
	if size == 0 {
		return nil
	}
	start := len(f.buffered)
	f.buffered = append(f.buffered, make([]byte, size)...)
	_, err := io.ReadFull(f.source, f.buffered[start:])
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}
