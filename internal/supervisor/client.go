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
	// maxTaskListBytes bounds the worker's task list.
	maxTaskListBytes = 4 << 20
	// idleConnTimeout is short because a request that is sent on a connection which the endpoint is just closing has an
	// unknown outcome.
	idleConnTimeout = 5 * time.Second
)

var errUnexpectedStatus = errors.New("unexpected status")

// newHTTPClient returns a client that does not retry requests on its own and does not follow redirects.
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

// isDialError reports whether err means that no connection was established, so that nothing was sent.
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

// do makes one call and returns the status. If the status is 2xx, it decodes the JSON response into v unless v is nil.
func (c *workerClient) do(ctx context.Context, method, path string, body, v any) (int, error) {
	var content io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return 0, err
		}
		content = bytes.NewReader(data)
	}
	request, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, content)
	if err != nil {
		return 0, err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxTaskListBytes))
	if err != nil || v == nil || response.StatusCode/100 != 2 {
		return response.StatusCode, err
	}
	return response.StatusCode, json.Unmarshal(data, v)
}

func taskPath(id, suffix string) string { return "/tasks/" + url.PathEscape(id) + suffix }

// checkStatus returns err, or an error if the status is not 2xx.
func checkStatus(status int, err error) error {
	if err == nil && status/100 != 2 {
		return fmt.Errorf("%w %d", errUnexpectedStatus, status)
	}
	return err
}

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

func (c *workerClient) tasks(ctx context.Context) (list []enforcer.WorkerTask, err error) {
	err = checkStatus(c.do(ctx, http.MethodGet, "/tasks", nil, &list))
	return list, err
}

// endpointClient is a client for the HTTP API of endpoints (docs/design.md, section 10).
type endpointClient struct{ http *http.Client }

func newEndpointClient() *endpointClient { return &endpointClient{http: newHTTPClient()} }

// permitBody is a request body that fails if the permit has expired before the first read. If the process is paused after
// its permit check until the permit has expired, it therefore does not send the request.
type permitBody struct {
	io.Reader
	notAfter time.Time
	started  bool
	refused  bool
}

func (b *permitBody) Read(p []byte) (int, error) {
	if !b.started && !time.Now().Before(b.notAfter) {
		b.refused = true
		return 0, enforcer.ErrNoPermit
	}
	b.started = true
	return b.Reader.Read(p)
}

// serve runs one request on the endpoint. It returns the answer only if it was received in full.
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
