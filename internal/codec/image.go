package codec

import (
	"github.com/rotisserie/eris"

	"laburnumdock/internal/core/raft"
)

// Image is the content of a snapshot of a control replica.
type Image struct {
	// State is the stored form of the state, as EncodeDump returns it.
	State []byte
	// Addresses are the base URLs of the members by ID.
	Addresses map[uint64]string
}

// EncodeImage returns the stored form of an image.
func EncodeImage(i Image) ([]byte, error) {
	data, err := encMode.Marshal(i)
	if err != nil {
		return nil, eris.Wrap(err, "encode a snapshot")
	}
	return data, nil
}

// DecodeImage is the inverse of EncodeImage.
func DecodeImage(data []byte) (Image, error) {
	var i Image
	if err := decMode.Unmarshal(data, &i); err != nil {
		return Image{}, eris.Wrap(err, "decode a snapshot")
	}
	return i, nil
}

// EncodeMemberChange returns the stored form of a membership change.
func EncodeMemberChange(c raft.MemberChange) ([]byte, error) {
	data, err := encMode.Marshal(c)
	if err != nil {
		return nil, eris.Wrap(err, "encode a membership change")
	}
	return data, nil
}

// DecodeMemberChange is the inverse of EncodeMemberChange.
func DecodeMemberChange(data []byte) (raft.MemberChange, error) {
	var c raft.MemberChange
	if err := decMode.Unmarshal(data, &c); err != nil {
		return c, eris.Wrap(err, "decode a membership change")
	}
	return c, nil
}
