package httpstore

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/gypsumgap/gypsumgap/core/platform"
)

const (
	defaultCallTimeout = 5 * time.Second
	connectTimeout     = 2 * time.Second
	idleConnections    = 8
	idleTimeout        = 90 * time.Second
	// maxResponseBytes is the greatest size of a response body that is read. The
	// largest response is a listing of all objects.
	maxResponseBytes = 64 << 20
)

// Options configures a Client.
type Options struct {
	// URL is the platform's base address, for example "http://10.0.0.1:5000".
	URL string
	// LocalIP is the source address of connections; the zero value lets the system choose.
	LocalIP netip.Addr
	// CallTimeout bounds each call in addition to its context; the wait of a watch
	// is added to it. 0 means 5 s.
	CallTimeout time.Duration
}

// Client is a platform.Store over HTTP. It is safe for concurrent use.
type Client struct {
	base    string
	timeout time.Duration
	http    *http.Client
}

var _ platform.Store = (*Client)(nil)

// New returns a client, which connects on its first call. It fails if the URL is
// invalid.
func New(o Options) (*Client, error) {
	u, err := url.Parse(o.URL)
	if err != nil {
		return nil, fmt.Errorf("platform address: %w", err)
	}
	if u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
		return nil, fmt.Errorf("platform address %q: expected http://host:port", o.URL)
	}
	if o.CallTimeout == 0 {
		o.CallTimeout = defaultCallTimeout
	}
	dialer := &net.Dialer{Timeout: connectTimeout}
	if o.LocalIP.IsValid() {
		dialer.LocalAddr = &net.TCPAddr{IP: o.LocalIP.AsSlice()}
	}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: idleConnections,
		IdleConnTimeout:     idleTimeout,
	}
	return &Client{
		base:    strings.TrimRight(o.URL, "/"),
		timeout: o.CallTimeout,
		http:    &http.Client{Transport: transport},
	}, nil
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Get implements platform.Store.
func (c *Client) Get(ctx context.Context, key string) (platform.Object, error) {
	var out Object
	err := c.call(ctx, request{method: http.MethodGet, path: objectPath(ObjectsPath, key)}, &out)
	if err != nil {
		return platform.Object{}, fmt.Errorf("get %s: %w", key, err)
	}
	return platform.Object(out), nil
}

// Put implements platform.Store.
func (c *Client) Put(ctx context.Context, key string, value []byte, expected platform.Version) (platform.Version, error) {
	if len(value) > platform.MaxValueBytes {
		return 0, fmt.Errorf("put %s: %w", key, platform.ErrTooLarge)
	}
	var out WriteResponse
	r := request{
		method:   http.MethodPut,
		path:     objectPath(ObjectsPath, key),
		query:    url.Values{"expected": {formatVersion(expected)}},
		body:     value,
		mutating: true,
	}
	if err := c.call(ctx, r, &out); err != nil {
		return 0, fmt.Errorf("put %s: %w", key, err)
	}
	return out.Version, nil
}

// Delete implements platform.Store.
func (c *Client) Delete(ctx context.Context, key string, expected platform.Version) error {
	var out WriteResponse
	r := request{
		method:   http.MethodDelete,
		path:     objectPath(ObjectsPath, key),
		query:    url.Values{"expected": {formatVersion(expected)}},
		mutating: true,
	}
	if err := c.call(ctx, r, &out); err != nil {
		return fmt.Errorf("delete %s: %w", key, err)
	}
	return nil
}

// List implements platform.Store.
func (c *Client) List(ctx context.Context, prefix string) ([]platform.Object, error) {
	var out ListResponse
	r := request{method: http.MethodGet, path: ObjectsPath, query: url.Values{"prefix": {prefix}}}
	if err := c.call(ctx, r, &out); err != nil {
		return nil, fmt.Errorf("list %s: %w", prefix, err)
	}
	objects := make([]platform.Object, len(out.Objects))
	for i, o := range out.Objects {
		objects[i] = platform.Object(o)
	}
	return objects, nil
}

// Watch implements platform.Store.
func (c *Client) Watch(ctx context.Context, key string, known platform.Version, wait time.Duration) (platform.Object, error) {
	var out Object
	r := request{
		method: http.MethodGet,
		path:   objectPath(WatchPath, key),
		query:  url.Values{"known": {formatVersion(known)}, "wait": {wait.String()}},
		wait:   wait,
	}
	if err := c.call(ctx, r, &out); err != nil {
		return platform.Object{}, fmt.Errorf("watch %s: %w", key, err)
	}
	return platform.Object(out), nil
}

// Hosts implements platform.Store.
func (c *Client) Hosts(ctx context.Context) ([]platform.Host, error) {
	var out HostsResponse
	if err := c.call(ctx, request{method: http.MethodGet, path: HostsPath}, &out); err != nil {
		return nil, fmt.Errorf("hosts: %w", err)
	}
	return out.Hosts, nil
}

// request describes one call.
type request struct {
	method string
	path   string
	query  url.Values
	body   []byte
	// mutating is true if the call may change the store.
	mutating bool
	// wait is the time for which the platform may delay the response.
	wait time.Duration
}

// call sends a request and decodes the response into out.
func (c *Client) call(ctx context.Context, r request, out any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout+r.wait)
	defer cancel()
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, r.method, c.url(r), bytes.NewReader(r.body))
	if err != nil {
		return fmt.Errorf("%w: %w", platform.ErrUnavailable, err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return transportError(r.mutating && connected.Load(), err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return transportError(r.mutating, err)
	}
	if resp.StatusCode != http.StatusOK {
		return responseError(resp.StatusCode, body, r.mutating)
	}
	if err := json.Unmarshal(body, out); err != nil {
		return transportError(r.mutating, err)
	}
	return nil
}

// transportError returns the error of a call without a usable response. It wraps
// platform.ErrUnknown if the call may have changed the store, else
// platform.ErrUnavailable.
func transportError(mayHaveExecuted bool, err error) error {
	kind := platform.ErrUnavailable
	if mayHaveExecuted {
		kind = platform.ErrUnknown
	}
	return fmt.Errorf("%w: %w", kind, err)
}

// responseError returns the error that a response with another status than 200
// reports.
func responseError(status int, body []byte, mutating bool) error {
	var f ErrorResponse
	if err := json.Unmarshal(body, &f); err != nil {
		return transportError(mutating, fmt.Errorf("status %d with an invalid body: %w", status, err))
	}
	if kind := decodeError(f.Error); kind != nil {
		return kind
	}
	mayHaveExecuted := mutating && status >= http.StatusInternalServerError
	return transportError(mayHaveExecuted, fmt.Errorf("status %d: %s: %s", status, f.Error, f.Message))
}

func objectPath(prefix, key string) string { return prefix + "/" + url.PathEscape(key) }

func formatVersion(v platform.Version) string { return strconv.FormatUint(uint64(v), 10) }

func (c *Client) url(r request) string {
	if len(r.query) == 0 {
		return c.base + r.path
	}
	return c.base + r.path + "?" + r.query.Encode()
}
