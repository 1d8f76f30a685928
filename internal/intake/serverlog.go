package intake

import (
	"errors"
	"log"
	"strings"
	"time"

	"golang.org/x/time/rate"

	"laburnumdock/internal/logevent"
)

// serverLog receives what an HTTP server writes to its error log.
type serverLog struct {
	guard  *Guard
	errors *logevent.Limited
	panics rate.Sometimes
}

func (g *Guard) newServerLog() *log.Logger {
	const panicInterval = time.Second
	return log.New(&serverLog{guard: g, errors: g.log.Limited(logevent.ServerError), panics: rate.Sometimes{Interval: panicInterval}}, "", 0)
}

// The beginnings of lines of net/http: about a connection whose TLS handshake failed, where
// the address of the client follows, and about a handler that panicked.
const (
	handshakePrefix = "http: TLS handshake error from "
	panicPrefix     = "http: panic serving "
)

// Write implements io.Writer. Clients cause failed handshakes at any rate, so they are counted
// as refusals. The stack of a panic is written whole.
func (l *serverLog) Write(line []byte) (int, error) {
	text := strings.TrimSpace(string(line))
	if rest, ok := strings.CutPrefix(text, handshakePrefix); ok {
		client, _, _ := strings.Cut(rest, ": ")
		l.guard.refuse(FailedHandshake, client)
		return len(line), nil
	}
	err := errors.New(text)
	if strings.HasPrefix(text, panicPrefix) {
		l.panics.Do(func() { l.guard.log.Err(logevent.ServerError, err, nil) })
		return len(line), nil
	}
	l.errors.Err(err, nil)
	return len(line), nil
}
