package rpc

import (
	"fmt"
	"reflect"
	"sync"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/reflect/protoregistry"
)

const (
	// maxDecodedFactor is how many times its encoded size a message may take in memory. The
	// smallest messages that are sent in large numbers, the slots in use of an endpoint, take
	// about 10 times theirs.
	maxDecodedFactor = 12
	// freeDecodedBytes is what a message may take in any case. A message of
	// uncheckedBytes or less takes no more than that: no two bytes become more than 300.
	freeDecodedBytes = 64 << 10
	uncheckedBytes   = 400
	// pointerBytes is the size of a pointer to a message in a list, and scalarBytes the
	// largest size of a number.
	pointerBytes = 8
	scalarBytes  = 8
	// textBytes is the size of the header of a text or of a slice of bytes.
	textBytes = 24
	// maxDepth bounds the nesting of messages. Those of the system have three levels.
	maxDepth = 16
)

// checkDecodedSize returns an error if an encoded message would take too much memory. An
// empty message in a list has two bytes and may take hundreds once it is decoded.
func checkDecodedSize(data []byte, d protoreflect.MessageDescriptor) error {
	if len(data) <= uncheckedBytes {
		return nil
	}
	most := len(data)*maxDecodedFactor + freeDecodedBytes
	size, err := decodedSize(data, d, most, maxDepth)
	if err != nil {
		return err
	}
	if size > most {
		return fmt.Errorf("%s of %d bytes has too many parts to decode", d.Name(), len(data))
	}
	return nil
}

// decodedSize returns about how many bytes an encoded message takes in memory, or more than
// most as soon as that is certain.
func decodedSize(data []byte, d protoreflect.MessageDescriptor, most, depth int) (int, error) {
	size := structSize(d)
	if depth == 0 {
		return 0, fmt.Errorf("%s is nested too deeply", d.Name())
	}
	for len(data) > 0 && size <= most {
		number, wireType, n := protowire.ConsumeTag(data)
		if n < 0 {
			return 0, protowire.ParseError(n)
		}
		data = data[n:]
		n = protowire.ConsumeFieldValue(number, wireType, data)
		if n < 0 {
			return 0, protowire.ParseError(n)
		}
		value := data[:n]
		data = data[n:]
		field := d.Fields().ByNumber(number)
		switch {
		case field == nil:
			// A field that is not known is kept as it is.
			size += n
		case wireType != protowire.BytesType:
			if field.IsList() {
				size += scalarBytes
			}
		default:
			content, _ := protowire.ConsumeBytes(value)
			if field.Message() == nil {
				size += contentSize(field, len(content))
				continue
			}
			nested, err := decodedSize(content, field.Message(), most-size, depth-1)
			if err != nil {
				return 0, err
			}
			size += pointerBytes + nested
		}
	}
	return size, nil
}

// contentSize returns what a text, bytes or a packed list of n bytes take.
func contentSize(field protoreflect.FieldDescriptor, n int) int {
	switch field.Kind() {
	case protoreflect.StringKind, protoreflect.BytesKind:
		if field.IsList() {
			return textBytes + n
		}
		return n
	default:
		return n * scalarBytes
	}
}

// structSizes holds the sizes of the Go types of messages by their full names.
var structSizes sync.Map

// structSize returns the size of the Go type of a message.
func structSize(d protoreflect.MessageDescriptor) int {
	if size, ok := structSizes.Load(d.FullName()); ok {
		return size.(int)
	}
	size := 0
	if t, err := protoregistry.GlobalTypes.FindMessageByName(d.FullName()); err == nil {
		size = int(reflect.TypeOf(t.Zero().Interface()).Elem().Size())
	}
	structSizes.Store(d.FullName(), size)
	return size
}
