package faker

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
)

// Transport is an http.RoundTripper that calls a handler in process, without a network. To the caller, an aborted
// handler looks like a connection that was closed before the end of the answer.
type Transport struct{ Handler http.Handler }

// RoundTrip calls the handler and returns its response once the handler has returned. As with a real connection, the
// handler continues when the caller gives up.
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
	handlerRequest := r.Clone(r.Context())
	handlerRequest.Body = io.NopCloser(bytes.NewReader(body))
	handlerRequest.RequestURI = r.URL.RequestURI()
	responses := make(chan *recordedResponse, 1)
	go func() {
		recorded := &recordedResponse{header: http.Header{}}
		defer func() {
			if v := recover(); v != nil {
				if v != http.ErrAbortHandler {
					panic(v)
				}
				recorded.aborted = true
			}
			responses <- recorded
		}()
		t.Handler.ServeHTTP(recorded, handlerRequest)
	}()
	select {
	case recorded := <-responses:
		return recorded.response(r)
	case <-r.Context().Done():
		return nil, r.Context().Err()
	}
}

// recordedResponse is a ResponseWriter that records what the handler writes.
type recordedResponse struct {
	header  http.Header
	status  int
	body    bytes.Buffer
	aborted bool
}

// Header returns the headers of the response. Unlike with a server of net/http, changes after WriteHeader take effect.
func (rr *recordedResponse) Header() http.Header { return rr.header }

// WriteHeader records the first status that is written.
func (rr *recordedResponse) WriteHeader(status int) {
	if rr.status == 0 {
		rr.status = status
	}
}

// Write appends p to the recorded body; the status is 200 unless WriteHeader was called.
func (rr *recordedResponse) Write(p []byte) (int, error) {
	rr.WriteHeader(http.StatusOK)
	return rr.body.Write(p)
}

// response returns the recorded response to r, or an error if the handler aborted before it wrote any of the body.
func (rr *recordedResponse) response(r *http.Request) (*http.Response, error) {
	if rr.aborted && rr.body.Len() == 0 {
		return nil, io.ErrUnexpectedEOF
	}
	rr.WriteHeader(http.StatusOK)
	length := int64(rr.body.Len())
	if n, err := strconv.ParseInt(rr.header.Get("Content-Length"), 10, 64); err == nil {
		length = n
	}
	body := io.Reader(&rr.body)
	if rr.aborted {
		body = io.MultiReader(body, truncatedReader{})
	}
	return &http.Response{
		Status: http.StatusText(rr.status), StatusCode: rr.status,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: rr.header, ContentLength: length, Body: io.NopCloser(body), Request: r,
	}, nil
}

// truncatedReader fails like a connection that was closed before the end of the body.
type truncatedReader struct{}

func (truncatedReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }
