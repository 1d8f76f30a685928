package control

import (
	"maps"

	"laburnumdock/internal/wal"
)

// StoredID returns the replica ID stored in the data directory, or 0 if the
// directory was never initialised.
func StoredID(cfg Config) (uint64, error) {
	fs, err := cfg.storage()
	if err != nil {
		return 0, err
	}
	id, found, err := wal.Identify(fs)
	if err != nil || !found {
		return 0, err
	}
	return id.Replica, nil
}

// ClearDataDir removes the files of a replica that is no longer a member.
func ClearDataDir(cfg Config) error {
	fs, err := cfg.storage()
	if err != nil {
		return err
	}
	return wal.Clear(fs)
}

// peerAddresses is an event with addresses that do not come from the log.
type peerAddresses struct{ addresses map[uint64]string }

func (e peerAddresses) handle(l *loop) { l.setAddresses(e.addresses) }

func (e peerAddresses) refuse(error) {}

// SetPeerAddresses sets the addresses of other replicas. A joining replica needs
// them to respond to the leader before it has received the leader's snapshot.
func (r *Replica) SetPeerAddresses(addresses map[uint64]string) error {
	return r.enqueue(peerAddresses{addresses: maps.Clone(addresses)})
}
