package cli

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptrace"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/gypsumgap/gypsumgap/core/peerapi"
	"github.com/gypsumgap/gypsumgap/core/platform"
)

const (
	// hostTimeout limits one status request or scrape, so that a host that does
	// not respond does not delay the whole command.
	hostTimeout = 3 * time.Second
	// parallelHosts limits the number of concurrent requests.
	parallelHosts = 32
)

// target is a host to send requests to.
type target struct {
	name    string
	address string
}

// hostOptions holds the flags that select hosts.
type hostOptions struct {
	Host []string `arg:"--host,separate" placeholder:"HOST:PORT" help:"peer address of a host; may be repeated; by default the hosts are read from the platform's host list"`
}

// targets returns the selected hosts, by default those in the platform's host list.
func (o *hostOptions) targets(ctx context.Context, c *invocation) ([]target, error) {
	if len(o.Host) > 0 {
		out := make([]target, len(o.Host))
		for i, address := range o.Host {
			out[i] = target{name: address, address: address}
		}
		return out, nil
	}
	hosts, err := c.platformHosts(ctx)
	if err != nil {
		return nil, err
	}
	out := make([]target, len(hosts))
	for i, h := range hosts {
		out[i] = target{name: h.Name, address: h.Address}
	}
	return out, nil
}

// platformHosts returns the platform's host list, ordered by name.
func (c *invocation) platformHosts(ctx context.Context) ([]platform.Host, error) {
	if c.args.Platform == "" {
		return nil, &commandLineError{"--host or --platform is missing"}
	}
	store, err := c.store()
	if err != nil {
		return nil, err
	}
	hosts, err := store.Hosts(ctx)
	if err != nil {
		return nil, err
	}
	slices.SortFunc(hosts, func(a, b platform.Host) int { return cmp.Compare(a.Name, b.Name) })
	return hosts, nil
}

// hostHTTP connects to hosts directly and ignores the proxy settings of the
// environment.
var hostHTTP = &http.Client{Transport: &http.Transport{}}

// hostClient sends requests to one host. It records whether a connection was made,
// since a request that failed without one has changed nothing.
type hostClient struct {
	host      target
	connected atomic.Bool
}

// Do implements the HTTPClient interface of twirp clients.
func (h *hostClient) Do(req *http.Request) (*http.Response, error) {
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { h.connected.Store(true) }}
	return hostHTTP.Do(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
}

func (h *hostClient) operatorClient() peerapi.Operator {
	return peerapi.NewOperatorProtobufClient("http://"+h.host.address, h)
}

// rejectionCodes are the error codes with which a host reports that it rejected a
// request and changed nothing.
var rejectionCodes = []twirp.ErrorCode{
	twirp.InvalidArgument, twirp.NotFound, twirp.BadRoute, twirp.Malformed, twirp.AlreadyExists,
	twirp.PermissionDenied, twirp.Unauthenticated, twirp.ResourceExhausted, twirp.FailedPrecondition,
	twirp.Aborted, twirp.OutOfRange, twirp.Unimplemented, twirp.Unavailable,
}

// classifyError wraps the error of a request for a change according to its effect:
// errUnreachable if nothing was sent, a refusal if the host rejected the request, and
// errOutcomeUnknown otherwise.
func (h *hostClient) classifyError(err error) error {
	if err == nil {
		return nil
	}
	if !h.connected.Load() {
		return fmt.Errorf("host %s: %w: %w", h.host.name, errUnreachable, err)
	}
	if refusal := h.refusal(err); refusal != nil {
		return refusal
	}
	return fmt.Errorf("host %s: %w: %w", h.host.name, errOutcomeUnknown, err)
}

// classifyReadError wraps the error of a request that changes nothing: a refusal if the
// host rejected the request, and errUnreachable if it did not answer.
func (h *hostClient) classifyReadError(err error) error {
	if err == nil {
		return nil
	}
	if refusal := h.refusal(err); refusal != nil {
		return refusal
	}
	return fmt.Errorf("host %s: %w: %w", h.host.name, errUnreachable, err)
}

// refusal returns the error of a request that the host rejected, or nil for any other
// error.
func (h *hostClient) refusal(err error) error {
	var answer twirp.Error
	if !h.connected.Load() || !errors.As(err, &answer) || !slices.Contains(rejectionCodes, answer.Code()) {
		return nil
	}
	return fmt.Errorf("host %s refused: %s", h.host.name, answer.Msg())
}

// hostStatus is a host's response to a status request, or the error of the request.
type hostStatus struct {
	target target
	answer *peerapi.StatusResponse
	err    error
}

// requestStatuses requests the status of all targets concurrently, up to
// parallelHosts at a time. It fails only if no host answers.
func requestStatuses(ctx context.Context, targets []target, service string) ([]hostStatus, error) {
	if len(targets) == 0 {
		return nil, fmt.Errorf("host list of the platform is empty: %w", errUnreachable)
	}
	out := make([]hostStatus, len(targets))
	semaphore := make(chan struct{}, parallelHosts)
	var wg sync.WaitGroup
	for i, t := range targets {
		semaphore <- struct{}{}
		wg.Go(func() {
			out[i] = requestStatus(ctx, t, service)
			<-semaphore
		})
	}
	wg.Wait()
	if !slices.ContainsFunc(out, func(s hostStatus) bool { return s.err == nil }) {
		return out, fmt.Errorf("no host answered: %w", out[0].err)
	}
	return out, nil
}

func requestStatus(ctx context.Context, t target, service string) hostStatus {
	ctx, cancel := context.WithTimeout(ctx, hostTimeout)
	defer cancel()
	h := &hostClient{host: t}
	answer, err := h.operatorClient().Status(ctx, &peerapi.StatusRequest{Service: service})
	return hostStatus{target: t, answer: answer, err: h.classifyReadError(err)}
}
