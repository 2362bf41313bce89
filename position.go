package tamarackrun

// Position is a point in the history of the platform's store. It is immutable.
type Position struct {
	// Era counts how often the store has come back from a copy, in which the latest changes are
	// missing. The revisions of an earlier era say nothing about the records of a later one.
	Era int64
	// Revision grows with each change of any record of the platform in an era.
	Revision int64
}

// Before reports whether the position is older than the other one.
func (p Position) Before(other Position) bool {
	return p.Era < other.Era || p.Era == other.Era && p.Revision < other.Revision
}

// Latest returns the latest of the positions.
func Latest(first Position, others ...Position) Position {
	for _, p := range others {
		if first.Before(p) {
			first = p
		}
	}
	return first
}
