package codec

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/core/model"
	"laburnumdock/internal/core/raft"
	"laburnumdock/internal/core/state"
)

// Guards against a forwarded result that loses its resource, its error or the
// results of its request records.
func TestForwardedResultsRoundTrip(t *testing.T) {
	team := &model.Team{Meta: model.Meta{Kind: model.KindTeam, Name: "t", Version: 4, Created: time.Date(2026, 1, 2, 3, 4, 5, 6, time.UTC)}}
	conflict := fault.New(fault.Conflict, "version is 7")
	conflict.Current = 7
	record := &state.RequestRecord{ID: "1.a", Phase: state.RequestFinished, Status: 200, Body: []byte("b"), Expires: time.UnixMilli(5).UTC(), Token: "t"}
	cases := map[string]state.Result{
		"empty":    {},
		"resource": {Version: 5, Object: team, Replayed: true},
		"error":    {Version: 6, Object: team, Err: conflict},
		"requests": {Version: 7, Requests: []state.RequestResult{{ID: "1.a", Recorded: record}, {ID: "1.b", Err: conflict}}},
	}
	for name, want := range cases {
		data, err := EncodeResult(want)
		require.NoError(t, err, name)
		got, err := DecodeResult(data)
		require.NoError(t, err, name)
		require.Equal(t, want, got, name)
	}
	_, err := DecodeResult([]byte("x"))
	require.Error(t, err)
}

// Guards against a snapshot or a membership change that loses an address.
func TestImagesAndMemberChangesRoundTrip(t *testing.T) {
	image := Image{State: []byte("state"), Addresses: map[uint64]string{1: "http://a", 4: "http://b"}}
	data, err := EncodeImage(image)
	require.NoError(t, err)
	gotImage, err := DecodeImage(data)
	require.NoError(t, err)
	require.Equal(t, image, gotImage)
	change := raft.MemberChange{Kind: raft.AddLearner, ID: 4, Address: "http://b"}
	data, err = EncodeMemberChange(change)
	require.NoError(t, err)
	gotChange, err := DecodeMemberChange(data)
	require.NoError(t, err)
	require.Equal(t, change, gotChange)
}
