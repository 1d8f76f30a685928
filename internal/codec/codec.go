// Package codec encodes commands, results, resources and snapshots as CBOR for
// storage and for the messages between replicas, and decodes them.
package codec

import (
	"fmt"
	"reflect"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"laburnumdock/internal/core/model"
	"laburnumdock/internal/core/state"
)

var (
	encMode = newEncMode()
	decMode = mustDecMode()
)

func newEncMode() cbor.EncMode {
	// Times are stored in UTC. The decoded value of a time with an offset depends
	// on whether the offset is that of the local time zone, and replicas compare
	// times with ==.
	mode, err := cbor.EncOptions{Sort: cbor.SortBytewiseLexical, Time: cbor.TimeRFC3339NanoUTC, TimeTag: cbor.EncTagRequired}.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// maxStoredElements bounds the lists of stored values.
const maxStoredElements = 10_000_000

func mustDecMode() cbor.DecMode {
	mode, err := newDecMode(maxStoredElements)
	if err != nil {
		panic(err)
	}
	return mode
}

// newDecMode returns a decoder of values whose lists have at most the given length.
func newDecMode(maxElements int) (cbor.DecMode, error) {
	// The encoder accepts texts that are not valid UTF-8. If the decoder rejected
	// them, an entry of the log with such a text would stop every replica, and stop
	// it again after each restart.
	return cbor.DecOptions{
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField, MaxArrayElements: maxElements, MaxMapPairs: maxStoredElements, UTF8: cbor.UTF8DecodeInvalid,
	}.DecMode()
}

// envelope is an encoded value with the name of its type.
type envelope struct {
	Type string          `cbor:"t"`
	Body cbor.RawMessage `cbor:"b"`
}

// EncodeObject encodes a resource together with its kind.
func EncodeObject(obj model.Object) ([]byte, error) {
	return encodeEnvelope(string(obj.Metadata().Kind), obj)
}

// DecodeObject decodes the result of EncodeObject.
func DecodeObject(data []byte) (model.Object, error) {
	env, err := decodeEnvelope(data)
	if err != nil {
		return nil, err
	}
	obj := model.New(model.Kind(env.Type))
	if obj == nil {
		return nil, eris.Errorf("resource kind %q is not known", env.Type)
	}
	if err := decMode.Unmarshal(env.Body, obj); err != nil {
		return nil, eris.Wrapf(err, "decode %s", env.Type)
	}
	if err := checkKind(obj, model.Kind(env.Type)); err != nil {
		return nil, err
	}
	return obj, nil
}

// checkKind returns an error if the kind in the metadata of a resource differs
// from the kind of its type. The state machine relies on their being equal.
func checkKind(obj model.Object, kind model.Kind) error {
	if meta := obj.Metadata(); meta.Kind != kind {
		return eris.Errorf("resource of kind %q says that it is of kind %q", kind, meta.Kind)
	}
	return nil
}

func encodeEnvelope(name string, v any) ([]byte, error) {
	body, err := encMode.Marshal(v)
	if err != nil {
		return nil, eris.Wrapf(err, "encode %s", name)
	}
	return encMode.Marshal(envelope{Type: name, Body: body})
}

func decodeEnvelope(data []byte) (envelope, error) {
	var env envelope
	if err := decMode.Unmarshal(data, &env); err != nil {
		return env, eris.Wrap(err, "decode envelope")
	}
	return env, nil
}

// storedPut is the stored form of state.Put.
type storedPut struct {
	Origin   state.Origin
	Object   []byte
	Expected uint64
	Declared bool
}

// storedStatusStep is the stored form of state.StatusStep.
type storedStatusStep struct {
	Origin  state.Origin
	Objects [][]byte
}

// plainCommands maps type names to the command types that are encoded directly,
// without a stored form of their own.
var plainCommands = map[string]reflect.Type{}

func init() {
	for _, c := range []state.Command{
		state.Delete{},
		state.HostReport{},
		state.HostStep{},
		state.WaveStep{},
		state.TaskStep{},
		state.RecordRequests{},
		state.JobsStep{},
		state.Tick{},
	} {
		t := reflect.TypeOf(c)
		plainCommands[t.Name()] = t
	}
}

// EncodeCommand encodes a command together with the name of its type.
func EncodeCommand(cmd state.Command) ([]byte, error) {
	switch c := cmd.(type) {
	case state.Put:
		object, err := EncodeObject(c.Object)
		if err != nil {
			return nil, err
		}
		return encodeEnvelope("Put", storedPut{Origin: c.Origin, Object: object, Expected: c.Expected, Declared: c.Declared})
	case state.StatusStep:
		objects, err := encodeObjects(c.Objects)
		if err != nil {
			return nil, err
		}
		return encodeEnvelope("StatusStep", storedStatusStep{Origin: c.Origin, Objects: objects})
	}
	return encodeEnvelope(reflect.TypeOf(cmd).Name(), cmd)
}

// DecodeCommand decodes the result of EncodeCommand.
func DecodeCommand(data []byte) (state.Command, error) {
	env, err := decodeEnvelope(data)
	if err != nil {
		return nil, err
	}
	switch env.Type {
	case "Put":
		return decodePut(env.Body)
	case "StatusStep":
		return decodeStatusStep(env.Body)
	}
	t, ok := plainCommands[env.Type]
	if !ok {
		return nil, eris.Errorf("command %q is not known", env.Type)
	}
	v := reflect.New(t)
	if err := decMode.Unmarshal(env.Body, v.Interface()); err != nil {
		return nil, eris.Wrapf(err, "decode %s", env.Type)
	}
	cmd, ok := v.Elem().Interface().(state.Command)
	if !ok {
		return nil, fmt.Errorf("%s is not a command", env.Type)
	}
	return cmd, nil
}

func decodePut(body []byte) (state.Command, error) {
	var s storedPut
	if err := decMode.Unmarshal(body, &s); err != nil {
		return nil, eris.Wrap(err, "decode Put")
	}
	object, err := DecodeObject(s.Object)
	if err != nil {
		return nil, err
	}
	return state.Put{Origin: s.Origin, Object: object, Expected: s.Expected, Declared: s.Declared}, nil
}

func decodeStatusStep(body []byte) (state.Command, error) {
	var s storedStatusStep
	if err := decMode.Unmarshal(body, &s); err != nil {
		return nil, eris.Wrap(err, "decode StatusStep")
	}
	step := state.StatusStep{Origin: s.Origin}
	for _, data := range s.Objects {
		object, err := DecodeObject(data)
		if err != nil {
			return nil, err
		}
		step.Objects = append(step.Objects, object)
	}
	return step, nil
}

func encodeObjects(objects []model.Object) ([][]byte, error) {
	var list [][]byte
	for _, obj := range objects {
		data, err := EncodeObject(obj)
		if err != nil {
			return nil, err
		}
		list = append(list, data)
	}
	return list, nil
}
