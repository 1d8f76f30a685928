package cli

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/dghubble/sling"

	"laburnumdock/internal/answer"
	"laburnumdock/internal/api"
	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/core/model"
)

// retryDelay is the delay after all addresses have failed once. A failover takes
// seconds, so a shorter delay gains nothing.
const retryDelay = 250 * time.Millisecond

// attemptTimeout bounds one attempt, so that a replica that accepts connections
// but doesn't respond leaves time for the others.
const attemptTimeout = 5 * time.Second

// Client calls the resource API. It fails over between control replicas and
// retries a change under the same change ID until its outcome is known.
type Client struct {
	addresses []string
	token     string
	timeout   time.Duration
	http      *http.Client
	// maxAttempts bounds the attempts of one call; if it is 0, only the timeout
	// does.
	maxAttempts int
	// nextAddress is the index of the address for the next attempt.
	nextAddress int
}

// NewClient returns a client. The timeout bounds one call including its retries.
func NewClient(addresses []string, token string, timeout time.Duration) *Client {
	return &Client{addresses: addresses, token: token, timeout: timeout, http: &http.Client{}}
}

// apiCall is one request to the API, which may be sent several times.
type apiCall struct {
	method, path string
	query        url.Values
	body         []byte
	// changeID and issuedAt are set only for changes.
	changeID string
	issuedAt time.Time
}

// newRequest builds the HTTP request of a call to the next address.
func (c *Client) newRequest(ctx context.Context, call apiCall) (*http.Request, error) {
	s := sling.New().Base(c.addresses[c.nextAddress])
	switch call.method {
	case http.MethodPut:
		s.Put(call.path)
	case http.MethodPost:
		s.Post(call.path)
	case http.MethodDelete:
		s.Delete(call.path)
	default:
		s.Get(call.path)
	}
	if c.token != "" {
		s.Set("Authorization", "Bearer "+c.token)
	}
	if call.changeID != "" {
		s.Set(api.ChangeIDHeader, call.changeID).Set(api.IssuedAtHeader, call.issuedAt.Format(time.RFC3339Nano))
	}
	if call.body != nil {
		s.Set("Content-Type", "application/json").Body(bytes.NewReader(call.body))
	}
	req, err := s.Request()
	if err != nil {
		return nil, err
	}
	req.URL.RawQuery = call.query.Encode()
	return req.WithContext(ctx), nil
}

// do sends a request until a replica returns a final response. The error
// outcome_unknown means that a change may have taken effect.
func (c *Client) do(ctx context.Context, call apiCall) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var lastErr *fault.Error
	mayHaveRun := false
	for attempt := 1; ; attempt++ {
		data, apiErr, attemptMayHaveRun := c.attempt(ctx, call)
		if apiErr == nil {
			return data, nil
		}
		if !isRetryable(apiErr.Kind) {
			return nil, apiErr
		}
		lastErr = apiErr
		mayHaveRun = mayHaveRun || attemptMayHaveRun
		c.nextAddress = (c.nextAddress + 1) % len(c.addresses)
		if attempt == c.maxAttempts || waitForRetry(ctx, attempt%len(c.addresses) == 0) != nil {
			break
		}
	}
	if call.changeID != "" && mayHaveRun {
		return nil, fault.New(fault.OutcomeUnknown, "outcome of change %s is unknown after %s, it may have taken effect; last error: %s", call.changeID, c.timeout, lastErr.Message)
	}
	return nil, lastErr
}

// isRetryable reports whether another replica may succeed. A change with an
// unknown outcome is retried too: sent again under its ID, it returns its outcome.
func isRetryable(kind fault.Kind) bool {
	switch kind {
	case fault.Unavailable, fault.NotLeader, fault.Overloaded, fault.Stopping, fault.OutcomeUnknown, fault.StorageFailed:
		return true
	default:
		return false
	}
}

