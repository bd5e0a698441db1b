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
	// maxAnswer bounds one answer of an endpoint, so that a full set of slots fits into the memory of the agent.
	maxAnswer = 4 << 20
	// maxList bounds the worker's task list.
	maxList = 4 << 20
	// idleFor closes idle connections to the endpoint soon: a request that meets a connection which the endpoint just
	// closed has an unknown outcome.
	idleFor = 5 * time.Second
)

var errStatus = errors.New("unexpected status")

// newHTTPClient returns a client that never repeats a request on its own and follows no redirect.
func newHTTPClient() *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
			MaxIdleConnsPerHost: 64,
			IdleConnTimeout:     idleFor,
			DisableCompression:  true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// isDial reports whether no connection came about, so that nothing was sent.
func isDial(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// workerClient speaks the worker protocol of docs/design.md section 10.
type workerClient struct {
	url  string
	http *http.Client
}

func newWorkerClient(base string) *workerClient {
	return &workerClient{url: base, http: newHTTPClient()}
}

// do makes one call and returns the status, reading a JSON answer into v when the status is 2xx.
func (c *workerClient) do(ctx context.Context, method, path string, body, v any) (int, error) {
	var content io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return 0, err
		}
		content = bytes.NewReader(data)
	}
	request, err := http.NewRequestWithContext(ctx, method, c.url+path, content)
	if err != nil {
		return 0, err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxList))
	if err != nil || v == nil || response.StatusCode/100 != 2 {
		return response.StatusCode, err
	}
	return response.StatusCode, json.Unmarshal(data, v)
}

func taskPath(id, suffix string) string { return "/tasks/" + url.PathEscape(id) + suffix }

// ok turns a status other than 2xx into an error.
func ok(status int, err error) error {
	if err == nil && status/100 != 2 {
		return fmt.Errorf("%w %d", errStatus, status)
	}
	return err
}

func (c *workerClient) start(ctx context.Context, t enforcer.TaskStart) error {
	status, err := c.do(ctx, http.MethodPut, taskPath(t.ID, ""), t, nil)
	if err != nil && isDial(err) || status/100 == 4 || status == http.StatusInsufficientStorage {
		return errors.Join(enforcer.ErrNotRun, ok(status, err))
	}
	return ok(status, err)
}

func (c *workerClient) renew(ctx context.Context, id string) error {
	return ok(c.do(ctx, http.MethodPost, taskPath(id, "/lease"), leaseBody{descriptor.Duration(enforcer.Lease)}, nil))
}

type leaseBody struct{ Lease descriptor.Duration }

func (c *workerClient) checkpoint(ctx context.Context, id string) error {
	return ok(c.do(ctx, http.MethodPost, taskPath(id, "/checkpoint"), nil, nil))
}

func (c *workerClient) stop(ctx context.Context, id string) error {
	status, err := c.do(ctx, http.MethodDelete, taskPath(id, ""), nil, nil)
	if err == nil && (status == http.StatusNotFound || status == http.StatusGone) {
		return nil
	}
	return ok(status, err)
}

func (c *workerClient) description(ctx context.Context) (w descriptor.Worker, err error) {
	err = ok(c.do(ctx, http.MethodGet, "/description", nil, &w))
	return w, err
}

func (c *workerClient) tasks(ctx context.Context) (list []enforcer.WorkerTask, err error) {
	err = ok(c.do(ctx, http.MethodGet, "/tasks", nil, &list))
	return list, err
}

// endpointClient speaks the endpoint protocol of docs/design.md section 10.
type endpointClient struct{ http *http.Client }

func newEndpointClient() *endpointClient { return &endpointClient{http: newHTTPClient()} }

// guardedBody refuses to send the body of a request after the permit has
// expired, so that a process that was paused after its check starts nothing.
type guardedBody struct {
	io.Reader
	notAfter time.Time
	begun    bool
	refused  bool
}

func (b *guardedBody) Read(p []byte) (int, error) {
	if !b.begun && !time.Now().Before(b.notAfter) {
		b.refused = true
		return 0, enforcer.ErrNoPermit
	}
	b.begun = true
	return b.Reader.Read(p)
}

// serve runs one request. The answer is passed on only when it is whole.
func (c *endpointClient) serve(ctx context.Context, call enforcer.ServeCall) ([]byte, error) {
	body := &guardedBody{Reader: bytes.NewReader(call.Request.Body), notAfter: call.NotAfter}
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
		if isDial(err) || errors.Is(err, enforcer.ErrNoPermit) {
			return nil, errors.Join(enforcer.ErrNotRun, err)
		}
		return nil, err
	}
	defer response.Body.Close()
	return readWhole(response)
}

func readWhole(response *http.Response) ([]byte, error) {
	if response.StatusCode == http.StatusServiceUnavailable {
		return nil, fmt.Errorf("%w: no slot free at the endpoint", enforcer.ErrNotRun)
	}
	length := response.ContentLength
	if length < 0 {
		return nil, errors.New("answer without Content-Length may be cut")
	}
	if length > maxAnswer {
		return nil, fmt.Errorf("%w: answer of %d bytes is larger than %d", enforcer.ErrFailed, length, maxAnswer)
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
