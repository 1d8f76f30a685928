package lead

import (
	"laburnumdock/internal/core/manager"
	"laburnumdock/internal/logevent"
)

// noteEvents are the log events of the decisions.
var noteEvents = map[manager.EventKind]logevent.Event{
	manager.EventJobAccepted:    logevent.JobAccepted,
	manager.EventRequestRefused:     logevent.JobRefused,
	manager.EventRunOrdered:     logevent.RunOrdered,
	manager.EventRunEnded:       logevent.RunEnded,
	manager.EventJobCancelled:   logevent.JobCancelled,
	manager.EventJobFinished:    logevent.JobFinished,
	manager.EventExecutorJoined:      logevent.ExecutorJoined,
	manager.EventExecutorLeft:        logevent.ExecutorLeft,
	manager.EventExecutorSilent:      logevent.ExecutorSilent,
	manager.EventExecutorAnswers:     logevent.ExecutorAnswers,
	manager.EventExecutorDistrusted:  logevent.ExecutorDistrusted,
	manager.EventConfigured:  logevent.JobsConfigured,
	manager.EventWaveStarted: logevent.UpkeepWaveStarted,
	manager.EventUpkeepBegan:      logevent.UpkeepBegan,
	manager.EventHostMoved:        logevent.HostMoved,
	manager.EventRunPaced:       logevent.RunPaced,
	manager.EventRunStalled:     logevent.RunStalled,
	manager.EventLeaderFenced:     logevent.LeaderFenced,
}

func (l *Leader) log(n manager.Event) {
	fields := logevent.Fields{}
	if n.Job != "" {
		fields["job"] = n.Job
	}
	if n.Task.Job != "" {
		fields["task"] = n.Task.String()
	}
	for name, value := range map[string]string{"executor": n.Executor, "pool": n.Pool, "host": n.Host, "reason": n.Reason} {
		if value != "" {
			fields[name] = value
		}
	}
	if n.Run != 0 {
		fields["number"] = n.Run
	}
	if n.Age != 0 {
		fields["age_ms"] = n.Age.Milliseconds()
	}
	l.cfg.Log.Log(noteEvents[n.Kind], fields)
}
