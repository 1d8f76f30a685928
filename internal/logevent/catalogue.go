package logevent

import "github.com/sirupsen/logrus"

// Events of every process: 1000 to 1099.
var (
	ProcessStarted   = Event{1000, "process_started", logrus.InfoLevel, "process started", "none"}
	ProcessReady     = Event{1001, "process_ready", logrus.InfoLevel, "process is ready", "none"}
	ProcessStopping  = Event{1002, "process_stopping", logrus.InfoLevel, "graceful shutdown started", "none"}
	ProcessStopped   = Event{1003, "process_stopped", logrus.InfoLevel, "process stopped", "none"}
	ProcessFailed    = Event{1004, "process_failed", logrus.ErrorLevel, "process failed", "read the error field"}
	LinesDropped     = Event{1008, "lines_dropped", logrus.WarnLevel, "log lines were dropped because the reader is too slow", "check the process that reads the standard output; number is the count of lines"}
	SettingsReloaded = Event{1006, "settings_reloaded", logrus.InfoLevel, "settings file was reloaded", "the new seeds are in use; other keys need a restart"}
	SettingsRefused  = Event{1007, "settings_refused", logrus.WarnLevel, "new settings are invalid, the previous ones stay in use", "correct the file; the problem field names the key"}
	ServerError      = Event{1011, "server_error", logrus.WarnLevel, "an HTTP server reports an error", "a panic is a fault of the program, please report it" + limitedNote}
	ClientRefused    = Event{1010, "client_refused", logrus.WarnLevel, "client is refused, or its connection closed, to stay within the limits for clients", "reason names the limit, see \"Limits for clients\" in operators.md; number counts the refusals with this reason, of which one in 10 s is logged"}
	QueueFull        = Event{1005, "queue_full", logrus.WarnLevel, "event queue is full, the sender was refused", "check for a slow disk or too much load"}
)

// Events of the control replicas: 1100 to 1199.
var (
	LeaderChanged   = Event{1100, "leader_changed", logrus.InfoLevel, "leader changed", "none, unless it repeats"}
	ChangeAccepted  = Event{1101, "change_accepted", logrus.InfoLevel, "change accepted", "none"}
	ChangeRefused   = Event{1102, "change_refused", logrus.InfoLevel, "change refused", "the error kind gives the reason"}
	PlatformFailed  = Event{1103, "platform_failed", logrus.WarnLevel, "platform did not answer", "check the platform; planned stops wait until it reports again"}
	WatcherTooSlow  = Event{1104, "watcher_too_slow", logrus.WarnLevel, "watcher was disconnected because it fell behind", "the client lists again automatically"}
	StepProposed    = Event{1105, "step_proposed", logrus.DebugLevel, "fleet decision proposed", "none"}
	PeerUnreachable = Event{1106, "peer_unreachable", logrus.WarnLevel, "peer cannot be reached", "check the peer host and the network between"}
	LeadershipBegan = Event{1107, "office_began", logrus.InfoLevel, "this replica decides on jobs as leader", "none"}
	LeadershipEnded = Event{1108, "office_ended", logrus.InfoLevel, "this replica no longer decides on jobs", "none, unless it repeats"}
	DiskSlow        = Event{1109, "disk_slow", logrus.WarnLevel, "disk is slow, leadership is transferred", "check the disk of this host"}
	// 1110 to 1119: storage and membership of the control replicas.
	StorageOpened     = Event{1110, "storage_opened", logrus.InfoLevel, "stored log was read", "none"}
	TornRecordCut     = Event{1111, "torn_record_cut", logrus.WarnLevel, "torn last record was truncated from the log", "none after a crash; it was never acknowledged"}
	StorageFailed     = Event{1112, "storage_failed", logrus.ErrorLevel, "storage failed, the replica acknowledges nothing until it works again", "free or repair the disk; see \"Disk full or failing\" in OPERATIONS.md"}
	SnapshotInstalled = Event{1113, "snapshot_installed", logrus.InfoLevel, "snapshot of the leader was installed", "none"}
	SnapshotNotSent   = Event{1114, "snapshot_not_sent", logrus.WarnLevel, "snapshot could not be sent to a peer", "check the peer host and the network between; the leader retries"}
	PeerRefused       = Event{1115, "peer_refused", logrus.WarnLevel, "messages of a peer were refused", "a replica that lost its disk must join under a new ID"}
	MemberChanged     = Event{1116, "member_changed", logrus.InfoLevel, "membership of the cell has changed", "none"}
	MemberNotChanged  = Event{1117, "member_not_changed", logrus.WarnLevel, "membership could not be changed", "none; the leader retries"}
	JoinNotAsked      = Event{1118, "join_not_asked", logrus.WarnLevel, "the request to join the cell failed", "check the seeds and the network between"}
	ReplicaRemoved    = Event{1119, "replica_removed", logrus.WarnLevel, "the cell has removed this replica, which joins again", "none"}
	MemberChangeWaits = Event{1120, "member_change_waits", logrus.InfoLevel, "a silent or new member of the cell stays as it is for now", "reason tells what the change waits for; see \"Members of the cell\" in OPERATIONS.md"}
	// 1121 and 1122 belong to the storage, too.
	StorageRecovered   = Event{1121, "storage_recovered", logrus.InfoLevel, "storage works again, the replica takes part", "none; age_ms is the time since it failed"}
	SnapshotNotWritten = Event{1122, "snapshot_not_written", logrus.WarnLevel, "snapshot could not be written, the log keeps its entries", "check the disk of this host; the replica retries every second"}
)

