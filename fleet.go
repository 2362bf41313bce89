package tamarackrun

import (
	"context"
	"errors"
	"net/http"
	"time"

	"tamarackrun/internal/state/configuration"
)

// Collection is a kind of record that the platform keeps for the fleet.
type Collection uint8

// Collections of records.
const (
	Configurations Collection = iota
	Servers
	Evacuations
	Instances
)

// String returns the name of the collection for logs.
func (c Collection) String() string {
	return [...]string{"configurations", "servers", "evacuations", "instances"}[c]
}

// ServerRecord is what a backend server says of itself.
type ServerRecord struct {
	// Address is IP:PORT. It may be used again by a server of another service
	// after this one has ended.
	Address       string
	Service       string
	FailureDomain string
	Slots         int
	// Draining servers take no new requests.
	Draining bool
	// ColdFor is how long the server stays cold after the record was written.
	ColdFor time.Duration
	// StartMillis is the time at which the server's process started, in milliseconds
	// of the server's clock. A record with another value is of another
	// process, even under the same name.
	StartMillis int64
}

// InstanceRecord is what an instance says of itself.
type InstanceRecord struct {
	FailureDomain string
	Region        string
	// CallerAddress and ReportAddress are IP:PORT.
	CallerAddress string
	ReportAddress string
}

// Record is one record of a collection. At most one of the pointers is set: the
// one of its collection, and none if the record was removed, holds only its
// name, or can't be used.
type Record struct {
	Name string
	// Revision grows with each change of any record of the platform.
	Revision int64
	Removed  bool
	// Problem says why the record can't be used; empty if it can.
	Problem       string
	Configuration *configuration.Snapshot
	Server        *ServerRecord
	Instance      *InstanceRecord
}

// Page is a set of records.
type Page struct {
	Records []Record
	// Full says that Records are all of the collection and not only what
	// changed.
	Full bool
	// Revision is the platform's revision to which the page is complete.
	Revision int64
}

// ErrHistoryGone says that the changes since a revision are not known any more,
// so that the collection must be read again.
var ErrHistoryGone = errors.New("the platform's history does not reach back to the revision")

// Identity is who an instance is and where it listens.
type Identity struct {
	Name          string
	FailureDomain string
	Region        string
	// Regions gives the region of each failure domain.
	Regions map[string]string
	// The addresses are IP:PORT.
	CallerAddress, ReadyAddress, LookupAddress, ReportAddress, MetricsAddress string
}

// RecordStore is the platform's store of the fleet's records.
type RecordStore interface {
	// Read returns all records of a collection.
	Read(ctx context.Context, collection Collection) (Page, error)
	// Watch returns the changes after a revision as soon as there are some,
	// or an empty page after about the time wait.
	Watch(ctx context.Context, collection Collection, after int64, wait time.Duration) (Page, error)
	// Announce writes the record of an instance.
	Announce(ctx context.Context, name string, instance InstanceRecord) error
	// Withdraw removes the record of an instance. One that is missing is no
	// error.
	Withdraw(ctx context.Context, name string) error
}

// CallerFields are what a request's header says to the system.
type CallerFields struct {
	ID string
	// Timeout is how long the caller waits; 0 if it does not say.
	Timeout time.Duration
	// Key is empty if the request shows none.
	Key string
	// Object names the object that the request concerns; may be empty.
	Object string
}

// ForwardFields are what the system says to a backend server.
type ForwardFields struct {
	// Organisation is empty on open routes.
	Organisation string
	// Server is the name of the only server that may run the request.
	Server string
	// Remaining is how long the answer is waited for.
	Remaining time.Duration
}

// Load is what a backend server reports of itself.
type Load struct{ Running, Waiting, Slots int }

// AnswerFields are what a backend server's answer says to the system.
type AnswerFields struct {
	// ID is the id of the request that the answer belongs to; may be empty.
	ID string
	// Signed says that the server vouches for the answer.
	Signed bool
	// NotRun says that the server did not run the request and never will.
	NotRun bool
	// Misdirected says that another server has the address.
	Misdirected bool
	// Load is nil if the server reports none.
	Load *Load
}

// HeaderCodec is how callers and backend servers spell what concerns the system in
// the headers of requests and answers.
type HeaderCodec interface {
	DecodeRequest(header http.Header) CallerFields
	// RewriteRequest replaces all fields for the system by those for the server.
	RewriteRequest(header http.Header, fields ForwardFields)
	DecodeAnswer(status int, header http.Header) AnswerFields
	// EncodeOutcome returns the answer to a request that has none of a backend
	// server. After is when a request that did not run may come back.
	EncodeOutcome(outcome Outcome, after time.Duration) (status int, header http.Header)
}

// Directory answers those who ask where callers may connect.
type Directory interface {
	// Lookup returns the callers' addresses, IP:PORT, for a caller of the
	// region and how long the caller may use them.
	Lookup(region string) (addresses []string, lifetime time.Duration)
	// Ready says whether the instance takes callers.
	Ready() bool
}
