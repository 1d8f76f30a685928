package answer

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
)

const (
	listIndent    = "  "
	elementIndent = listIndent + listIndent
)

// ListWriter writes an object with a version and a list as a JSON response, in the form of
// WriteJSON. It encodes one element at a time, so that a client which does not read a long
// list does not hold it in memory.
type ListWriter struct {
	w       http.ResponseWriter
	isEmpty bool
	err     error
	buffer  bytes.Buffer
}

// NewListWriter begins a response with status 200 whose list is in the given field.
func NewListWriter(w http.ResponseWriter, version uint64, field string) *ListWriter {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusOK)
	l := &ListWriter{w: w, isEmpty: true}
	l.write("{\n%s\"version\": %d,\n%s%q: [", listIndent, version, listIndent, field)
	return l
}

func (l *ListWriter) write(format string, args ...any) {
	if l.err == nil {
		_, l.err = fmt.Fprintf(l.w, format, args...)
	}
}

// Add writes an element. It returns false if the client is gone.
func (l *ListWriter) Add(v any) bool {
	data, err := json.Marshal(v)
	if err != nil {
		l.err = err
	}
	if l.err != nil {
		return false
	}
	l.buffer.Reset()
	if !l.isEmpty {
		l.buffer.WriteByte(',')
	}
	l.isEmpty = false
	l.buffer.WriteString("\n" + elementIndent)
	if l.err = json.Indent(&l.buffer, data, elementIndent, listIndent); l.err == nil {
		_, l.err = l.w.Write(l.buffer.Bytes())
	}
	return l.err == nil
}

// Close ends the list and the object.
func (l *ListWriter) Close() {
	l.endList()
	l.write("\n}\n")
}

// CloseWith does the same with one more field.
func (l *ListWriter) CloseWith(field string, value bool) {
	l.endList()
	l.write(",\n%s%q: %t\n}\n", listIndent, field, value)
}

func (l *ListWriter) endList() {
	if l.isEmpty {
		l.write("]")
		return
	}
	l.write("\n%s]", listIndent)
}