// Events of the leader's decisions on jobs: 1200 to 1299.
var (
	JobAccepted        = Event{1200, "job_accepted", logrus.InfoLevel, "job is recorded", "none"}
	JobRefused         = Event{1201, "job_refused", logrus.InfoLevel, "request refused", "the reason tells the caller what to correct" + limitedNote}
	JobCancelled       = Event{1202, "job_cancelled", logrus.InfoLevel, "job is cancelled", "none"}
	JobFinished        = Event{1203, "job_finished", logrus.InfoLevel, "job has ended", "reason is its final state, age_ms the time since it was submitted; if a task has used up its attempts, task names it, failures counts its failed runs, max_attempts is the limit and limit_source its source: configuration, removed_queue or default"}
	RunOrdered         = Event{1204, "run_ordered", logrus.InfoLevel, "start of a task is ordered", "age_ms is the age of the leader's information on the executor"}
	RunEnded           = Event{1205, "run_ended", logrus.InfoLevel, "run of a task has ended", "reason is the result, age_ms the time in its last state"}
	RunConcluded       = Event{1209, "run_concluded", logrus.InfoLevel, "run of a task is concluded although no executor listed its end", "reason is the proof, incarnation the one that was ordered, age_ms the time in its last state; see \"A task that started twice\" in OPERATIONS.md"}
	RunPaced           = Event{1206, "run_paced", logrus.DebugLevel, "pace of a best-effort task is set", "none"}
	RunStalled         = Event{1207, "run_stalled", logrus.WarnLevel, "run of a task makes no progress and is stopped", "the task starts elsewhere; check the executor"}
	TaskSuspected      = Event{1208, "task_suspected", logrus.WarnLevel, "executor was lost under a task, which may have crashed it", "reason is the evidence; the task starts apart from others, and its job fails if it goes on"}
	ExecutorJoined     = Event{1210, "executor_joined", logrus.InfoLevel, "executor is recorded", "none"}
	ExecutorLeft       = Event{1211, "executor_left", logrus.InfoLevel, "executor incarnation has ended", "reason tells how the end was detected"}
	ExecutorSilent     = Event{1212, "executor_silent", logrus.WarnLevel, "executor does not answer", "its tasks start elsewhere once their lease has ended"}
	ExecutorAnswers    = Event{1213, "executor_answers", logrus.InfoLevel, "executor answers again", "none"}
	ExecutorDistrusted = Event{1214, "executor_distrusted", logrus.WarnLevel, "executor temporarily gets no new tasks", "reason is the cause, age_ms the duration"}
	AdvisorSilent      = Event{1215, "advisor_silent", logrus.WarnLevel, "placement advisor does not answer in time", "tasks of its queues wait; calls are repeated with a back-off. age_ms is the time waited"}
	JobsConfigured     = Event{1220, "jobs_configured", logrus.InfoLevel, "configuration of queues and pools is in force", "number is its version"}
	UpkeepWaveStarted  = Event{1221, "upkeep_wave_started", logrus.InfoLevel, "upkeep wave is recorded", "none"}
	UpkeepBegan        = Event{1222, "upkeep_began", logrus.InfoLevel, "upkeep of a host has begun", "none"}
	HostMoved          = Event{1223, "host_moved", logrus.InfoLevel, "host moves to another pool", "none"}
	OrderFailed        = Event{1224, "order_failed", logrus.DebugLevel, "order to an executor or the platform had no effect", "the job manager determines the outcome; see the events of the executor"}
	ReportRefused      = Event{1225, "report_refused", logrus.WarnLevel, "report of an executor is refused", "it names no usable executor; check its sender. number counts the refused ones, of which one in 10 s is logged"}
	ConfigRefused      = Event{1226, "config_refused", logrus.InfoLevel, "configuration of queues and pools refused", "the error tells the operator what to correct" + limitedNote}
	ProxyLost          = Event{1227, "helper_lost", logrus.WarnLevel, "proxy replica that makes calls for the leader has failed", "none; other replicas make the calls, and the outcome of its orders is looked up"}
	HostRefused        = Event{1228, "host_refused", logrus.WarnLevel, "row of the platform's listing of hosts is left out", "the others are used; check its writer. number counts the refused ones, of which one in 10 s is logged"}
	HostRemoved        = Event{1229, "host_removed", logrus.InfoLevel, "host is taken for removed from the platform", "none. reason is the proof and age_ms the time since its listing began or its order was sent, last_heard the newest evidence of the host and last_heard_age_ms its age, number a wave that goes on without the host"}
	LeaderFenced       = Event{1230, "leader_fenced", logrus.WarnLevel, "an executor has seen a newer leader", "none; this replica learns that it was replaced"}
	OrderPanicked      = Event{1231, "order_panicked", logrus.ErrorLevel, "order ended in a programming error and counts as unanswered", "report the stack; the process goes on"}
	KeyRefused         = Event{1232, "key_refused", logrus.WarnLevel, "call without a valid API key is refused", "the call has no effect. reason is no_key or unknown_key, queue the queue that was called; number counts the refused ones, of which one in 10 s is logged. If the caller is known, compare its key with the configuration; keys appear in no log"}
	TenantAtLimit      = Event{1240, "tenant_at_limit", logrus.InfoLevel, "work of a tenant waits for its limit", "none, unless the tenant asks; see \"A tenant's jobs wait\" in OPERATIONS.md"}
	TenantBelowLimit   = Event{1241, "tenant_below_limit", logrus.InfoLevel, "limit of a tenant holds back no work any more", "none"}
	JobOverload        = Event{1250, "job_overload", logrus.InfoLevel, "job is refused because it cannot be on time", "none; the caller may submit it again. reason is wait_exceeds_slack, too_much_accepted (the pool has accepted more than it can finish soon) or, for a repeated submission, objective_has_passed, queue its queue, age_ms the estimated wait and retry_after_ms the time in the answer; see \"Jobs that are refused\" in OPERATIONS.md"}
	FormatNotRead      = Event{1233, "format_not_read", logrus.WarnLevel, "configuration is not stored, because some replicas do not read the format that it needs", "reason lists the replicas, number is the format. Bring them back or replace them by this version, and send the configuration again"}
	FormatRaised       = Event{1234, "format_raised", logrus.InfoLevel, "records use a newer format", "number is the format. Replicas of earlier versions that do not read it can no longer take part"}
)

