package tamarackrun

// OutcomeKind is what the system knows about whether a request ran.
type OutcomeKind uint8

// Kinds of outcomes. The zero value is not a valid outcome.
const (
	// Ran means that the request ran once and its answer is complete.
	Ran OutcomeKind = iota + 1
	// NotRun means that the request did not run and never will.
	NotRun
	// Unknown means that the request may have run.
	Unknown
)

// String returns the value of the outcome header in answers to callers.
func (k OutcomeKind) String() string {
	switch k {
	case Ran:
		return "ran"
	case NotRun:
		return "notRun"
	case Unknown:
		return "unknown"
	default:
		return "invalid"
	}
}

// Reason is why a request was refused or why its outcome is unknown.
type Reason string

// Reasons of refusals; the request did not run. The home of a backend server is the
// instance that dispatches the requests to it, and the issuer of a ticket is the instance
// that issued it.
//
//   - ServerLimited: the servers that may run the request have named rate limits, and this
//     instance has used its parts of them.
//   - ServerPaused, ServerEjected, ServerCold: most of the servers that may run the request have refused a
//     connection lately, have failed requests, or are cold and have got as many requests as they may.
//   - EndsServers: several servers have ended under the same request.
//   - ServersUnreachable: the instance has lost its links to all servers, and no other instance has
//     taken the request.
//   - DelegateFull, DelegateChanged: the instance that was asked to send the request to a server has
//     too many requests of others, or its process is another one than the sender knows.
//   - SocketsExhausted: this machine had no file descriptor, port or buffer left for a connection to a server.
//   - ServerLeaving, ServerResting: the servers that may run the request have said in their
//     answers that they are leaving, or that they want no requests for some time.
//   - NotHome: the instance that was asked is not the home of the server.
//   - ShiftCapped, LinkCapped: the server, or the link between the regions, has no room
//     for more requests from other regions.
//   - CutOff: the instance may be cut off from the platform, so its configuration may be
//     out of date, and the key may have been withdrawn.
//   - TicketSealed: the issuer stopped before the request ran.
//   - HeldTooLong: the request waited for longer than its rate limit token is valid and
//     got no new token.
//   - AttemptCancelled: the issuer asked for the outcome of the attempt before the attempt
//     started.
const (
	KeyMissing         Reason = "keyMissing"
	KeyUnknown         Reason = "keyUnknown"
	KeyWithdrawn       Reason = "keyWithdrawn"
	KeyInURL           Reason = "keyInUrl"
	KeyInBody          Reason = "keyInBody"
	RouteUnknown       Reason = "routeUnknown"
	RouteForbidden     Reason = "routeForbidden"
	MethodForbidden    Reason = "methodForbidden"
	RateExceeded       Reason = "rateExceeded"
	QueueFull          Reason = "queueFull"
	QueueTimeout       Reason = "queueTimeout"
	DeadlinePassed     Reason = "deadlinePassed"
	NoHealthyServer    Reason = "noHealthyServer"
	ServerBusy         Reason = "serverBusy"
	ServerLimited      Reason = "serverLimited"
	ServerLeaving      Reason = "serverLeaving"
	ServerResting      Reason = "serverResting"
	ServerShed         Reason = "serverShed"
	ServerDraining     Reason = "serverDraining"
	ServerEjected      Reason = "serverEjected"
	ServerPaused       Reason = "serverPaused"
	ServersUnreachable Reason = "serversUnreachable"
	DelegateFull       Reason = "delegateFull"
	DelegateChanged    Reason = "delegateChanged"
	ServerCold         Reason = "serverCold"
	EndsServers        Reason = "endsServers"
	ConnectFailed      Reason = "connectFailed"
	SocketsExhausted   Reason = "socketsExhausted"
	ConnectionsFull    Reason = "connectionsFull"
	HomeUnreachable    Reason = "homeUnreachable"
	NotHome            Reason = "notHome"
	ShiftCapped        Reason = "shiftCapped"
	LinkCapped         Reason = "linkCapped"
	CutOff             Reason = "cutOff"
	NotReady           Reason = "notReady"
	Leaving            Reason = "leaving"
	TicketRequired     Reason = "ticketRequired"
	TicketInvalid      Reason = "ticketInvalid"
	TicketExpired      Reason = "ticketExpired"
	TicketReused       Reason = "ticketReused"
	TicketSealed       Reason = "ticketSealed"
	LedgerFull         Reason = "ledgerFull"
	BodyTooLarge       Reason = "bodyTooLarge"
	BodiesFull         Reason = "bodiesFull"
	BodyTimeout        Reason = "bodyTimeout"
	Malformed          Reason = "malformed"
	HeaderTooLarge     Reason = "headerTooLarge"
	HeldTooLong        Reason = "heldTooLong"
	AttemptCancelled   Reason = "attemptCancelled"
	CallerCancelled    Reason = "callerCancelled"
)

// Reasons of unknown outcomes; the request may have run. DelegateLost means that the instance that was to
// send the request to a server can't be reached. HomeLost and IssuerLost mean that
// the home of the server or the issuer of the ticket can't be reached, and IssuerGone that
// the issuer's process ended and left no record of the ticket. AnswerTooLarge means that the
// server sent more than an answer may have, and AnswersFull that the process has no memory
// left for answers.
const (
	AnswerLost      Reason = "answerLost"
	AnswerTruncated Reason = "answerTruncated"
	AnswerUnproven  Reason = "answerUnproven"
	AnswerTooLarge  Reason = "answerTooLarge"
	AnswersFull     Reason = "answersFull"
	AnswerTimeout   Reason = "answerTimeout"
	AnswerCancelled Reason = "answerCancelled"
	DelegateLost    Reason = "delegateLost"
	HomeLost        Reason = "homeLost"
	IssuerGone      Reason = "issuerGone"
	IssuerLost      Reason = "issuerLost"
	StillRunning    Reason = "stillRunning"
	// InternalError means that the instance failed while it handled the request.
	InternalError Reason = "internalError"
	// RecordDropped means that the time has passed for which the issuer keeps
	// the record of a ticket.
	RecordDropped Reason = "recordDropped"
)

// Outcome is the result of a request as far as the system knows it.
type Outcome struct {
	Kind OutcomeKind
	// Reason is empty if and only if Kind is Ran.
	Reason Reason
}

// Done is the outcome of a request that ran and whose answer is complete.
var Done = Outcome{Kind: Ran}

// Refused returns the outcome of a request that did not run.
func Refused(reason Reason) Outcome { return Outcome{Kind: NotRun, Reason: reason} }

// Uncertain returns the outcome of a request that may have run.
func Uncertain(reason Reason) Outcome { return Outcome{Kind: Unknown, Reason: reason} }

// String returns the outcome for logs.
func (o Outcome) String() string {
	if o.Kind == Ran {
		return o.Kind.String()
	}
	return o.Kind.String() + ": " + string(o.Reason)
}
