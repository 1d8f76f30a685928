package logevent

import "github.com/sirupsen/logrus"

// Events of every process: 1000 to 1099.
var (
	ProcessStarted  = Event{1000, "process_started", logrus.InfoLevel, "process started", "none"}
	ProcessReady    = Event{1001, "process_ready", logrus.InfoLevel, "process is ready", "none"}
	ProcessStopping = Event{1002, "process_stopping", logrus.InfoLevel, "graceful shutdown started", "none"}
	ProcessStopped  = Event{1003, "process_stopped", logrus.InfoLevel, "process stopped", "none"}
	ProcessFailed   = Event{1004, "process_failed", logrus.ErrorLevel, "process failed", "read the error field"}
	QueueFull       = Event{1005, "queue_full", logrus.WarnLevel, "event queue is full, the sender was refused", "look for a slow disk or too much load"}
)

// Events of the control replicas: 1100 to 1299.
var (
	LeaderChanged   = Event{1100, "leader_changed", logrus.InfoLevel, "leader changed", "none, unless it repeats"}
	ChangeAccepted  = Event{1101, "change_accepted", logrus.InfoLevel, "change accepted", "none"}
	ChangeRefused   = Event{1102, "change_refused", logrus.InfoLevel, "change refused", "the error kind tells the operator"}
	PlatformFailed  = Event{1103, "platform_failed", logrus.WarnLevel, "platform did not answer", "check the platform; planned stops wait until it reports again"}
	WatcherTooSlow  = Event{1104, "watcher_too_slow", logrus.WarnLevel, "watcher was cut off because it fell behind", "the client lists again by itself"}
	StepProposed    = Event{1105, "step_proposed", logrus.DebugLevel, "fleet decision proposed", "none"}
	PeerUnreachable = Event{1106, "peer_unreachable", logrus.WarnLevel, "peer cannot be reached", "check the peer host and the network between"}
	// 1110 to 1119: storage and membership of the control replicas.
	StorageOpened     = Event{1110, "storage_opened", logrus.InfoLevel, "stored log was read", "none"}
	TornRecordCut     = Event{1111, "torn_record_cut", logrus.WarnLevel, "torn last record was cut off the log", "none after a crash; it was never acknowledged"}
	StorageFailed     = Event{1112, "storage_failed", logrus.ErrorLevel, "storage failed, the replica acknowledges nothing any more", "free or replace the disk and restart the replica"}
	SnapshotInstalled = Event{1113, "snapshot_installed", logrus.InfoLevel, "snapshot of the leader was installed", "none"}
	SnapshotNotSent   = Event{1114, "snapshot_not_sent", logrus.WarnLevel, "snapshot could not be sent to a peer", "check the peer host and the network between; the leader tries again"}
	PeerRefused       = Event{1115, "peer_refused", logrus.WarnLevel, "messages of a peer were refused", "a replica that lost its disk must join under a new ID"}
)

// Events of the entry hosts: 1300 to 1499.
var (
	EndpointJoined   = Event{1300, "endpoint_joined", logrus.InfoLevel, "endpoint announced itself", "none"}
	EndpointLeft     = Event{1301, "endpoint_left", logrus.InfoLevel, "endpoint is leaving or its lease ran out", "none"}
	EndpointRefused  = Event{1302, "endpoint_refused", logrus.WarnLevel, "announcement refused", "an old epoch means that the host has moved to another pool"}
	ControlLost      = Event{1303, "control_lost", logrus.WarnLevel, "no control replica can be reached", "check the control replicas; routing goes on with the last configuration"}
	ControlConnected = Event{1304, "control_connected", logrus.InfoLevel, "connected to a control replica", "none"}
)

// Catalogue lists all events in the order of their IDs.
func Catalogue() []Event {
	return []Event{
		ProcessStarted, ProcessReady, ProcessStopping, ProcessStopped, ProcessFailed, QueueFull,
		LeaderChanged, ChangeAccepted, ChangeRefused, PlatformFailed, WatcherTooSlow, StepProposed,
		PeerUnreachable, StorageOpened, TornRecordCut, StorageFailed, SnapshotInstalled, SnapshotNotSent, PeerRefused,
		EndpointJoined, EndpointLeft, EndpointRefused, ControlLost, ControlConnected,
	}
}
