package messenger

import (
	"errors"
	"fmt"
)

// Errors of Client.Call. If an error matches neither ErrNotRun nor ErrRemote, the handler may or may not have run.
var (
	// ErrNotRun means that the handler did not run and will not run for this request.
	ErrNotRun = errors.New("request not sent")
	// ErrHeartbeatTimeout means that the server did not answer heartbeats in time or accepted no data.
	ErrHeartbeatTimeout = errors.New("connection silent")
	// ErrConnectionLost means that the connection ended before the answer was complete. If the request had not been sent
	// in full, the error also matches ErrNotRun.
	ErrConnectionLost = errors.New("connection lost")
	// ErrRemote means that the server answered with an error. errors.As returns it as a *RemoteError.
	ErrRemote = errors.New("remote error")
	// ErrRefused means that the server refused the call before its handler ran. Such an error also matches ErrNotRun and
	// ErrRemote.
	ErrRefused = errors.New("refused")
	// ErrTooLarge means that a message exceeds MaxMessageSize, or that a received frame exceeds its own limit.
	ErrTooLarge = errors.New("message too large")
	// ErrClosed means that the client was closed before the request was sent. Such an error also matches ErrNotRun.
	ErrClosed = errors.New("closed")
	// ErrMalformed means that a frame, an envelope or a body cannot be decoded.
	ErrMalformed = errors.New("malformed message")
)

// Codes of errors that the server itself assigns. A handler can assign others with a RemoteError. CodeTooLarge stands
// for an answer over MaxMessageSize, for which the handler has run.
const (
	// CodeInternal is the code of all errors of a handler that are not a RemoteError, and of an answer that cannot be
	// encoded.
	CodeInternal     = "Internal"
	CodeOverloaded   = "Overloaded"
	CodeShuttingDown = "ShuttingDown"
	CodeVersion      = "Version"
	CodeMalformed    = "Malformed"
	CodeTooLarge     = "TooLarge"
)

// RemoteError is an error that the server sends to the caller. A handler returns one to choose its code;
// other errors of a handler are sent with CodeInternal.
type RemoteError struct {
	Code string
	Text string
}

func (e *RemoteError) Error() string {
	return e.Code + ": " + e.Text
}

// Is makes errors.Is(e, ErrRemote) true for every RemoteError.
func (e *RemoteError) Is(target error) bool {
	return target == ErrRemote
}

func toRemoteError(err error) *RemoteError {
	var re *RemoteError
	if errors.As(err, &re) {
		return re
	}
	return &RemoteError{Code: CodeInternal, Text: err.Error()}
}

func markNotRun(err error) error {
	if errors.Is(err, ErrNotRun) {
		return err
	}
	return fmt.Errorf("%w: %w", ErrNotRun, err)
}
