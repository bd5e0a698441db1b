package faker

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
)

// Transport calls a handler in process, without a network. An aborted handler appears to the
// caller as a connection that closed before the whole answer.
type Transport struct{ Handler http.Handler }

// RoundTrip runs the handler. As with a real connection, the handler continues when the caller gives up.
func (t Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	if err := r.Context().Err(); err != nil {
		return nil, err
	}
	body := []byte(nil)
	if r.Body != nil {
		data, err := io.ReadAll(r.Body)
		r.Body.Close()
		if err != nil {
			return nil, err
		}
		body = data
	}
	inner := r.Clone(r.Context())
	inner.Body = io.NopCloser(bytes.NewReader(body))
	inner.RequestURI = r.URL.RequestURI()
	answers := make(chan *answer, 1)
	go func() {
		a := &answer{header: http.Header{}}
		defer func() {
			if v := recover(); v != nil {
				if v != http.ErrAbortHandler {
					panic(v)
				}
				a.aborted = true
			}
			answers <- a
		}()
		t.Handler.ServeHTTP(a, inner)
	}()
	select {
	case a := <-answers:
		return a.response(r)
	case <-r.Context().Done():
		return nil, r.Context().Err()
	}
}

// answer records what a handler writes.
type answer struct {
	header  http.Header
	status  int
	body    bytes.Buffer
	aborted bool
}

func (a *answer) Header() http.Header { return a.header }

func (a *answer) WriteHeader(status int) {
	if a.status == 0 {
		a.status = status
	}
}

func (a *answer) Write(p []byte) (int, error) {
	a.WriteHeader(http.StatusOK)
	return a.body.Write(p)
}

func (a *answer) response(r *http.Request) (*http.Response, error) {
	if a.aborted && a.body.Len() == 0 {
		return nil, io.ErrUnexpectedEOF
	}
	a.WriteHeader(http.StatusOK)
	length := int64(a.body.Len())
	if n, err := strconv.ParseInt(a.header.Get("Content-Length"), 10, 64); err == nil {
		length = n
	}
	body := io.Reader(&a.body)
	if a.aborted {
		body = io.MultiReader(body, failedReader{})
	}
	return &http.Response{
		Status: http.StatusText(a.status), StatusCode: a.status,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: a.header, ContentLength: length, Body: io.NopCloser(body), Request: r,
	}, nil
}

type failedReader struct{}

func (failedReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }
