package exchange

// Dropped describes bytes of a server that are the answer to no request under way on their connection.
type Dropped struct {
	Kind DropKind
	// Address is the address of the server.
	Address string
	// Request is the id of the request under way; empty if there is none.
	Request string
	// AnswerID is the id in the answer, Status its status, and NotRun what it says of its request. They
	// are set if the answer was read.
	AnswerID string
	Status   int
	NotRun   bool
	Use
}

// DropKind says why bytes of a server are no answer to a request.
type DropKind string

// Kinds of dropped bytes.
const (
	// OtherID is an answer with the id of another request.
	OtherID DropKind = "otherId"
	// NoID is an answer without an id on a connection that has carried other requests.
	NoID DropKind = "noId"
	// Idle stands for bytes that came while no request was under way.
	Idle DropKind = "idle"
	// Surplus stands for bytes that came together with the end of an answer.
	Surplus DropKind = "surplus"
)

// reportDrop reports bytes that are dropped.
func (c *connection) reportDrop(d Dropped) {
	if c.onDrop == nil {
		return
	}
	d.Address, d.Use = c.address, c.use()
	c.onDrop(d)
}
