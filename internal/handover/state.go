package handover

import "time"

// State is the handover state: what is handed over besides the folder, namely open sockets and
// state that only the owner's memory holds. It owns its descriptors until they are taken out of it.
type State struct {
	Listeners     []Listener
	Clients       []Client
	Calls         []Call             // attempts in flight
	Destinations  []DestinationState // learned state of destinations
	Keys          []Key              // idempotency keys with an attempt that may have run
	KeyPauses     []KeyPause         // pauses of ordering keys
	List          []byte             // the directory's list, encoded as a dircache snapshot
	ListConfirmed bool               // the directory confirmed the list recently
}

// Listener is a listening socket, including the connections in its accept queue.
type Listener struct {
	Kind string
	FD   int
}

// Conn is an open connection with the data for its log line.
type Conn struct {
	FD          int
	Peer        string
	Since       time.Time
	In, Out     int
	Unprocessed []byte // read and not yet processed
}

// Client is a client's connection between two commands or within one.
type Client struct {
	Conn
	Served  bool      // it has sent a valid command
	Changed time.Time // when its last command began or was answered
	Replies []Reply   // outstanding answers, in order
}

// Reply is an outstanding answer: one that is known but must wait for earlier ones, or a request that
// is not answered yet.
type Reply struct {
	Text    []byte
	Request *Request // if nil, Text is the answer
}

// Request is a submitted message that is not accepted yet.
type Request struct {
	ID, IdempotencyKey string
	Key                uint64
	Class, Tenant      string
	Destination        uint32
	Deadline           time.Time
	Resubmitted        bool   // resubmitted by the client
	Forwarded          bool   // forwarded by another courier
	Order              uint64 // order of arrival over all clients
	Body               []byte
}

// Call is an attempt whose request has been sent, with its connection.
type Call struct {
	Conn
	Seq              uint64 // sequence number of its message in the journal
	Endpoint         Endpoint
	Began            time.Time
	Deadline         time.Time     // when it times out
	IdleTime         time.Duration // how long the connection had been idle before the call
	WantsWholeAnswer bool          // the answer must be complete
}

// Endpoint is the endpoint of a call, as listed by the previous owner.
type Endpoint struct {
	Front       int // number of the front that lists it
	Name, Addr  string
	Destination uint32
	Zone, Kind  int
	Weight      float64
}

// DestinationState is the decision module's state of a destination, encoded as a snapshot.
type DestinationState struct {
	Destination uint32
	At          time.Time
	Snapshot    []byte
	Loaded      bool // the destination was loaded
	FromRestart bool // the state stems from before a restart
}

// Key is an idempotency key with an attempt that may have run, under a message's ID.
type Key struct {
	Destination uint32
	Text, ID    string
	At, Until   time.Time
}

// KeyPause is the pause of an ordering key: its next message may not be sent before Until.
type KeyPause struct {
	Key   uint64
	Until time.Time
}

// EachDescriptor calls f with a pointer to every descriptor.
func (e *State) EachDescriptor(f func(fd *int)) {
	for i := range e.Listeners {
		f(&e.Listeners[i].FD)
	}
	for i := range e.Clients {
		f(&e.Clients[i].FD)
	}
	for i := range e.Calls {
		f(&e.Calls[i].FD)
	}
}
