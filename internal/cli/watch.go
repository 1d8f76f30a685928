package cli

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"laburnumdock/internal/api"
	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/core/model"
)

// maxLineBytes bounds one line of a watch stream. A resource is at most as large
// as a request body, which the settings limit to 64 MB.
const maxLineBytes = 65 << 20

func watchCommand() *cli.Command {
	return &cli.Command{
		Name: "watch", Usage: "show changes as they happen", ArgsUsage: "[KIND...]",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "from", Usage: "show changes after this version; the current one if not set"},
			&cli.IntFlag{Name: "events", Usage: "exit after this number of changes; 0 means never"},
		},
		Action: runWatch,
	}
}

func runWatch(ctx context.Context, c *cli.Command) error {
	format, err := outputFormat(c)
	if err != nil {
		return err
	}
	for _, kind := range c.Args().Slice() {
		if model.New(model.Kind(kind)) == nil {
			return usagef("resource kind %q is not one of %v", kind, model.Kinds())
		}
	}
	client, err := clientFromFlags(c)
	if err != nil {
		return err
	}
	from := c.Uint64("from")
	if !c.IsSet("from") {
		if from, err = client.stateVersion(ctx); err != nil {
			return err
		}
	}
	remaining := c.Int("events")
	w := &watcher{client: client, kinds: c.Args().Slice(), version: from, errOut: c.Root().ErrWriter}
	return w.run(ctx, func(e watchEvent) error {
		if err := printEvent(c.Root().Writer, format, e); err != nil {
			return err
		}
		if remaining--; remaining == 0 {
			return errWatchDone
		}
		return nil
	})
}

// errWatchDone is returned by a deliver function to end the watch without an
// error.
var errWatchDone = errors.New("watch done")

// stateVersion returns the current version of the replicated state.
func (c *Client) stateVersion(ctx context.Context) (uint64, error) {
	var list struct{ Version uint64 }
	_, err := c.read(ctx, apiCall{path: "/v1/" + string(model.KindTeam)}, &list)
	return list.Version, err
}

// watchEvent is one decoded line of a watch stream.
type watchEvent struct {
	Type    api.LineType    `json:"type"`
	Version uint64          `json:"version"`
	Kind    model.Kind      `json:"kind,omitempty"`
	Name    string          `json:"name,omitempty"`
	Deleted bool            `json:"deleted,omitempty"`
	Object  json.RawMessage `json:"object,omitempty"`
	Error   *fault.Error    `json:"error,omitempty"`
	RetryMs int64           `json:"retryMs,omitempty"`
}

// watcher receives changes and reconnects after lost connections.
type watcher struct {
	client *Client
	kinds  []string
	// version is the version of the last progress line. All changes up to it
	// were delivered.
	version uint64
	// delivered holds the last delivered version after version by resource. A
	// new stream sends these changes again.
	delivered map[string]uint64
	errOut    io.Writer
}

// run delivers changes until deliver returns an error, the watch can't be resumed
// or ctx ends. If ctx ends or deliver returns errWatchDone, it returns nil.
func (w *watcher) run(ctx context.Context, deliver func(watchEvent) error) error {
	failures := 0
	for {
		before := w.version
		err := w.readStream(ctx, deliver)
		if isWatchEnded(ctx, err) {
			return nil
		}
		if w.version > before {
			failures = 0
		}
		failures++
		wait, err := w.prepareRetry(ctx, err, failures)
		if err != nil {
			return err
		}
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-timer.C:
		}
	}
}

// isWatchEnded reports whether a watch ends without an error.
func isWatchEnded(ctx context.Context, err error) bool {
	return errors.Is(err, errWatchDone) || ctx.Err() != nil
}

// streamError is the reason why a stream ended.
type streamError struct {
	cause *fault.Error
	// retryAfter is the delay before the next stream that the server requested, or
	// retryDelay if the stream ended without an error line.
	retryAfter time.Duration
}

func (e streamError) Error() string { return e.cause.Error() }

