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

// retryPause is the wait after all addresses failed once. A failover takes
// seconds, so a shorter wait gains nothing.
const retryPause = 250 * time.Millisecond

// tryTimeout bounds one try, so that a replica whose connection stays silent
// leaves time for the others.
const tryTimeout = 5 * time.Second

// Client calls the resource API. It tries several control replicas, and sends
// a change again under the same change ID until it knows the outcome.
type Client struct {
	addresses []string
	token     string
	timeout   time.Duration
	http      *http.Client
	// tries bounds the tries of one call; 0 means that time alone does.
	tries int
	// next is the address that answered last.
	next int
}

// NewClient returns a client. Timeout bounds one call with all its tries.
func NewClient(addresses []string, token string, timeout time.Duration) *Client {
	return &Client{addresses: addresses, token: token, timeout: timeout, http: &http.Client{}}
}

// call is one request, which may be sent several times.
type call struct {
	method, path string
	query        url.Values
	body         []byte
	// changeID and issuedAt are set for changes.
	changeID string
	issuedAt time.Time
}

func (c *Client) request(ctx context.Context, x call) (*http.Request, error) {
	s := sling.New().Base(c.addresses[c.next])
	switch x.method {
	case http.MethodPut:
		s.Put(x.path)
	case http.MethodPost:
		s.Post(x.path)
	case http.MethodDelete:
		s.Delete(x.path)
	default:
		s.Get(x.path)
	}
	if c.token != "" {
		s.Set("Authorization", "Bearer "+c.token)
	}
	if x.changeID != "" {
		s.Set(api.ChangeIDHeader, x.changeID).Set(api.IssuedAtHeader, x.issuedAt.Format(time.RFC3339Nano))
	}
	if x.body != nil {
		s.Set("Content-Type", "application/json").Body(bytes.NewReader(x.body))
	}
	req, err := s.Request()
	if err != nil {
		return nil, err
	}
	req.URL.RawQuery = x.query.Encode()
	return req.WithContext(ctx), nil
}

// do sends a request until a replica answers it for good. The error
// outcome_unknown means that a change may have taken effect.
func (c *Client) do(ctx context.Context, x call) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var last *fault.Error
	mayHaveRun := false
	for try := 1; ; try++ {
		data, fail, sent := c.once(ctx, x)
		if fail == nil {
			return data, nil
		}
		if !isRetried(fail.Kind) {
			return nil, fail
		}
		last = fail
		mayHaveRun = mayHaveRun || sent
		c.next = (c.next + 1) % len(c.addresses)
		if try == c.tries || pause(ctx, try%len(c.addresses) == 0) != nil {
			break
		}
	}
	if x.changeID != "" && mayHaveRun {
		return nil, fault.New(fault.OutcomeUnknown, "no control replica told the outcome of change %s within %s, it may have taken effect; the last answer was: %s", x.changeID, c.timeout, last.Message)
	}
	return nil, last
}

// isRetried tells whether the next replica may answer better. The outcome of a
// change is found out by sending it again under its ID.
func isRetried(kind fault.Kind) bool {
	switch kind {
	case fault.Unavailable, fault.NotLeader, fault.Overloaded, fault.Stopping, fault.OutcomeUnknown, fault.StorageFailed:
		return true
	default:
		return false
	}
}

// pause waits if wait is set, and tells whether there is time for another try.
func pause(ctx context.Context, wait bool) error {
	if !wait {
		return ctx.Err()
	}
	timer := time.NewTimer(retryPause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// once sends a request to one replica. Sent tells whether a change may have
// taken effect in spite of the error.
func (c *Client) once(ctx context.Context, x call) (data []byte, fail *fault.Error, sent bool) {
	ctx, cancel := context.WithTimeout(ctx, tryTimeout)
	defer cancel()
	req, err := c.request(ctx, x)
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
		return nil, fault.New(fault.Unavailable, "answer of %s ends early: %s", c.addresses[c.next], err.Error()), true
	}
	if res.StatusCode != http.StatusOK {
		fail, ran := decodeFault(res, data)
		return nil, fail, ran != fault.RanNo
	}
	return data, nil, false
}

// isDialError tells whether the connection was never made, so that nothing was
// sent.
func isDialError(err error) bool {
	op, ok := errors.AsType[*net.OpError](err)
	return ok && op.Op == "dial"
}

// decodeFault returns the refusal in an answer. An answer without one comes
// from something between, such as a balancer, and proves nothing.
func decodeFault(res *http.Response, data []byte) (*fault.Error, fault.Ran) {
	var body answer.ErrorBody
	if err := json.Unmarshal(data, &body); err != nil || body.Error == nil {
		return fault.New(fault.Unavailable, "status %s without an error of the API", res.Status), fault.RanUnknown
	}
	return body.Error, body.Ran
}

// Changed is the answer to a change.
type ChangeResult struct {
	Version  uint64          `json:"version"`
	Kind     model.Kind      `json:"kind"`
	Name     string          `json:"name"`
	Replayed bool            `json:"replayed"`
	DryRun   bool            `json:"dryRun"`
	Object   json.RawMessage `json:"object"`
}

// change sends a change under a new change ID.
func (c *Client) change(ctx context.Context, x call) (ChangeResult, error) {
	var out ChangeResult
	x.changeID, x.issuedAt = rand.Text(), time.Now().UTC()
	data, err := c.do(ctx, x)
	if err != nil {
		return out, err
	}
	return out, decodeAnswer(data, &out)
}

// read sends a request that changes nothing and decodes its answer into out.
func (c *Client) read(ctx context.Context, x call, out any) ([]byte, error) {
	data, err := c.do(ctx, x)
	if err != nil || out == nil {
		return data, err
	}
	return data, decodeAnswer(data, out)
}

func decodeAnswer(data []byte, out any) error {
	if err := json.Unmarshal(data, out); err != nil {
		return fault.New(fault.Internal, "answer cannot be read: %s", err.Error())
	}
	return nil
}

// stream opens a stream at one replica.
func (c *Client) stream(ctx context.Context, x call) (*http.Response, *fault.Error) {
	req, err := c.request(ctx, x)
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
	// A body that cannot be read gives an error without a kind below.
	data, _ := io.ReadAll(res.Body)
	fail, _ := decodeFault(res, data)
	return nil, fail
}

func resourcePath(kind model.Kind, name string) string {
	return "/v1/" + url.PathEscape(string(kind)) + "/" + url.PathEscape(name)
}
