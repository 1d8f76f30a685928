package jobs

import "slices"

// Dump holds the records as plain values, for the stored form of a snapshot.
type Dump struct {
	Config       *Config    `cbor:"1,keyasint,omitempty"`
	Jobs         []Job      `cbor:"2,keyasint,omitempty"`
	Executors    []Executor `cbor:"3,keyasint,omitempty"`
	Waves        []Wave     `cbor:"4,keyasint,omitempty"`
	LastSeq      uint64     `cbor:"5,keyasint,omitempty"`
	LastExecutor int        `cbor:"6,keyasint,omitempty"`
	// HostOrders holds the newest order for each host with recent orders.
	HostOrders []HostOrder `cbor:"7,keyasint,omitempty"`
	// Format is the format in use, or 0 for the first one.
	Format int `cbor:"8,keyasint,omitempty"`
}

// Dump returns a copy of the records that later commands do not change.
func (s *State) Dump() *Dump {
	d := &Dump{Config: s.config, LastSeq: s.lastSeq, LastExecutor: s.lastExecutor, HostOrders: s.HostOrders(), Format: s.format}
	for _, j := range s.Jobs() {
		d.Jobs = append(d.Jobs, j.clone())
	}
	for _, e := range s.Executors() {
		d.Executors = append(d.Executors, *e)
	}
	for _, w := range s.Waves() {
		c := *w
		c.Begun, c.Removed = slices.Clone(w.Begun), slices.Clone(w.Removed)
		d.Waves = append(d.Waves, c)
	}
	return d
}

// clone copies everything that commands change; specs are immutable and shared.
func (j *Job) clone() Job {
	c := *j
	c.Steps = slices.Clone(j.Steps)
	for occ, steps := range c.Steps {
		c.Steps[occ] = slices.Clone(steps)
		for i, step := range steps {
			tasks := slices.Clone(step.Tasks)
			for t := range tasks {
				tasks[t].Runs = slices.Clone(tasks[t].Runs)
			}
			c.Steps[occ][i].Tasks = tasks
		}
	}
	return c
}

// Restore returns the records held in d and takes ownership of its values.
func Restore(d *Dump) *State {
	s := New()
	if d == nil {
		return s
	}
	s.config, s.lastSeq, s.lastExecutor, s.format = d.Config, d.LastSeq, d.LastExecutor, d.Format
	for _, o := range d.HostOrders {
		s.hostOrders[o.Host] = o
	}
	for i := range d.Jobs {
		s.jobs[d.Jobs[i].ID] = &d.Jobs[i]
	}
	for i := range d.Executors {
		e := &d.Executors[i]
		s.executors[e.Number] = e
		if current := s.executors[s.newestByID[e.ID]]; current == nil || current.Number < e.Number {
			s.newestByID[e.ID] = e.Number
		}
	}
	for i := range d.Waves {
		s.waves[d.Waves[i].ID] = &d.Waves[i]
	}
	return s
}
