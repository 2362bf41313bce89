package pipeline

import "container/list"

// evictionBatch is the part of the bound on connections that is freed at a time, as 1/evictionBatch, so that a new
// connection rarely has to wait for the end of another one.
const evictionBatch = 64

// idleConnections holds the connections without a request in the order in which they have become idle. Its zero
// value is ready for use. It is not safe for concurrent use.
type idleConnections struct {
	order    list.List
	elements map[*connection]*list.Element
}

// add makes the connection the one that has been idle for the shortest time.
func (i *idleConnections) add(c *connection) {
	if i.elements == nil {
		i.elements = map[*connection]*list.Element{}
	}
	if i.elements[c] == nil {
		i.elements[c] = i.order.PushBack(c)
	}
}

func (i *idleConnections) remove(c *connection) {
	if e := i.elements[c]; e != nil {
		i.order.Remove(e)
		delete(i.elements, c)
	}
}

// takeOldest removes and returns up to n connections, those that have been idle the longest first.
func (i *idleConnections) takeOldest(n int) []*connection {
	var oldest []*connection
	for e := i.order.Front(); e != nil && len(oldest) < n; e = i.order.Front() {
		c := e.Value.(*connection)
		oldest = append(oldest, c)
		i.remove(c)
	}
	return oldest
}
