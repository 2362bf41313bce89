// Package tamarackrun holds the interfaces whose implementations vary and the
// plain values that they exchange. Implementations are below internal/.
package tamarackrun

import (
	"context"
	"errors"
	"net/http"
	"time"

	"tamarackrun/internal/protocol/wire"
)

// Clock tells the time since boot. Implementations must include the time
// during which the machine was suspended, so that a lease that lapsed during a
// suspension is seen as lapsed.
type Clock interface {
	Now() time.Duration
}

// Object is one versioned value of the platform's object store.
type Object struct {
	Name string
	// Version is at least 1 and grows with every update of the object.
	Version int64
	Value   []byte
}

// Errors of an ObjectStore. Any other error means that the state of the write
// is unknown; the caller must read the object back.
var (
	// ErrNotFound says that no object has this name.
	ErrNotFound = errors.New("object not found")
	// ErrConflict says that the object's version is not the expected one, so
	// that the write did not take effect.
	ErrConflict = errors.New("object version conflict")
	// ErrUnchanged says that a bounded watch ended without a newer version.
	ErrUnchanged = errors.New("object unchanged")
)

// ObjectStore is the platform's object API.
type ObjectStore interface {
	Get(ctx context.Context, name string) (Object, error)
	// Put writes value if the object has the version expected; 0 creates it.
	Put(ctx context.Context, name string, value []byte, expected int64) (Object, error)
	// Watch returns the object as soon as its version is above after, or
	// ErrUnchanged when the bound of the watch has passed.
	Watch(ctx context.Context, name string, after int64) (Object, error)
	// List returns all objects whose names start with prefix.
	List(ctx context.Context, prefix string) ([]Object, error)
	// Instances returns the platform's list of live and leaving instances,
	// which lags.
	Instances(ctx context.Context) ([]Listing, error)
}

// Listing is one row of the platform's list of instances.
type Listing struct {
	Name          string `json:"name"`
	FailureDomain string `json:"failureDomain"`
	// CallerAddress is empty for backend servers.
	CallerAddress  string `json:"callerAddress,omitempty"`
	PeerAddress    string `json:"peerAddress,omitempty"`
	ControlAddress string `json:"controlAddress,omitempty"`
	// Leaving says that the platform plans to stop the instance.
	Leaving bool `json:"leaving,omitempty"`
}

// Request is one request on its way to a backend server.
type Request struct {
	ID string
	// Attempt is unique for each dispatch of the request.
	Attempt string
	// Organisation is empty on routes that are open to all. It was settled
	// by the entry instance from the caller's key.
	Organisation string
	// KeyHash is the SHA-256 of the caller's key, and KeyVersion the version of
	// the configuration by which it was accepted. A request without
	// Organisation has none.
	KeyHash    [32]byte
	KeyVersion int64
	Route      string
	Service    string
	// Server is the name of the chosen backend server.
	Server string
	// OriginRegion is the region of the instance that accepted the request.
	OriginRegion string
	Method       string
	// Target is the path with the query.
	Target string
	Header http.Header
	// Body is the whole body; it is read before a slot is taken.
	Body []byte
	// Idempotent says that running the request more than once is harmless.
	Idempotent bool
	// Deadline is on the local Clock; other processes get the remaining time.
	Deadline time.Duration
	// Admitted is when the request took its rate token, on the local Clock;
	// other processes get the age. It has no meaning without Organisation.
	Admitted time.Duration
}

// AnswerWriter receives the answer to one request. An implementation of
// Dispatcher calls Head at most once, then Body any number of times, and End
// only after the whole answer was passed on.
type AnswerWriter interface {
	Head(status int, header http.Header) error
	Body(piece []byte) error
	End() error
}

// Dispatcher runs a request. When the outcome is NotRun, the writer was not
// called and the request did not run and never will. When the outcome is
// Unknown, the writer may have received a part of the answer.
type Dispatcher interface {
	Dispatch(ctx context.Context, request Request, answer AnswerWriter) Outcome
}

// Stream is one exchange of messages between two instances.
type Stream interface {
	Send(message *wire.Envelope) error
	Receive() (*wire.Envelope, error)
	Close() error
}

// PeerClient opens exchanges with other instances.
type PeerClient interface {
	Open(ctx context.Context, address string) (Stream, error)
	// Call sends one message and returns the one reply.
	Call(ctx context.Context, address string, message *wire.Envelope) (*wire.Envelope, error)
}

// PeerHandler serves the exchanges that other instances open.
type PeerHandler interface {
	ServePeer(ctx context.Context, first *wire.Envelope, stream Stream)
}

// Recorder takes numbered events and counts reasons.
type Recorder interface {
	// Record stores an event. The fields come in pairs of name and value.
	Record(id EventID, request string, fields ...string)
	// CountOutcome counts an outcome of the stage by its reason.
	CountOutcome(stage string, outcome Outcome)
}

// EventID is the number of an event in docs/events.md.
type EventID int