// Events of the entry hosts: 1300 to 1499.
var (
	EndpointJoined    = Event{1300, "endpoint_joined", logrus.InfoLevel, "endpoint announced itself", "none"}
	EndpointLeft      = Event{1301, "endpoint_left", logrus.InfoLevel, "endpoint is leaving or its lease expired", "none"}
	EndpointRefused   = Event{1302, "endpoint_refused", logrus.WarnLevel, "announcement refused", "an old epoch means that the host has moved to another pool"}
	ControlLost       = Event{1303, "control_lost", logrus.WarnLevel, "no control replica can be reached", "check the control replicas; routing continues with the last configuration"}
	RequestMalformed  = Event{1305, "request_malformed", logrus.InfoLevel, "request cannot be read", "the error tells the caller what to correct" + limitedNote}
	RequestUnanswered = Event{1306, "request_unanswered", logrus.WarnLevel, "request got no answer from the leader", "with status 503 it had no effect; check for a change of leader" + limitedNote}
	ControlConnected  = Event{1304, "control_connected", logrus.InfoLevel, "connected to a control replica", "none"}
)

// limitedNote ends the action of the events of a Limited.
const limitedNote = "; after 100 lines at most 5 a second are written, and skipped counts those left out before a line"

// Catalogue lists all events in the order of their IDs.
func Catalogue() []Event {
	return []Event{
		ProcessStarted, ProcessReady, ProcessStopping, ProcessStopped, ProcessFailed, QueueFull, SettingsReloaded, SettingsRefused, LinesDropped, ClientRefused, ServerError,
		LeaderChanged, ChangeAccepted, ChangeRefused, PlatformFailed, WatcherTooSlow, StepProposed,
		PeerUnreachable, LeadershipBegan, LeadershipEnded, DiskSlow, StorageOpened, TornRecordCut, StorageFailed, SnapshotInstalled, SnapshotNotSent, PeerRefused,
		MemberChanged, MemberNotChanged, JoinNotAsked, ReplicaRemoved, MemberChangeWaits, StorageRecovered, SnapshotNotWritten,
		JobAccepted, JobRefused, JobCancelled, JobFinished, RunOrdered, RunEnded, RunPaced, RunStalled, TaskSuspected, RunConcluded,
		ExecutorJoined, ExecutorLeft, ExecutorSilent, ExecutorAnswers, ExecutorDistrusted, AdvisorSilent,
		JobsConfigured, UpkeepWaveStarted, UpkeepBegan, HostMoved,
		OrderFailed, ReportRefused, ConfigRefused, ProxyLost, HostRefused, HostRemoved, LeaderFenced, OrderPanicked, KeyRefused, FormatNotRead, FormatRaised, TenantAtLimit, TenantBelowLimit, JobOverload,
		EndpointJoined, EndpointLeft, EndpointRefused, ControlLost, ControlConnected, RequestMalformed, RequestUnanswered,
	}
}
