package control

import (
	"maps"

	"laburnumdock/internal/wal"
)

// StoredID returns the replica ID in the data folder, or 0 if the folder was
// never initialised.
func StoredID(dir string) (uint64, error) {
	fs, err := wal.Dir(dir)
	if err != nil {
		return 0, err
	}
	id, found, err := wal.Identify(fs)
	if err != nil || !found {
		return 0, err
	}
	return id.Replica, nil
}

// ClearFolder removes the files of a replica that no longer takes part.
func ClearDataDir(dir string) error {
	fs, err := wal.Dir(dir)
	if err != nil {
		return err
	}
	return wal.Clear(fs)
}

// learned is the event of addresses that were found outside the log.
type learned struct{ addresses map[uint64]string }

func (e learned) handle(l *loop) { l.learnAddresses(e.addresses) }

func (e learned) refuse(error) {}

// LearnPeers tells a replica where others are. A replica that joins needs it to
// answer the leader before it has the leader's snapshot.
func (r *Replica) SetPeerAddresses(addresses map[uint64]string) error {
	return r.put(learned{addresses: maps.Clone(addresses)})
}
