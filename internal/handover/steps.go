// Package handover passes a courier's folder, clients and calls from the process that owns them to
// one that was started beside it, so that exactly one of them owns them at any time.
//
// Ownership is a kernel lock on the folder (lock.go). The protocol's two state machines do no I/O
// (this file). frame.go encodes and decodes frames, state.go defines the handover state, and
// link.go transports frames over a Unix socket in the folder.
package handover

// Event is an input to one side's state machine.
type Event int

// The events.
const (
	GotHello        Event = iota // the successor asks, in this protocol version
	GotOtherVersion              // the successor asks in another protocol version
	Quiesced                     // decisions have stopped and the state is complete
	GotState                     // the state was received completely
	GotReady                     // the successor has received the state
	GotLock                      // the lock was received
	GotOwned                     // the successor owns the folder
	Broken                       // the connection ended, a frame could not be read or written, or a step timed out
)

// Action is what a side does next.
type Action int

// The actions.
const (
	Nothing       Action = iota
	Quiesce              // predecessor: stop deciding and collect the state
	SendState            // send the state
	SendLock             // send the lock and close this copy
	Exit                 // end without owning anything
	Resume               // keep owning and resume deciding: the lock was not sent
	Reclaim              // take the lock back if it is free, else end
	Refuse               // report the version mismatch and shut down
	ConfirmState         // successor: confirm that the state was received
	TakeOwnership        // own the folder from now on and confirm it
	Fallback             // discard what was received and wait for the lock
)

// Predecessor is the current owner's state machine. Its zero value waits for a request.
type Predecessor struct{ phase predecessorPhase }

type predecessorPhase int

const (
	predecessorIdle predecessorPhase = iota
	predecessorQuiescing
	predecessorStateSent
	predecessorLockSent
	predecessorDone
)

// On processes an event and returns the next action.
func (p *Predecessor) On(ev Event) Action {
	phase := p.phase
	if phase == predecessorDone {
		return Nothing
	}
	p.phase = predecessorDone
	switch {
	case phase == predecessorIdle && ev == GotHello:
		p.phase = predecessorQuiescing
		return Quiesce
	case phase == predecessorIdle && ev == GotOtherVersion:
		return Refuse
	case phase == predecessorQuiescing && ev == Quiesced:
		p.phase = predecessorStateSent
		return SendState
	case phase == predecessorStateSent && ev == GotReady:
		p.phase = predecessorLockSent
		return SendLock
	case phase == predecessorLockSent && ev == GotOwned:
		return Exit
	case phase == predecessorLockSent: // the lock is in transit and may have arrived
		return Reclaim
	case phase == predecessorIdle:
		return Nothing
	}
	return Resume
}

// Successor is the state machine of the process that was started beside the owner. In its zero
// value it has sent its hello.
type Successor struct{ phase successorPhase }

type successorPhase int

const (
	successorWaiting successorPhase = iota
	successorHoldingState
	successorOwner
	successorFailed
)

// IsOwner reports whether this side owns the folder.
func (s *Successor) IsOwner() bool { return s.phase == successorOwner }

// On processes an event and returns the next action.
func (s *Successor) On(ev Event) Action {
	switch {
	case s.phase == successorWaiting && ev == GotState:
		s.phase = successorHoldingState
		return ConfirmState
	case s.phase == successorHoldingState && ev == GotLock:
		s.phase = successorOwner
		return TakeOwnership
	case s.phase == successorOwner || s.phase == successorFailed:
		return Nothing
	}
	s.phase = successorFailed
	return Fallback
}
