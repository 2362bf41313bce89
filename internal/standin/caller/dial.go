package caller

import (
	"errors"
	"net"
)

// dialFailed reports whether no connection was established, so that the request
// did not reach the instance.
func dialFailed(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