// prepareRetry returns the delay before the next stream, or the error that ends
// the watch. If the server no longer has the missed changes, the watch continues
// from the current version and the gap is reported.
func (w *watcher) prepareRetry(ctx context.Context, err error, failures int) (time.Duration, error) {
	ended, ok := errors.AsType[streamError](err)
	if !ok {
		return 0, err
	}
	if ended.cause.Kind == fault.Compacted || ended.cause.Kind == fault.SlowWatcher {
		version, err := w.client.stateVersion(ctx)
		if err != nil {
			return 0, err
		}
		fmt.Fprintf(w.errOut, "dockctl: changes from version %d to %d were missed: %s\n", w.version, version, ended.cause.Message)
		w.version, w.delivered = version, nil
		return max(ended.retryAfter, retryDelay), nil
	}
	if !isRetryable(ended.cause.Kind) {
		return 0, ended.cause
	}
	if time.Duration(failures)*retryDelay > w.client.timeout {
		return 0, ended.cause
	}
	w.client.nextAddress = (w.client.nextAddress + 1) % len(w.client.addresses)
	return max(ended.retryAfter, retryDelay), nil
}

// readStream reads one stream to its end.
func (w *watcher) readStream(ctx context.Context, deliver func(watchEvent) error) error {
	query := url.Values{"from": {strconv.FormatUint(w.version, 10)}, "kinds": {strings.Join(w.kinds, ",")}}
	res, apiErr := w.client.openStream(ctx, apiCall{path: "/v1/watch", query: query})
	if apiErr != nil {
		return streamError{apiErr, retryDelay}
	}
	defer res.Body.Close()
	lines := bufio.NewScanner(res.Body)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		var e watchEvent
		if err := decodeResponse(lines.Bytes(), &e); err != nil {
			return err
		}
		if err := w.handleLine(e, deliver); err != nil {
			return err
		}
	}
	return streamError{fault.New(fault.Unavailable, "stream ended: %v", streamEndCause(res, lines.Err())), retryDelay}
}

func streamEndCause(res *http.Response, err error) error {
	if err == nil {
		return fmt.Errorf("%s closed the connection", res.Request.URL.Host)
	}
	return err
}

func (w *watcher) handleLine(e watchEvent, deliver func(watchEvent) error) error {
	switch e.Type {
	case api.LineProgress:
		w.version, w.delivered = e.Version, nil
	case api.LineError:
		return streamError{e.Error, time.Duration(e.RetryMs) * time.Millisecond}
	case api.LineEvent:
		key := string(e.Kind) + "/" + e.Name
		if w.delivered[key] >= e.Version {
			return nil
		}
		if w.delivered == nil {
			w.delivered = make(map[string]uint64)
		}
		w.delivered[key] = e.Version
		return deliver(e)
	}
	return nil
}

func printEvent(out io.Writer, format string, e watchEvent) error {
	data, err := json.Marshal(e)
	if err != nil {
		return err
	}
	switch format {
	case formatJSON:
		_, err = fmt.Fprintf(out, "%s\n", data)
		return err
	case formatYAML:
		if _, err := fmt.Fprintln(out, "---"); err != nil {
			return err
		}
		return printYAML(out, data)
	}
	return printEventRow(out, e)
}

func printEventRow(out io.Writer, e watchEvent) error {
	if e.Deleted {
		_, err := fmt.Fprintf(out, "%d %s/%s deleted\n", e.Version, e.Kind, e.Name)
		return err
	}
	obj, err := decodeResource(e.Kind, e.Object)
	if err != nil {
		return err
	}
	// The first cell is the name and the last one is the version; both are
	// printed separately.
	values := cells(obj)
	columns := headings[e.Kind]
	var texts []string
	for i := 1; i < len(values)-1; i++ {
		if text := fmt.Sprint(values[i]); text != "" {
			texts = append(texts, fmt.Sprintf("%s=%s", strings.ReplaceAll(strings.ToLower(fmt.Sprint(columns[i])), " ", "-"), text))
		}
	}
	_, err = fmt.Fprintf(out, "%d %s/%s %s\n", e.Version, e.Kind, e.Name, strings.Join(texts, " "))
	return err
}
