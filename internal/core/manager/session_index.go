package manager

import (
	"cmp"
	"slices"

	"laburnumdock/internal/core/jobs"
)

// sessionIndex holds the sessions by number, in the order of their numbers and
// by host. Every step visits all sessions, and every check of a wave or a pool
// looks up those of many hosts, so neither may need a search.
type sessionIndex struct {
	byNumber map[int]*session
	sorted   []*session
	byHost   map[string][]*session
}

func newSessionIndex() sessionIndex {
	return sessionIndex{byNumber: map[int]*session{}, byHost: map[string][]*session{}}
}

func (ix *sessionIndex) get(number int) *session { return ix.byNumber[number] }

func (ix *sessionIndex) find(number int) (int, bool) {
	return slices.BinarySearchFunc(ix.sorted, number, func(s *session, n int) int { return cmp.Compare(s.rec.Number, n) })
}

func (ix *sessionIndex) add(s *session) {
	ix.byNumber[s.rec.Number] = s
	if index, known := ix.find(s.rec.Number); !known {
		ix.sorted = slices.Insert(ix.sorted, index, s)
	}
	ix.byHost[s.rec.Host] = append(ix.byHost[s.rec.Host], s)
}

func (ix *sessionIndex) remove(number int) {
	s := ix.byNumber[number]
	if s == nil {
		return
	}
	delete(ix.byNumber, number)
	if index, known := ix.find(number); known {
		ix.sorted = slices.Delete(ix.sorted, index, index+1)
	}
	ix.removeFromHost(s)
}

// updateRecord replaces the record of a session, whose host may have changed.
func (ix *sessionIndex) updateRecord(s *session, e *jobs.Executor) {
	if s.rec.Host == e.Host {
		s.rec = e
		return
	}
	ix.removeFromHost(s)
	s.rec = e
	ix.byHost[e.Host] = append(ix.byHost[e.Host], s)
}

func (ix *sessionIndex) removeFromHost(s *session) {
	host := s.rec.Host
	ix.byHost[host] = slices.DeleteFunc(ix.byHost[host], func(o *session) bool { return o == s })
	if len(ix.byHost[host]) == 0 {
		delete(ix.byHost, host)
	}
}

// newestOn returns the session of the newest incarnation on a host, or nil.
func (ix *sessionIndex) newestOn(host string) *session {
	var newest *session
	for _, s := range ix.byHost[host] {
		if !s.ended && (newest == nil || s.rec.Number > newest.rec.Number) {
			newest = s
		}
	}
	return newest
}
