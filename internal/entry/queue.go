package entry

import (
	"laburnumdock/internal/core/fault"
)

// message is a unit of work for the control loop. Each type is declared next to the
// goroutines that send it.
type message interface {
	// handle runs on the control loop's goroutine and must not block.
	handle(l *loop)
}

// queue is the bounded message queue of the control loop.
//
// A message that may be refused is offered: the sender gets an error if the queue is
// full. A message whose loss would leak a slot or a record is posted: the sender blocks
// until there is room. The loop never waits for a sender, so a blocked sender waits at
// most for the messages ahead of it, and Go serves blocked senders before new ones.
// Each request has at most one blocked sender per attempt, one for its record and one
// for its caller, and Config.MaxRequests bounds the requests, so the number of blocked
// senders is bounded too.
type queue struct {
	messages chan message
	// closed is closed when the loop has ended.
	closed chan struct{}
}

func newQueue(length int) queue {
	return queue{messages: make(chan message, length), closed: make(chan struct{})}
}

// offer enqueues a message, or returns an error if the queue is full or the loop has
// ended.
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
		return fault.New(fault.Overloaded, "queue of the control loop is full with %d messages", cap(q.messages))
	}
}

// post enqueues a message that must not be lost. It blocks while the queue is full, and
// drops the message only if the loop, and its state with it, has ended.
func (q queue) post(m message) {
	select {
	case q.messages <- m:
	case <-q.closed:
	}
}
