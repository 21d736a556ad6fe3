package handover

import "time"

// Estate is the handover state: what is handed over besides the folder, namely open sockets and
// state that only the owner's memory holds. It owns its descriptors until they are taken out of it.
type Estate struct {
	Listeners []Listener
	Clients   []Client
	Calls     []Call  // attempts in flight
	Known     []Known // learned state of destinations
	Keys      []Key   // idempotency keys with an attempt that may have run
	Rests     []Rest  // pauses of ordering keys
	List      []byte  // the directory's list, encoded as a dircache snapshot
	Live      bool    // the directory confirmed the list recently
}

// Listener is a listening socket, including the connections in its accept queue.
type Listener struct {
	Kind string
	FD   int
}

// Conn is an open connection with the data for its log line.
type Conn struct {
	FD      int
	Peer    string
	Since   time.Time
	In, Out int
	Bytes   []byte // read and not yet processed
}

// Client is a client's connection between two commands or within one.
type Client struct {
	Conn
	Served  bool      // it has sent a valid command
	Changed time.Time // when its last command began or was answered
	Due     []Due     // outstanding answers, in order
}

// Due is an outstanding answer: one that is known but must wait for earlier ones, or a request that
// is not answered yet.
type Due struct {
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
	Again              bool   // resubmitted by the client
	Forwarded          bool   // forwarded by another courier
	Order              uint64 // order of arrival over all clients
	Body               []byte
}

// Call is an attempt whose request has been sent, with its connection.
type Call struct {
	Conn
	Seq        uint64 // sequence number of its message in the journal
	Endpoint   Endpoint
	Began      time.Time
	Until      time.Time     // when it times out
	Kept       time.Duration // how long the connection had been idle before the call
	WholeWants bool          // the answer must be complete
}

// Endpoint is the endpoint of a call, as listed by the previous owner.
type Endpoint struct {
	Front       int // number of the front that lists it
	Name, Addr  string
	Destination uint32
	Zone, Kind  int
	Weight      float64
}

// Known is the decision module's state of a destination, encoded as a snapshot.
type Known struct {
	Destination uint32
	At          time.Time
	Text        []byte
	Awake       bool // the destination was loaded
	Restart     bool // the state stems from before a restart
}

// Key is an idempotency key with an attempt that may have run, under a message's ID.
type Key struct {
	Destination uint32
	Text, ID    string
	At, Until   time.Time
}

// Rest is the pause of an ordering key: its next message may not be sent before Until.
type Rest struct {
	Key   uint64
	Until time.Time
}

// EachDescriptor calls f with a pointer to every descriptor.
func (e *Estate) EachDescriptor(f func(fd *int)) {
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
