// Package waltest fills data directories for tests and measurements.
package waltest

import (
	"fmt"
	"time"

	"laburnumdock/internal/codec"
	"laburnumdock/internal/core/model"
	"laburnumdock/internal/core/raft"
	"laburnumdock/internal/core/state"
	"laburnumdock/internal/wal"
)

// batchEntries is the number of entries that are synced together.
const batchEntries = 100

// FillRegion initialises the data directory of replica 1 of cluster, the only voter,
// with a snapshot of a region and with entries after it. It returns the index of
// the last entry.
func FillRegion(fs wal.FS, cluster string, hosts, entries int) (uint64, error) {
	origin := state.Origin{Actor: "bench", Source: "bench", Time: time.Now().UTC()}
	s, err := newRegion(origin, hosts)
	if err != nil {
		return 0, err
	}
	data, err := codec.EncodeDump(s.Dump())
	if err != nil {
		return 0, err
	}
	if data, err = codec.EncodeImage(codec.Image{State: data}); err != nil {
		return 0, err
	}
	meta := raft.SnapshotMeta{Index: s.Version(), Term: 1, Members: raft.Membership{Voters: []uint64{1}}}
	if err := wal.Init(fs, cluster, 1, &raft.Snapshot{Meta: meta, Data: data}); err != nil {
		return 0, err
	}
	log, _, err := wal.Open(wal.Options{FS: fs, Cluster: cluster, Replica: 1})
	if err != nil {
		return 0, err
	}
	for at := 0; at < entries; at += batchEntries {
		var list []raft.Entry
		for i := at; i < min(at+batchEntries, entries); i++ {
			command, err := codec.EncodeCommand(putTeam(origin, i))
			if err != nil {
				return 0, err
			}
			list = append(list, raft.Entry{Index: meta.Index + 1 + uint64(i), Term: 1, Data: command})
		}
		if err := log.Append(raft.HardState{Term: 1}, list); err != nil {
			return 0, err
		}
	}
	return meta.Index + uint64(entries), log.Close()
}

// putTeam returns an operator's change with a change ID.
func putTeam(origin state.Origin, i int) state.Put {
	origin.ChangeID, origin.IssuedAt = fmt.Sprintf("change-%d", i), origin.Time
	team := &model.Team{Meta: model.Meta{Kind: model.KindTeam, Name: fmt.Sprintf("team-%d", i)}, Spec: model.TeamSpec{QuotaCores: i}}
	return state.Put{Origin: origin, Object: team, Expected: state.AnyVersion}
}

// newRegion returns the state of a region of one pool.
func newRegion(origin state.Origin, hosts int) (*state.State, error) {
	s := state.New()
	objects := []model.Object{&model.Pool{Meta: model.Meta{Kind: model.KindPool, Name: "pool-0"}, Spec: model.PoolSpec{MaxHosts: hosts}}}
	for i := range hosts {
		objects = append(objects, &model.Host{
			Meta: model.Meta{Kind: model.KindHost, Name: fmt.Sprintf("host-%d", i)},
			Spec: model.HostSpec{Pool: "pool-0", Zone: fmt.Sprintf("zone-%d", i%3), Rack: fmt.Sprintf("rack-%d", i/4), Cores: 32, MemoryMB: 65536},
		})
	}
	for _, obj := range objects {
		if res := s.Apply(s.Version()+1, state.Put{Origin: origin, Object: obj, Expected: state.AnyVersion}); res.Err != nil {
			return nil, res.Err
		}
	}
	return s, nil
}
