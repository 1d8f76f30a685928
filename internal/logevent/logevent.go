// Package logevent holds the numbered log events and writes them. Every log
// line of the system is one of them.
package logevent

import (
	"io"
	"time"

	"github.com/sirupsen/logrus"
)

// Event is one entry of the catalogue. IDs are never reused.
type Event struct {
	ID    int
	Name  string
	Level logrus.Level
	// Text is the message; Meaning tells an operator what to do.
	Message    string
	Action string
}

// Fields are the structured values of a line.
type Fields = logrus.Fields

// Logger writes events as one JSON object a line.
type Logger struct {
	logger *logrus.Logger
	// role and process go into every line.
	role    string
	process string
	// buffer is nil if lines are written at once.
	buffer *buffer
}

// timeFormat has milliseconds, so that lines of several processes can be put in
// order.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// New returns a logger that writes each line to w at once. Role and process name
// go into every line.
func New(w io.Writer, level, role, process string) (*Logger, error) {
	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, err
	}
	l := logrus.New()
	l.SetOutput(w)
	l.SetLevel(parsed)
	l.SetFormatter(&logrus.JSONFormatter{TimestampFormat: timeFormat})
	return &Logger{logger: l, role: role, process: process}, nil
}

// NewBuffered returns a logger that never waits for w. Lines that w does not take
// in time are dropped and counted.
func NewBuffered(w io.Writer, level, role, process string) (*Logger, error) {
	b := newBuffer(w)
	l, err := New(b, level, role, process)
	if err != nil {
		return nil, err
	}
	l.buffer = b
	return l, nil
}

// flushLimit bounds how long the end of a process waits for its last lines.
const flushLimit = time.Second

// Flush writes the lines that wait.
func (l *Logger) Flush() {
	if l.buffer != nil {
		l.buffer.Flush(flushLimit)
	}
}

// Discard returns a logger that writes nothing.
func Discard() *Logger {
	l, _ := New(io.Discard, "panic", "", "")
	return l
}

// Log writes one event.
func (l *Logger) Log(e Event, fields Fields) {
	l.write(e, nil, fields)
}

// Err is Log with an error as a field.
func (l *Logger) Err(e Event, err error, fields Fields) {
	l.write(e, err, fields)
}

// fixedFields is the number of fields that lines have beside their own.
const fixedFields = 5

func (l *Logger) write(e Event, err error, fields Fields) {
	if !l.logger.IsLevelEnabled(e.Level) {
		return
	}
	if l.buffer != nil && e != LinesDropped {
		if n := l.buffer.takeDropped(); n > 0 {
			l.write(LinesDropped, nil, Fields{"number": n})
		}
	}
	data := make(Fields, len(fields)+fixedFields)
	for name, value := range fields {
		data[name] = value
	}
	data["role"], data["process"], data["event"], data["name"] = l.role, l.process, e.ID, e.Name
	if err != nil {
		data[logrus.ErrorKey] = err
	}
	entry := &logrus.Entry{Logger: l.logger, Data: data}
	entry.Log(e.Level, e.Message)
}
