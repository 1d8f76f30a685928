// Package logevent holds the numbered log events and writes them. Every log
// line of the system is one of them.
package logevent

import (
	"io"

	"github.com/sirupsen/logrus"
)

// Event is one entry of the catalogue. IDs are never reused.
type Event struct {
	ID    int
	Name  string
	Level logrus.Level
	// Text is the message; Meaning tells an operator what to do.
	Text    string
	Meaning string
}

// Fields are the structured values of a line.
type Fields = logrus.Fields

// Logger writes events as one JSON object a line.
type Logger struct{ entry *logrus.Entry }

// New returns a logger that writes to w. Role and process name go into every
// line.
func New(w io.Writer, level, role, process string) (*Logger, error) {
	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, err
	}
	l := logrus.New()
	l.SetOutput(w)
	l.SetLevel(parsed)
	l.SetFormatter(&logrus.JSONFormatter{})
	return &Logger{entry: l.WithFields(logrus.Fields{"role": role, "process": process})}, nil
}

// Discard returns a logger that writes nothing.
func Discard() *Logger {
	l, _ := New(io.Discard, "panic", "", "")
	return l
}

// Log writes one event.
func (l *Logger) Log(e Event, fields Fields) {
	l.entry.WithFields(fields).WithFields(logrus.Fields{"event": e.ID, "name": e.Name}).Log(e.Level, e.Text)
}

// Err is Log with an error as a field.
func (l *Logger) Err(e Event, err error, fields Fields) {
	l.entry.WithError(err).WithFields(fields).WithFields(logrus.Fields{"event": e.ID, "name": e.Name}).Log(e.Level, e.Text)
}
