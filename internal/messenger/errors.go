package messenger

import (
	"errors"
	"fmt"
)

// Errors of Client.Call. A call that fails with none of ErrNotSent and ErrRemote may have run.
var (
	// ErrNotSent means that the request certainly did not reach the handler.
	ErrNotSent = errors.New("request not sent")
	// ErrSilent means that the connection went silent.
	ErrSilent = errors.New("connection silent")
	// ErrLost means that the connection ended after the request was sent and before the answer was complete.
	ErrLost = errors.New("connection lost")
	// ErrRemote means that the handler answered with an error; errors.As finds the RemoteError.
	ErrRemote = errors.New("remote error")
	// ErrRefused means that the peer refused the call before its handler ran. Such an error is ErrNotSent too.
	ErrRefused = errors.New("refused")
	// ErrTooLarge means that a message exceeds MaxMessageSize.
	ErrTooLarge = errors.New("message too large")
	// ErrClosed means that the client or the server is closed.
	ErrClosed = errors.New("closed")
	// ErrMalformed means that a frame or an envelope cannot be decoded.
	ErrMalformed = errors.New("malformed message")
)

// Codes of errors that a server reports on its own.
const (
	CodeInternal     = "Internal"
	CodeOverloaded   = "Overloaded"
	CodeShuttingDown = "ShuttingDown"
	CodeVersion      = "Version"
	CodeMalformed    = "Malformed"
	CodeTooLarge     = "TooLarge"
)

// RemoteError is an error with a code. A handler returns one to choose the code that the caller sees.
type RemoteError struct {
	Code string
	Text string
}

// Error returns code and text.
func (e *RemoteError) Error() string {
	return e.Code + ": " + e.Text
}

// Is reports that every RemoteError is ErrRemote.
func (e *RemoteError) Is(target error) bool {
	return target == ErrRemote
}

func remoteError(err error) *RemoteError {
	var re *RemoteError
	if errors.As(err, &re) {
		return re
	}
	return &RemoteError{Code: CodeInternal, Text: err.Error()}
}

func notSent(err error) error {
	if errors.Is(err, ErrNotSent) {
		return err
	}
	return fmt.Errorf("%w: %w", ErrNotSent, err)
}
