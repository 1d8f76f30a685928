// Package codec turns commands, results and resources into the stored form,
// CBOR, and back.
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
	encMode = mustEnc()
	decMode = mustDec()
)

func mustEnc() cbor.EncMode {
	// Times are stored in UTC: a decoder turns the offset of its own time zone
	// into another value than the same offset elsewhere, and replicas compare
	// times with ==.
	mode, err := cbor.EncOptions{Sort: cbor.SortBytewiseLexical, Time: cbor.TimeRFC3339NanoUTC, TimeTag: cbor.EncTagRequired}.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func mustDec() cbor.DecMode {
	mode, err := cbor.DecOptions{ExtraReturnErrors: cbor.ExtraDecErrorUnknownField, MaxArrayElements: 10_000_000, MaxMapPairs: 10_000_000}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// envelope carries a value of a closed set with the name of its type.
type envelope struct {
	Type string          `cbor:"t"`
	Body cbor.RawMessage `cbor:"b"`
}

// EncodeObject returns the stored form of a resource.
func EncodeObject(obj model.Object) ([]byte, error) {
	return seal(string(obj.Metadata().Kind), obj)
}

// DecodeObject is the inverse of EncodeObject.
func DecodeObject(data []byte) (model.Object, error) {
	env, err := open(data)
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

// checkKind refuses a resource whose metadata contradict its type, which the
// state machine relies on.
func checkKind(obj model.Object, kind model.Kind) error {
	if head := obj.Metadata(); head.Kind != kind {
		return eris.Errorf("resource of kind %q says that it is of kind %q", kind, head.Kind)
	}
	return nil
}

func seal(name string, v any) ([]byte, error) {
	body, err := encMode.Marshal(v)
	if err != nil {
		return nil, eris.Wrapf(err, "encode %s", name)
	}
	return encMode.Marshal(envelope{Type: name, Body: body})
}

func open(data []byte) (envelope, error) {
	var env envelope
	if err := decMode.Unmarshal(data, &env); err != nil {
		return env, eris.Wrap(err, "decode envelope")
	}
	return env, nil
}

// storedPut is Put with its resource in the stored form.
type storedPut struct {
	Origin   state.Origin
	Object   []byte
	Expected uint64
	Declared bool
}

// storedStatusStep is StatusStep with its resources in the stored form.
type storedStatusStep struct {
	Origin  state.Origin
	Objects [][]byte
}

// plainCommands are the commands that are stored as they are, by name.
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

// EncodeCommand returns the stored form of a command.
func EncodeCommand(cmd state.Command) ([]byte, error) {
	switch c := cmd.(type) {
	case state.Put:
		object, err := EncodeObject(c.Object)
		if err != nil {
			return nil, err
		}
		return seal("Put", storedPut{Origin: c.Origin, Object: object, Expected: c.Expected, Declared: c.Declared})
	case state.StatusStep:
		objects, err := encodeObjects(c.Objects)
		if err != nil {
			return nil, err
		}
		return seal("StatusStep", storedStatusStep{Origin: c.Origin, Objects: objects})
	}
	return seal(reflect.TypeOf(cmd).Name(), cmd)
}

// DecodeCommand is the inverse of EncodeCommand.
func DecodeCommand(data []byte) (state.Command, error) {
	env, err := open(data)
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