// waitForRetry waits for retryDelay if delayed is set. It returns an error if no
// time is left for another attempt.
func waitForRetry(ctx context.Context, delayed bool) error {
	if !delayed {
		return ctx.Err()
	}
	timer := time.NewTimer(retryDelay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// attempt sends a request to one replica. mayHaveRun reports whether a change may
// have taken effect in spite of the error.
func (c *Client) attempt(ctx context.Context, call apiCall) (data []byte, apiErr *fault.Error, mayHaveRun bool) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	req, err := c.newRequest(ctx, call)
	if err != nil {
		return nil, fault.New(fault.Invalid, "%s", err.Error()), false
	}
	res, err := c.http.Do(req)
	if err != nil {
		return nil, fault.New(fault.Unavailable, "%s", err.Error()), !isDialError(err)
	}
	defer res.Body.Close()
	data, err = io.ReadAll(res.Body)
	if err != nil {
		return nil, fault.New(fault.Unavailable, "read response of %s: %s", c.addresses[c.nextAddress], err.Error()), true
	}
	if res.StatusCode != http.StatusOK {
		apiErr, ran := decodeFault(res, data)
		return nil, apiErr, ran != fault.RanNo
	}
	return data, nil, false
}

// isDialError reports whether no connection was established, so that nothing was
// sent.
func isDialError(err error) bool {
	op, ok := errors.AsType[*net.OpError](err)
	return ok && op.Op == "dial"
}

// decodeFault returns the API error in a response. A response without one comes
// from an intermediary, such as a load balancer, and doesn't show whether the
// request ran.
func decodeFault(res *http.Response, data []byte) (*fault.Error, fault.Ran) {
	var body answer.ErrorBody
	if err := json.Unmarshal(data, &body); err != nil || body.Error == nil {
		return fault.New(fault.Unavailable, "response with status %s contains no API error", res.Status), fault.RanUnknown
	}
	return body.Error, body.Ran
}

// ChangeResult is the response to a change.
type ChangeResult struct {
	Version  uint64          `json:"version"`
	Kind     model.Kind      `json:"kind"`
	Name     string          `json:"name"`
	Replayed bool            `json:"replayed"`
	DryRun   bool            `json:"dryRun"`
	Object   json.RawMessage `json:"object"`
}

// change sends a change under a new change ID.
func (c *Client) change(ctx context.Context, call apiCall) (ChangeResult, error) {
	var out ChangeResult
	call.changeID, call.issuedAt = rand.Text(), time.Now().UTC()
	data, err := c.do(ctx, call)
	if err != nil {
		return out, err
	}
	return out, decodeResponse(data, &out)
}

// read sends a request without a change ID and decodes its response into out,
// unless out is nil.
func (c *Client) read(ctx context.Context, call apiCall, out any) ([]byte, error) {
	data, err := c.do(ctx, call)
	if err != nil || out == nil {
		return data, err
	}
	return data, decodeResponse(data, out)
}

func decodeResponse(data []byte, out any) error {
	if err := json.Unmarshal(data, out); err != nil {
		return fault.New(fault.Internal, "decode response: %s", err.Error())
	}
	return nil
}

// openStream opens a stream at one replica, without retries.
func (c *Client) openStream(ctx context.Context, call apiCall) (*http.Response, *fault.Error) {
	req, err := c.newRequest(ctx, call)
	if err != nil {
		return nil, fault.New(fault.Invalid, "%s", err.Error())
	}
	res, err := c.http.Do(req)
	if err != nil {
		return nil, fault.New(fault.Unavailable, "%s", err.Error())
	}
	if res.StatusCode == http.StatusOK {
		return res, nil
	}
	defer res.Body.Close()
	// If the body can't be read, decodeFault returns an error of its own.
	data, _ := io.ReadAll(res.Body)
	apiErr, _ := decodeFault(res, data)
	return nil, apiErr
}

func resourcePath(kind model.Kind, name string) string {
	return "/v1/" + url.PathEscape(string(kind)) + "/" + url.PathEscape(name)
}
