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

// maxLine bounds one line of a watch stream. A resource has at most the size
// of a request's body, which the settings bound at 64 MB.
const maxLine = 65 << 20

func watchCommand() *cli.Command {
	return &cli.Command{
		Name: "watch", Usage: "show changes as they happen", ArgsUsage: "[KIND...]",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "from", Usage: "version after which changes are shown; the current one if absent"},
			&cli.IntFlag{Name: "events", Usage: "end after this number of changes; 0 means never"},
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
	client, err := connect(c)
	if err != nil {
		return err
	}
	from := c.Uint64("from")
	if !c.IsSet("from") {
		if from, err = client.version(ctx); err != nil {
			return err
		}
	}
	left := c.Int("events")
	w := &watch{client: client, kinds: c.Args().Slice(), version: from, notes: c.Root().ErrWriter}
	return w.run(ctx, func(e watchEvent) error {
		if err := printEvent(c.Root().Writer, format, e); err != nil {
			return err
		}
		if left--; left == 0 {
			return errWatchDone
		}
		return nil
	})
}

// errWatchDone ends a watch that has seen what it waited for.
var errWatchDone = errors.New("watch is done")

// version returns the current version.
func (c *Client) version(ctx context.Context) (uint64, error) {
	var list struct{ Version uint64 }
	_, err := c.read(ctx, call{path: "/v1/" + string(model.KindTeam)}, &list)
	return list.Version, err
}

// watchEvent is one line of a watch stream as a client sees it.
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

// watch follows changes over lost connections.
type watch struct {
	client *Client
	kinds  []string
	// version is that of the last progress line: all changes up to it were
	// handed out.
	version uint64
	// seen are the changes after version that were handed out, which a new
	// stream sends again.
	seen  map[string]uint64
	notes io.Writer
}

// run hands out changes until each returns an error or ctx ends.
func (w *watch) run(ctx context.Context, each func(watchEvent) error) error {
	failures := 0
	for {
		before := w.version
		err := w.stream(ctx, each)
		if isWatchOver(ctx, err) {
			return nil
		}
		if w.version > before {
			failures = 0
		}
		failures++
		wait, err := w.recover(ctx, err, failures)
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

// isWatchOver tells whether a watch ends without a fault.
func isWatchOver(ctx context.Context, err error) bool {
	return errors.Is(err, errWatchDone) || ctx.Err() != nil
}

// streamError is why a stream ended, with the wait that the server asked for.
type streamError struct {
	cause *fault.Error
	wait  time.Duration
}

func (e streamError) Error() string { return e.cause.Error() }

// recover returns how long to wait before the next stream, or the error that
// ends the watch.
func (w *watch) recover(ctx context.Context, err error, failures int) (time.Duration, error) {
	s, ok := errors.AsType[streamError](err)
	if !ok {
		return 0, err
	}
	if s.cause.Kind == fault.Compacted || s.cause.Kind == fault.SlowWatcher {
		version, err := w.client.version(ctx)
		if err != nil {
			return 0, err
		}
		fmt.Fprintf(w.notes, "dockctl: changes from version %d to %d were missed: %s\n", w.version, version, s.cause.Message)
		w.version, w.seen = version, nil
		return max(s.wait, retryPause), nil
	}
	if !isRetried(s.cause.Kind) {
		return 0, s.cause
	}
	if time.Duration(failures)*retryPause > w.client.timeout {
		return 0, s.cause
	}
	w.client.next = (w.client.next + 1) % len(w.client.addresses)
	return max(s.wait, retryPause), nil
}

// stream reads one stream to its end.
func (w *watch) stream(ctx context.Context, each func(watchEvent) error) error {
	query := url.Values{"from": {strconv.FormatUint(w.version, 10)}, "kinds": {strings.Join(w.kinds, ",")}}
	res, fail := w.client.stream(ctx, call{path: "/v1/watch", query: query})
	if fail != nil {
		return streamError{fail, retryPause}
	}
	defer res.Body.Close()
	lines := bufio.NewScanner(res.Body)
	lines.Buffer(nil, maxLine)
	for lines.Scan() {
		var e watchEvent
		if err := decodeAnswer(lines.Bytes(), &e); err != nil {
			return err
		}
		if err := w.take(e, each); err != nil {
			return err
		}
	}
	return streamError{fault.New(fault.Unavailable, "stream ended: %v", streamEnd(res, lines.Err())), retryPause}
}

func streamEnd(res *http.Response, err error) error {
	if err == nil {
		return fmt.Errorf("%s closed it", res.Request.URL.Host)
	}
	return err
}

func (w *watch) take(e watchEvent, each func(watchEvent) error) error {
	switch e.Type {
	case api.LineProgress:
		w.version, w.seen = e.Version, nil
	case api.LineError:
		return streamError{e.Error, time.Duration(e.RetryMs) * time.Millisecond}
	case api.LineEvent:
		key := string(e.Kind) + "/" + e.Name
		if w.seen[key] >= e.Version {
			return nil
		}
		if w.seen == nil {
			w.seen = make(map[string]uint64)
		}
		w.seen[key] = e.Version
		return each(e)
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
	// The first cell is the name and the last one the version.
	line := cells(obj)
	names := headings[e.Kind]
	var texts []string
	for i := 1; i < len(line)-1; i++ {
		if text := fmt.Sprint(line[i]); text != "" {
			texts = append(texts, fmt.Sprintf("%s=%s", strings.ReplaceAll(strings.ToLower(fmt.Sprint(names[i])), " ", "-"), text))
		}
	}
	_, err = fmt.Fprintf(out, "%d %s/%s %s\n", e.Version, e.Kind, e.Name, strings.Join(texts, " "))
	return err
}
