// Package tamarackrun holds the interfaces between the packages of the system
// and the plain values that they exchange. Implementations are below internal/
// and in platform/.
package tamarackrun

import (
	"context"
	"errors"
	"net/http"
	"time"

	"tamarackrun/internal/protocol/wire"
)

// Clock returns the time since boot. Implementations must include the time
// during which the host was suspended, so that a lease that expired during a
// suspension counts as expired.
type Clock interface {
	Now() time.Duration
}

// Object is a versioned value of the platform's object store.
type Object struct {
	Name string
	// Version is at least 1 and grows with every update of the object.
	Version int64
	Value   []byte
}

// Errors of an ObjectStore. After any other error of a Put it is unknown whether
// the write took effect, and the object must be read back.
var (
	// ErrNotFound is returned if no object has the name.
	ErrNotFound = errors.New("object not found")
	// ErrConflict is returned if the object does not have the expected version.
	// The write did not take effect.
	ErrConflict = errors.New("object version conflict")
	// ErrUnchanged is returned if a watch timed out without a newer version.
	ErrUnchanged = errors.New("object unchanged")
)

// ObjectStore is the platform's object API.
type ObjectStore interface {
	// Get returns the object, or ErrNotFound.
	Get(ctx context.Context, name string) (Object, error)
	// Put writes value if the object has the expected version. With 0, Put
	// creates the object.
	Put(ctx context.Context, name string, value []byte, expected int64) (Object, error)
	// Watch returns the object as soon as its version is above after, or
	// ErrUnchanged after the watch's time limit.
	Watch(ctx context.Context, name string, after int64) (Object, error)
	// List returns all objects whose names start with prefix.
	List(ctx context.Context, prefix string) ([]Object, error)
	// Instances returns the platform's list of live and leaving instances. The
	// list may be out of date.
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
	// Leaving reports whether the platform plans to stop the instance.
	Leaving bool `json:"leaving,omitempty"`
}

// Request is a request that is sent to a backend server.
type Request struct {
	ID string
	// Attempt is unique for each dispatch of the request.
	Attempt string
	// Organisation is empty on open routes, which need no key. The entry
	// instance sets it from the caller's key.
	Organisation string
	// KeyHash is the SHA-256 of the caller's key, and KeyVersion the version of
	// the configuration that the key was checked with. Both are zero if
	// Organisation is empty.
	KeyHash    [32]byte
	KeyVersion int64
	Route      string
	Service    string
	// Server is the name of the chosen backend server.
	Server string
	// OriginRegion is the region of the instance that accepted the request.
	OriginRegion string
	Method       string
	// Target is the path and the query.
	Target string
	Header http.Header
	// Body is the whole body. It is read before the request takes a slot of a
	// backend server.
	Body []byte
	// Idempotent reports whether the request may run more than once.
	Idempotent bool
	// Deadline is a time of the local Clock. Other processes get the remaining
	// time instead.
	Deadline time.Duration
	// Admitted is when the request took its rate limit token, as a time of the
	// local Clock. Other processes get the age of the token instead. It is
	// meaningless if Organisation is empty.
	Admitted time.Duration
}

// AnswerWriter receives the answer to one request. A Dispatcher calls Head at
// most once, then Body any number of times, and End only after the whole answer
// was passed on.
type AnswerWriter interface {
	Head(status int, header http.Header) error
	Body(piece []byte) error
	End() error
}

// Dispatcher sends a request to a backend server. If the outcome is NotRun, the
// writer was not called, and the request did not run and never will. If the
// outcome is Unknown, the writer may have received a part of the answer.
type Dispatcher interface {
	Dispatch(ctx context.Context, request Request, answer AnswerWriter) Outcome
}

// Stream carries the messages of one exchange between two instances.
type Stream interface {
	Send(message *wire.Envelope) error
	Receive() (*wire.Envelope, error)
	Close() error
}

// PeerClient opens streams to other instances.
type PeerClient interface {
	Open(ctx context.Context, address string) (Stream, error)
	// Call sends one message and returns the reply.
	Call(ctx context.Context, address string, message *wire.Envelope) (*wire.Envelope, error)
}

// PeerHandler serves the streams that other instances open. first is the first
// message of the stream.
type PeerHandler interface {
	ServePeer(ctx context.Context, first *wire.Envelope, stream Stream)
}

// Recorder stores events and counts outcomes.
type Recorder interface {
	// Record stores an event of a request; request is the request's id, and
	// empty if the event concerns none. The fields are pairs of key and value.
	Record(id EventID, request string, fields ...string)
	// CountOutcome counts an outcome of a stage of request handling by its
	// reason.
	CountOutcome(stage string, outcome Outcome)
}

// EventID is the number of an event in docs/events.md.
type EventID int
