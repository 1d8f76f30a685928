package codec

import (
	"github.com/rotisserie/eris"

	"laburnumdock/internal/core/raft"
)

// Image is the payload of a snapshot of a control replica.
type Image struct {
	// State is the encoded state, as returned by EncodeDump.
	State []byte
	// Addresses are the base URLs of the members by replica ID.
	Addresses map[uint64]string
}

// EncodeImage encodes the payload of a snapshot.
func EncodeImage(i Image) ([]byte, error) {
	data, err := encMode.Marshal(i)
	if err != nil {
		return nil, eris.Wrap(err, "encode a snapshot")
	}
	return data, nil
}

// DecodeImage decodes the result of EncodeImage.
func DecodeImage(data []byte) (Image, error) {
	var i Image
	if err := decMode.Unmarshal(data, &i); err != nil {
		return Image{}, eris.Wrap(err, "decode snapshot")
	}
	return i, nil
}

// EncodeMemberChange encodes a membership change.
func EncodeMemberChange(c raft.MemberChange) ([]byte, error) {
	data, err := encMode.Marshal(c)
	if err != nil {
		return nil, eris.Wrap(err, "encode membership change")
	}
	return data, nil
}

// DecodeMemberChange decodes the result of EncodeMemberChange.
func DecodeMemberChange(data []byte) (raft.MemberChange, error) {
	var c raft.MemberChange
	if err := decMode.Unmarshal(data, &c); err != nil {
		return c, eris.Wrap(err, "decode membership change")
	}
	return c, nil
}
