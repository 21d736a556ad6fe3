package handover

import "time"

// Estate is what is handed over, beside the folder: open sockets, and what only the owner's
// memory holds. Descriptors in it are the estate's until they are taken out of it.
type Estate struct {
	Listeners []Listener
	Clients   []Client
	Calls     []Call
	Known     []Known // of destinations
	Keys      []Key   // idempotency keys that may have run
	Rests     []Rest
	List      []byte // the directory's list in the form it is kept in
	Live      bool   // the directory vouched for it a moment ago
}

// Listener is a listening socket, with the connections that wait in its queue.
type Listener struct {
	Kind string
	FD   int
}

// Conn is an open connection and what its log line tells of it.
type Conn struct {
	FD      int
	Peer    string
	Since   time.Time
	In, Out int
	Bytes   []byte // read, and not made use of
}

// Client is a client's connection between two of its bytes.
type Client struct {
	Conn
	Served  bool      // it has sent a command that makes sense
	Changed time.Time // its last command began, or was answered
	Due     []Due     // what it waits for, in its order
}

// Due is an answer that is known and cannot be sent before others, or a request that has no
// answer yet.
type Due struct {
	Text    []byte
	Request *Request // nil: Text is the answer
}

// Request is a message handed in, and not taken on yet.
type Request struct {
	ID, IdempotencyKey string
	Key                uint64
	Class, Tenant      string
	Destination        uint32
	Deadline           time.Time
	Again              bool
	Forwarded          bool   // by another courier
	Order              uint64 // in which they came, over all clients
	Body               []byte
}

// Call is an attempt whose request has left, on its connection.
type Call struct {
	Conn
	Seq        uint64 // its message's number in the journal
	Endpoint   Endpoint
	Began      time.Time
	Until      time.Time // it is given up then
	Kept       time.Duration
	WholeWants bool // its answer is to come whole
}

// Endpoint is where a call went, as the owner's list had it.
type Endpoint struct {
	Front       int // the number of the front that lists it
	Name, Addr  string
	Destination uint32
	Zone, Kind  int
	Weight      float64
}

// Known is what the module knows of a destination, in the form of a memento.
type Known struct {
	Destination uint32
	At          time.Time
	Text        []byte
	Awake       bool // it was in use
	Restart     bool // it comes from before a restart
}

// Key is an idempotency key that may have run, under a message's id.
type Key struct {
	Destination uint32
	Text, ID    string
	At, Until   time.Time
}

// Rest is a key of messages in order whose next one may not go before a moment.
type Rest struct {
	Key   uint64
	Until time.Time
}

// Each calls f with every descriptor.
func (e *Estate) Each(f func(fd *int)) {
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
