package supervisor

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"persimmontrail/internal/enforcer"
	"persimmontrail/pkg/descriptor"
)

const (
	// maxAnswerBytes bounds one answer of an endpoint, so that the answers of all its slots fit into the agent's memory.
	maxAnswerBytes = 4 << 20
	// maxWorkerResponseBytes bounds one response of the worker. The task list is the largest.
	maxWorkerResponseBytes = 4 << 20
	// idleConnTimeout is short because the outcome of a request is unknown if the server closes the idle connection while
	// the request is being sent on it.
	idleConnTimeout = 5 * time.Second
)

var errUnexpectedStatus = errors.New("unexpected status")

// newHTTPClient returns a client that does not follow redirects. If an idle connection turns out to be closed, net/http
// repeats the request on its own only if it is a GET or if nothing of it was sent.
func newHTTPClient() *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
			MaxIdleConnsPerHost: 64,
			IdleConnTimeout:     idleConnTimeout,
			DisableCompression:  true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// isDialError reports whether err arose while connecting, in which case nothing was sent.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// workerClient is a client for the worker's HTTP API (docs/design.md, section 10).
type workerClient struct {
	baseURL string
	http    *http.Client
}

func newWorkerClient(baseURL string) *workerClient {
	return &workerClient{baseURL: baseURL, http: newHTTPClient()}
}

// do sends a request whose body is the JSON encoding of body, or empty if body is nil, and returns the HTTP status. If
// the status is 2xx, it decodes the JSON response into v unless v is nil.
func (c *workerClient) do(ctx context.Context, method, path string, body, v any) (int, error) {
	var reader io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return 0, err
		}
		reader = bytes.NewReader(data)
	}
	request, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, reader)
	if err != nil {
		return 0, err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxWorkerResponseBytes))
	if err != nil || v == nil || response.StatusCode/100 != 2 {
		return response.StatusCode, err
	}
	return response.StatusCode, json.Unmarshal(data, v)
}

func taskPath(id, suffix string) string { return "/tasks/" + url.PathEscape(id) + suffix }

// checkStatus returns err if it is not nil, and otherwise an error unless status is 2xx.
func checkStatus(status int, err error) error {
	if err == nil && status/100 != 2 {
		return fmt.Errorf("%w %d", errUnexpectedStatus, status)
	}
	return err
}

// start starts a task. After a failure to connect, a 4xx status or 507 (Insufficient Storage), the task has not run and
// the error matches enforcer.ErrNotRun. After other errors, it may be running.
func (c *workerClient) start(ctx context.Context, t enforcer.TaskStart) error {
	status, err := c.do(ctx, http.MethodPut, taskPath(t.ID, ""), t, nil)
	if err != nil && isDialError(err) || status/100 == 4 || status == http.StatusInsufficientStorage {
		return errors.Join(enforcer.ErrNotRun, checkStatus(status, err))
	}
	return checkStatus(status, err)
}

func (c *workerClient) renew(ctx context.Context, id string) error {
	return checkStatus(c.do(ctx, http.MethodPost, taskPath(id, "/lease"), leaseRequest{descriptor.Duration(enforcer.LeaseDuration)}, nil))
}

type leaseRequest struct{ Lease descriptor.Duration }

func (c *workerClient) checkpoint(ctx context.Context, id string) error {
	return checkStatus(c.do(ctx, http.MethodPost, taskPath(id, "/checkpoint"), nil, nil))
}

// stop stops a task. It succeeds if the worker does not have the task.
func (c *workerClient) stop(ctx context.Context, id string) error {
	status, err := c.do(ctx, http.MethodDelete, taskPath(id, ""), nil, nil)
	if err == nil && (status == http.StatusNotFound || status == http.StatusGone) {
		return nil
	}
	return checkStatus(status, err)
}

func (c *workerClient) description(ctx context.Context) (w descriptor.Worker, err error) {
	err = checkStatus(c.do(ctx, http.MethodGet, "/description", nil, &w))
	return w, err
}

func (c *workerClient) tasks(ctx context.Context) (tasks []enforcer.WorkerTask, err error) {
	err = checkStatus(c.do(ctx, http.MethodGet, "/tasks", nil, &tasks))
	return tasks, err
}

// endpointClient is a client for the HTTP API of endpoints (docs/design.md, section 10).
type endpointClient struct{ http *http.Client }

func newEndpointClient() *endpointClient { return &endpointClient{http: newHTTPClient()} }

// permitBody is a request body whose first read fails if the permit has expired. If the permit expires while the
// process is paused between its permit check and the first read, the body is therefore not sent, although the headers
// may be.
type permitBody struct {
	io.Reader
	notAfter    time.Time
	readStarted bool
	refused     bool
}

func (b *permitBody) Read(p []byte) (int, error) {
	if !b.readStarted && !time.Now().Before(b.notAfter) {
		b.refused = true
		return 0, enforcer.ErrNoPermit
	}
	b.readStarted = true
	return b.Reader.Read(p)
}

// serve sends a request to the endpoint. It returns the answer only if it was received in full.
func (c *endpointClient) serve(ctx context.Context, call enforcer.ServeCall) ([]byte, error) {
	body := &permitBody{Reader: bytes.NewReader(call.Request.Body), notAfter: call.NotAfter}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, call.URL+"/serve", body)
	if err != nil {
		return nil, errors.Join(enforcer.ErrNotRun, err)
	}
	request.ContentLength = int64(len(call.Request.Body))
	if request.ContentLength == 0 {
		request.Body = http.NoBody
	}
	request.Header.Set("Workspace", string(call.Request.Workspace))
	request.Header.Set("Class", string(call.Request.Class))
	request.Header.Set("Request-Id", string(call.Request.ID))
	if !time.Now().Before(call.NotAfter) {
		return nil, errors.Join(enforcer.ErrNotRun, enforcer.ErrNoPermit)
	}
	response, err := c.http.Do(request)
	if err != nil {
		if isDialError(err) || errors.Is(err, enforcer.ErrNoPermit) {
			return nil, errors.Join(enforcer.ErrNotRun, err)
		}
		return nil, err
	}
	defer response.Body.Close()
	return readAnswer(response)
}

// readAnswer returns the body of a response with status 200. Status 503 gives an error that matches enforcer.ErrNotRun.
// Any other status gives one that matches enforcer.ErrFailed if the body was received in full, and so does a body larger
// than maxAnswerBytes. Unless the status is 503, readAnswer requires a Content-Length, without which a truncated answer
// cannot be recognised.
func readAnswer(response *http.Response) ([]byte, error) {
	if response.StatusCode == http.StatusServiceUnavailable {
		return nil, fmt.Errorf("%w: no slot free at the endpoint", enforcer.ErrNotRun)
	}
	length := response.ContentLength
	if length < 0 {
		return nil, errors.New("answer without Content-Length may be cut")
	}
	if length > maxAnswerBytes {
		return nil, fmt.Errorf("%w: answer of %d bytes is larger than %d", enforcer.ErrFailed, length, maxAnswerBytes)
	}
	data := make([]byte, length)
	if _, err := io.ReadFull(response.Body, data); err != nil {
		return nil, fmt.Errorf("answer is cut: %w", err)
	}
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%w: status %d", enforcer.ErrFailed, response.StatusCode)
	}
	return data, nil
}
