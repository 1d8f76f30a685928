package logevent

import (
	"errors"
	"strings"
	"sync/atomic"

	"golang.org/x/time/rate"
)

const (
	// limitedBurst is the number of lines of a Limited that are written at once, and
	// limitedRate the number a second after that.
	limitedBurst = 100
	limitedRate  = 5
	// maxLimitedText bounds the texts of a line in bytes. They come from clients.
	maxLimitedText = 256
)

// Limited writes an event that clients can cause at any rate. It leaves out lines beyond a
// rate; the field skipped of the next line counts them. Any goroutine may use it.
type Limited struct {
	log     *Logger
	event   Event
	limiter *rate.Limiter
	skipped atomic.Int64
}

// Limited returns a Limited for an event.
func (l *Logger) Limited(e Event) *Limited {
	return &Limited{log: l, event: e, limiter: rate.NewLimiter(limitedRate, limitedBurst)}
}

// Err writes the event with an error as a field, or leaves it out. It changes the fields.
func (l *Limited) Err(err error, fields Fields) {
	if !l.limiter.Allow() {
		l.skipped.Add(1)
		return
	}
	for name, value := range fields {
		if text, ok := value.(string); ok {
			fields[name] = shorten(text)
		}
	}
	if n := l.skipped.Swap(0); n > 0 {
		if fields == nil {
			fields = Fields{}
		}
		fields["skipped"] = n
	}
	if err != nil && len(err.Error()) > maxLimitedText {
		err = errors.New(shorten(err.Error()))
	}
	l.log.Err(l.event, err, fields)
}

// Log writes the event without an error, or leaves it out. It changes the fields.
func (l *Limited) Log(fields Fields) { l.Err(nil, fields) }

func shorten(text string) string {
	return strings.ToValidUTF8(text[:min(len(text), maxLimitedText)], "")
}
