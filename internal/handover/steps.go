// Package handover is how a courier's folder, clients and calls pass from the process that
// owns them to one that was started beside it, so that one of them owns them at any moment.
//
// Who owns is a kernel lock on the folder (lock.go). The steps are two machines without I/O
// (this file); frames are read and written in frame.go, what is handed over is estate.go, and
// link.go puts them on a Unix socket in the folder.
package handover

// Event is what a side of a handover learns.
type Event int

// The events.
const (
	GotHello  Event = iota // the younger process asks, in this version
	GotOther               // it asks in another version
	Quiet                  // nothing more is decided here, and the estate is whole
	GotEstate              // the estate has come whole
	GotReady               // the younger one holds the estate
	GotDeed                // the lock has come
	GotTaken               // the younger one owns
	Broken                 // the connection ended, a frame could not be read or written, or took too long
)

// Action is what a side does next.
type Action int

// The actions.
const (
	Nothing  Action = iota
	Hush            // the elder: decide nothing more, and gather the estate
	Offer           // send the estate
	Deed            // send the lock, and let go of it
	Leave           // own nothing any more
	Resume          // own and decide on: the lock was never given
	Reclaim         // take the lock back if it is free, else leave
	Refuse          // say that the versions differ, and end in order
	Answer          // the younger: say that the estate is here
	Own             // own from now on, and say so
	Fallback        // forget what has come, and wait for the lock
)

// Elder is the owner's side. Its zero value waits to be asked.
type Elder struct{ at elderAt }

type elderAt int

const (
	asked elderAt = iota
	hushing
	offered
	deeded
	over
)

// On takes an event.
func (e *Elder) On(ev Event) Action {
	at := e.at
	if at == over {
		return Nothing
	}
	e.at = over
	switch {
	case at == asked && ev == GotHello:
		e.at = hushing
		return Hush
	case at == asked && ev == GotOther:
		return Refuse
	case at == hushing && ev == Quiet:
		e.at = offered
		return Offer
	case at == offered && ev == GotReady:
		e.at = deeded
		return Deed
	case at == deeded && ev == GotTaken:
		return Leave
	case at == deeded: // the lock is on its way, and may have arrived
		return Reclaim
	case at == asked:
		return Nothing
	}
	return Resume
}

// Younger is the side of the process that was started beside the owner. Its zero value has
// sent its hello.
type Younger struct{ at youngerAt }

type youngerAt int

const (
	waiting youngerAt = iota
	holding
	owning
	fallen
)

// Owns tells whether this side owns.
func (y *Younger) Owns() bool { return y.at == owning }

// On takes an event.
func (y *Younger) On(ev Event) Action {
	switch {
	case y.at == waiting && ev == GotEstate:
		y.at = holding
		return Answer
	case y.at == holding && ev == GotDeed:
		y.at = owning
		return Own
	case y.at == owning || y.at == fallen:
		return Nothing
	}
	y.at = fallen
	return Fallback
}
