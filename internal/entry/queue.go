package entry

import (
	"laburnumdock/internal/core/fault"
)

// message is one thing for the control loop to do. Each type is declared next
// to the goroutines that send it.
type message interface {
	// handle runs on the control loop and must not block.
	handle(l *loop)
}

// queue is the one bounded queue of the control loop.
//
// A message that may be refused is offered: if the queue is full, its sender
// is told so. A message that would leak a slot or a record if it was lost is
// posted: its sender waits for room. The loop never waits for a sender, so the
// wait is over after at most the messages ahead of it, and Go serves waiting
// senders before new ones find room. Each request has at most one waiting
// sender per attempt, one for its record and one for its caller, and the
// requests are bounded by Config.MaxRequests; so is what waits.
type queue struct {
	messages chan message
	// closed ends when the loop no longer reads.
	closed chan struct{}
}

func newQueue(length int) queue {
	return queue{messages: make(chan message, length), closed: make(chan struct{})}
}

// offer hands over a message that may be refused.
func (q queue) offer(m message) *fault.Error {
	select {
	case <-q.closed:
		return fault.New(fault.Stopping, "the entry host has stopped")
	default:
	}
	select {
	case q.messages <- m:
		return nil
	default:
		return fault.New(fault.Overloaded, "%d events wait already", cap(q.messages))
	}
}

// post hands over a message that must not be lost. It is dropped only if the
// loop has ended, and its state with it.
func (q queue) post(m message) {
	select {
	case q.messages <- m:
	case <-q.closed:
	}
}
