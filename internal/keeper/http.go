package keeper

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"persimmontrail/pkg/descriptor"
)

const (
	// callTimeout bounds each call except Watch. The store answers within milliseconds, so a call that takes this long
	// indicates a dead connection.
	callTimeout = time.Second
	// watchPollDuration is how long the store may hold one watch call. A watch on a dead connection fails after this time
	// plus callTimeout, 3 s in all, so that the caller can repeat it before the 4 s validity of a configuration ends.
	watchPollDuration = 2 * time.Second
	// maxResponseBytes bounds the response to one call. A list of all 16 job documents of a region takes up to 22 MB in
	// base64.
	maxResponseBytes = 32 << 20
)

// NewHTTPStore returns a client for the store at baseURL, which has no trailing slash. It makes no call, so it does not
// detect a wrong address.
func NewHTTPStore(baseURL string) *Store {
	transport := &http.Transport{
		MaxIdleConnsPerHost: 32,
		IdleConnTimeout:     30 * time.Second,
	}
	return NewHTTPStoreWithClient(baseURL, &http.Client{Transport: transport})
}

// NewHTTPStoreWithClient is NewHTTPStore with an HTTP client other than the default one.
func NewHTTPStoreWithClient(baseURL string, c *http.Client) *Store {
	h := &httpStore{baseURL: baseURL, client: c}
	s := &Store{
		Get: h.get, GetChanged: h.getChanged, Put: h.put, Delete: h.delete, List: h.list, Watch: h.watch,
		GrantLease: h.grantLease, RenewLease: h.renewLease, RevokeLease: h.revokeLease,
	}
	h.store = s
	return s
}

// httpStore implements the functions of a Store over HTTP.
type httpStore struct {
	baseURL string
	client  *http.Client
	// store counts the calls.
	store *Store
}

// call makes one call and returns the status and body of the response. Its error tells whether the call can have taken
// effect, as described at ErrUnavailable and ErrOutcomeUnknown.
func (h *httpStore) call(ctx context.Context, kind CallKind, method, path string, request any, timeout time.Duration) (int, []byte, error) {
	h.store.countCall(kind)
	var body io.Reader
	if request != nil {
		data, err := json.Marshal(request)
		if err != nil {
			return 0, nil, err
		}
		body = bytes.NewReader(data)
	}
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	trace := &connectionTrace{}
	r, err := http.NewRequestWithContext(trace.attach(callCtx), method, h.baseURL+path, body)
	if err != nil {
		return 0, nil, err
	}
	status, data, err := h.roundTrip(r)
	if err == nil {
		return status, data, statusError(status)
	}
	if callCtx.Err() != nil && ctx.Err() == nil {
		// The call timed out, so other idle connections may be dead as well. Later calls open new ones.
		h.client.CloseIdleConnections()
	}
	if method == http.MethodGet || trace.neverConnected() {
		return 0, nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return 0, nil, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
}

func (h *httpStore) roundTrip(r *http.Request) (int, []byte, error) {
	response, err := h.client.Do(r)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	if err != nil {
		return 0, nil, err
	}
	if len(data) > maxResponseBytes {
		return 0, nil, fmt.Errorf("answer over %d bytes", maxResponseBytes)
	}
	return response.StatusCode, data, nil
}

// connectionTrace records whether a request asked the transport for a connection and whether it got one.
type connectionTrace struct{ requested, connected atomic.Bool }

func (t *connectionTrace) attach(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GetConn: func(string) { t.requested.Store(true) },
		GotConn: func(httptrace.GotConnInfo) { t.connected.Store(true) },
	})
}

// neverConnected reports whether the request is known not to have been sent, since it got no connection. It returns
// false if the transport does not call the trace hooks.
func (t *connectionTrace) neverConnected() bool { return t.requested.Load() && !t.connected.Load() }

// statusError returns the error for a response status, or nil for success and for 304 (Not Modified). A lease call
// interprets ErrNotFound differently; see leaseError.
func statusError(status int) error {
	switch {
	case status < 300 || status == http.StatusNotModified:
		return nil
	case status == http.StatusNotFound:
		return ErrNotFound
	case status == http.StatusConflict:
		return ErrConflict
	case status == http.StatusGone:
		return ErrLeaseLost
	case status == http.StatusRequestEntityTooLarge:
		return ErrTooLarge
	case status == http.StatusTooManyRequests:
		return ErrRateLimited
	case status == http.StatusServiceUnavailable:
		return fmt.Errorf("%w: status %d", ErrUnavailable, status)
	case status < 500:
		return fmt.Errorf("the store refused the call: status %d", status)
	}
	return fmt.Errorf("%w: status %d", ErrOutcomeUnknown, status)
}

// valueResponse is a value and its version in responses of the store.
type valueResponse struct {
	Data    []byte
	Version Version
}

