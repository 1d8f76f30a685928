package lead

import (
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"golang.org/x/time/rate"

	"laburnumdock/internal/core/manager"
	"laburnumdock/internal/logevent"
)

// logEvents maps the manager's events to log events.
var logEvents = map[manager.EventKind]logevent.Event{
	manager.EventJobAccepted:        logevent.JobAccepted,
	manager.EventRunOrdered:         logevent.RunOrdered,
	manager.EventRunConcluded:       logevent.RunConcluded,
	manager.EventRunEnded:           logevent.RunEnded,
	manager.EventJobCancelled:       logevent.JobCancelled,
	manager.EventJobFinished:        logevent.JobFinished,
	manager.EventExecutorJoined:     logevent.ExecutorJoined,
	manager.EventExecutorLeft:       logevent.ExecutorLeft,
	manager.EventExecutorSilent:     logevent.ExecutorSilent,
	manager.EventExecutorAnswers:    logevent.ExecutorAnswers,
	manager.EventExecutorDistrusted: logevent.ExecutorDistrusted,
	manager.EventConfigured:         logevent.JobsConfigured,
	manager.EventWaveStarted:        logevent.UpkeepWaveStarted,
	manager.EventUpkeepBegan:        logevent.UpkeepBegan,
	manager.EventHostMoved:          logevent.HostMoved,
	manager.EventHostRemoved:        logevent.HostRemoved,
	manager.EventRunPaced:           logevent.RunPaced,
	manager.EventRunStalled:         logevent.RunStalled,
	manager.EventTaskSuspected:      logevent.TaskSuspected,
	manager.EventAdvisorSilent:      logevent.AdvisorSilent,
	manager.EventLeaderFenced:       logevent.LeaderFenced,
	manager.EventKeyRefused:         logevent.KeyRefused,
	manager.EventTenantAtLimit:      logevent.TenantAtLimit,
	manager.EventTenantBelowLimit:   logevent.TenantBelowLimit,
	manager.EventJobOverload:        logevent.JobOverload,
	manager.EventFormatNotRead:      logevent.FormatNotRead,
	manager.EventFormatRaised:       logevent.FormatRaised,
}

func (l *Leader) log(e manager.Event) {
	fields := logevent.Fields{}
	if e.Job != "" {
		fields["job"] = e.Job
	}
	if e.Task.Job != "" {
		fields["task"] = e.Task.String()
	}
	for name, value := range map[string]string{
		"executor": e.Executor, "pool": e.Pool, "host": e.Host, "queue": e.Queue, "reason": e.Reason, "last_heard": e.LastHeard, "tenant": e.Tenant,
	} {
		if value != "" {
			fields[name] = value
		}
	}
	if e.Run != 0 {
		fields["number"] = e.Run
	}
	if e.Incarnation != 0 {
		fields["incarnation"] = e.Incarnation
	}
	if e.Age != 0 {
		fields["age_ms"] = e.Age.Milliseconds()
	}
	if e.RetryAfter != 0 {
		fields["retry_after_ms"] = e.RetryAfter.Milliseconds()
	}
	if e.Limit != 0 {
		fields["failures"], fields["max_attempts"], fields["limit_source"] = e.Failures, e.Limit, e.LimitSource
	}
	if e.LastHeard != "" {
		fields["last_heard_age_ms"] = e.LastHeardAge.Milliseconds()
	}
	switch e.Kind {
	case manager.EventKeyRefused:
		l.refusedKeys.log(l.cfg.Log, fields)
	case manager.EventRequestRefused:
		l.refusedJobs.Log(fields)
	default:
		l.cfg.Log.Log(logEvents[e.Kind], fields)
	}
}

// keyLogInterval is the least time between two log lines about refused keys. Callers may
// send such calls at any rate.
const keyLogInterval = 10 * time.Second

// refusedKeys counts the calls without a valid API key and logs some of them. The control
// loop owns it.
type refusedKeys struct {
	count  metrics.Counter
	logged rate.Sometimes
}

func newRefusedKeys(registry metrics.Registry) *refusedKeys {
	if registry == nil {
		registry = metrics.NewRegistry()
	}
	return &refusedKeys{count: metrics.GetOrRegisterCounter("keys_refused_total", registry), logged: rate.Sometimes{Interval: keyLogInterval}}
}

// log counts a call and logs it, unless another one was logged shortly before.
func (r *refusedKeys) log(log *logevent.Logger, fields logevent.Fields) {
	r.count.Inc(1)
	r.logged.Do(func() {
		fields["number"] = r.count.Count()
		log.Log(logevent.KeyRefused, fields)
	})
}
