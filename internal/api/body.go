package api

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"

	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/core/model"
	"laburnumdock/internal/core/state"
	"laburnumdock/internal/intake"
)

// readBody reads the whole body. It rejects a body that is too large, too slow
// or truncated before anything is decoded.
func (a *api) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *fault.Error) {
	controller := http.NewResponseController(w)
	// Only response writers of tests do not support deadlines.
	_ = controller.SetReadDeadline(time.Now().Add(a.BodyTimeout))
	body, err := intake.ReadBody(r, a.MaxBodyBytes)
	if err == nil {
		// The server keeps reading to detect that the client has disconnected, so
		// the deadline is cleared. After a failure it stays, because the server
		// reads the rest of the body before it closes the connection.
		_ = controller.SetReadDeadline(time.Time{})
		return body, nil
	}
	refusal, refused := errors.AsType[*intake.Refusal](err)
	if refused {
		refusal.SetHeaders(w, r)
	}
	switch {
	case refused && refusal.Reason == intake.BodyTooLarge:
		return nil, &fault.Error{Kind: fault.TooLarge, Field: "body", Limit: "0 to " + strconv.FormatInt(a.MaxBodyBytes, 10) + " bytes", Message: "body is too large"}
	case refused:
		return nil, refusal.Fault()
	}
	return nil, fault.InvalidField("body", "a complete body", "body ends early: %s", err.Error())
}

// A body may have freeBodyValues values and one more for each leastValueBytes of its size,
// counted by their commas. A value of two bytes may take a hundred bytes once it is decoded.
// The longest lists of a resource are names of hosts.
const (
	freeBodyValues  = 1000
	leastValueBytes = 8
)

// decodeBody decodes a single JSON object into v and rejects unknown fields.
func decodeBody(body []byte, v any) *fault.Error {
	if trimmed := bytes.TrimLeft(body, " \t\r\n"); len(trimmed) == 0 || trimmed[0] != '{' {
		return fault.InvalidField("body", "one JSON object", "body is not a JSON object")
	}
	if most := freeBodyValues + len(body)/leastValueBytes; bytes.Count(body, []byte{','}) > most {
		return &fault.Error{Kind: fault.TooLarge, Field: "body", Limit: "0 to " + strconv.Itoa(most) + " commas", Message: "body has too many values for its size"}
	}
	dec := json.NewDecoder(bytes.NewReader(body))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return decodeError(err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return fault.InvalidField("body", "one JSON object", "body has data after the object")
	}
	return nil
}

// decodeError returns the fault for an error of the JSON decoder, with the field
// of the invalid value if the decoder reports it.
func decodeError(err error) *fault.Error {
	if t, ok := errors.AsType[*json.UnmarshalTypeError](err); ok {
		return fault.InvalidField(t.Field, "a value of type "+t.Type.String(), "value is %s", t.Value)
	}
	if errors.Is(err, io.ErrUnexpectedEOF) {
		return fault.InvalidField("body", "one JSON object", "body ends early")
	}
	if _, quoted, ok := strings.Cut(err.Error(), "unknown field "); ok {
		return fault.InvalidField(strings.Trim(quoted, `"`), "the fields of the resource", "field is not known")
	}
	return fault.InvalidField("body", "one JSON object", "%s", err.Error())
}

// decodeObject decodes the resource of a put. The body may omit its name, but
// must not contradict the path.
func decodeObject(key model.Key, body []byte) (model.Object, *fault.Error) {
	obj := model.New(key.Kind)
	if err := decodeBody(body, obj); err != nil {
		return nil, err
	}
	meta := obj.Metadata()
	if meta.Name == "" {
		meta.Name = key.Name
	}
	if meta.Key() != key {
		return nil, fault.InvalidField("metadata", "the kind and name of the path", "body names %s %s", meta.Kind, meta.Name)
	}
	return obj, nil
}

// origin returns the origin of a change. Its digest covers the method, path,
// query and body, so that a change ID reused for another request is rejected.
func (a *api) origin(r *http.Request, body []byte) (state.Origin, *fault.Error) {
	o := state.Origin{Actor: requestActor(r), Source: r.RemoteAddr, Time: a.Backend.Now(), ChangeID: r.Header.Get(ChangeIDHeader)}
	for field, text := range map[string]string{ActorHeader: o.Actor, ChangeIDHeader: o.ChangeID} {
		if err := checkText(field, text); err != nil {
			return o, err
		}
	}
	if o.ChangeID == "" {
		return o, nil
	}
	issued, err := time.Parse(time.RFC3339Nano, r.Header.Get(IssuedAtHeader))
	if err != nil {
		return o, fault.InvalidField(IssuedAtHeader, "RFC 3339 time", "a change ID requires the time at which it was issued")
	}
	o.IssuedAt = issued
	digest := xxhash.New()
	for _, part := range []string{r.Method, r.URL.Path, r.URL.RawQuery} {
		// Writes to a Digest never return an error.
		_, _ = digest.WriteString(part + "\n")
	}
	_, _ = digest.Write(body)
	o.Digest = digest.Sum64()
	return o, nil
}

// checkText returns an error if a text from a path or a header is not valid UTF-8,
// which the messages between replicas cannot carry.
func checkText(field, text string) *fault.Error {
	if !utf8.ValidString(text) {
		return fault.InvalidField(field, "valid UTF-8", "value is %q", text)
	}
	return nil
}

// queryNumber returns a query parameter as a number from 0 to high, or def if it
// is absent.
func queryNumber(r *http.Request, name string, def, high uint64) (uint64, *fault.Error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return def, nil
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil || n > high {
		return 0, fault.InvalidField(name, "0 to "+strconv.FormatUint(high, 10), "value is %q", text)
	}
	return n, nil
}

// queryFlag returns a query parameter as a bool, or false if it is absent.
func queryFlag(r *http.Request, name string) (bool, *fault.Error) {
	switch text := r.URL.Query().Get(name); text {
	case "", "false":
		return false, nil
	case "true":
		return true, nil
	default:
		return false, fault.InvalidField(name, "true, false", "value is %q", text)
	}
}