func decodeValue(body []byte) ([]byte, Version, error) {
	var a valueResponse
	if err := json.Unmarshal(body, &a); err != nil {
		return nil, 0, fmt.Errorf("%w: answer of the store: %w", ErrUnavailable, err)
	}
	if a.Version <= 0 {
		return nil, 0, fmt.Errorf("%w: answer of the store has version %d", ErrUnavailable, a.Version)
	}
	return a.Data, a.Version, nil
}

// keyPath returns the URL path of a key. It escapes the key but keeps its slashes.
func keyPath(key string) string {
	return (&url.URL{Path: "/v1/keys/" + key}).EscapedPath()
}

func (h *httpStore) get(ctx context.Context, key string) ([]byte, Version, error) {
	_, body, err := h.call(ctx, CallGet, http.MethodGet, keyPath(key), nil, callTimeout)
	if err != nil {
		return nil, 0, err
	}
	return decodeValue(body)
}

func (h *httpStore) getChanged(ctx context.Context, key string, known Version) ([]byte, Version, error) {
	path := keyPath(key) + "?known=" + strconv.FormatInt(int64(known), 10)
	status, body, err := h.call(ctx, CallGet, http.MethodGet, path, nil, callTimeout)
	if err != nil {
		return nil, 0, err
	}
	if status == http.StatusNotModified {
		return nil, 0, ErrUnchanged
	}
	return decodeValue(body)
}

func (h *httpStore) watch(ctx context.Context, key string, after Version) ([]byte, Version, error) {
	path := fmt.Sprintf("%s?known=%d&wait=%s", keyPath(key), after, watchPollDuration)
	for {
		status, body, err := h.call(ctx, CallWatch, http.MethodGet, path, nil, watchPollDuration+callTimeout)
		if ctx.Err() != nil {
			return nil, 0, ctx.Err()
		}
		if err != nil {
			return nil, 0, err
		}
		if status != http.StatusNotModified {
			return decodeValue(body)
		}
	}
}

func (h *httpStore) put(ctx context.Context, key string, data []byte, expect Version, lease LeaseID) (Version, error) {
	request := struct {
		Data   []byte
		Expect Version
		Lease  LeaseID `json:",omitempty"`
	}{data, expect, lease}
	_, body, err := h.call(ctx, CallPut, http.MethodPut, keyPath(key), request, callTimeout)
	if err != nil {
		return 0, err
	}
	var response struct{ Version Version }
	if err := json.Unmarshal(body, &response); err != nil {
		return 0, fmt.Errorf("%w: answer of the store: %w", ErrOutcomeUnknown, err)
	}
	return response.Version, nil
}

func (h *httpStore) delete(ctx context.Context, key string, expect Version) error {
	path := keyPath(key) + "?expect=" + strconv.FormatInt(int64(expect), 10)
	_, _, err := h.call(ctx, CallDelete, http.MethodDelete, path, nil, callTimeout)
	return err
}

func (h *httpStore) list(ctx context.Context, prefix string) (map[string][]byte, error) {
	_, body, err := h.call(ctx, CallList, http.MethodGet, "/v1/list?prefix="+url.QueryEscape(prefix), nil, callTimeout)
	if err != nil {
		return nil, err
	}
	return decodeList(body)
}

func decodeList(body []byte) (map[string][]byte, error) {
	var response struct{ Items map[string]valueResponse }
	if err := json.Unmarshal(body, &response); err != nil {
		return nil, fmt.Errorf("%w: answer of the store: %w", ErrUnavailable, err)
	}
	items := make(map[string][]byte, len(response.Items))
	for k, v := range response.Items {
		items[k] = v.Data
	}
	return items, nil
}

func (h *httpStore) grantLease(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	request := struct{ TTL descriptor.Duration }{descriptor.Duration(ttl)}
	_, body, err := h.call(ctx, CallGrantLease, http.MethodPost, "/v1/leases", request, callTimeout)
	if err != nil {
		return "", err
	}
	var response struct{ Lease LeaseID }
	if err := json.Unmarshal(body, &response); err != nil || response.Lease == "" {
		return "", fmt.Errorf("%w: answer of the store names no lease: %w", ErrOutcomeUnknown, err)
	}
	return response.Lease, nil
}

func (h *httpStore) renewLease(ctx context.Context, id LeaseID) error {
	_, _, err := h.call(ctx, CallRenewLease, http.MethodPost, "/v1/leases/"+url.PathEscape(string(id))+"/renew", nil, callTimeout)
	return leaseError(err)
}

func (h *httpStore) revokeLease(ctx context.Context, id LeaseID) error {
	_, _, err := h.call(ctx, CallRevokeLease, http.MethodDelete, "/v1/leases/"+url.PathEscape(string(id)), nil, callTimeout)
	return leaseError(err)
}

// leaseError converts ErrNotFound, which in a lease call means that the lease no longer exists, to ErrLeaseLost.
func leaseError(err error) error {
	if err == ErrNotFound {
		return ErrLeaseLost
	}
	return err
}
