package caller

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// Guards against callers that announce bodies, send them slowly and together take more
// memory than the limit, and against memory that is not released afterwards.
func TestTotalBodyMemoryIsBounded(t *testing.T) {
	f := &fakeSteerer{steer: wholeAnswer}
	s := startServer(t, f)
	head := fmt.Sprintf("POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n", MaxBody)
	var slow []net.Conn
	for range maxBodyMemory / MaxBody {
		conn, err := net.Dial("tcp", s.listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		_, _ = io.WriteString(conn, head)
		slow = append(slow, conn)
	}
	awaitUsed := func(want int64) {
		for began := time.Now(); s.bodyBudget.used.Load() != want; time.Sleep(time.Millisecond) {
			if time.Since(began) > 30*time.Second {
				t.Fatalf("%d bytes are in use, want %d", s.bodyBudget.used.Load(), want)
			}
		}
	}
	awaitUsed(maxBodyMemory)
	one := "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\nb"
	chunked := "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nb\r\n0\r\n\r\n"
	for _, raw := range []string{one, chunked} {
		if diff := cmp.Diff("503 notRun: bodiesFull", exchange(t, s, raw)); diff != "" {
			t.Errorf("at the memory limit (-want +got):\n%s", diff)
		}
	}
	order := strings.Replace(one, "Host", TicketHeader+": t\r\nHost", 1)
	if diff := cmp.Diff("502 unknown: bodiesFull", exchange(t, s, order)); diff != "" {
		t.Errorf("a request with a ticket, which may have run before (-want +got):\n%s", diff)
	}
	if got := exchange(t, s, "GET /a HTTP/1.1\r\nHost: x\r\n\r\n"); !strings.HasPrefix(got, "200") {
		t.Errorf("a request without a body: %s", got)
	}
	for _, conn := range slow {
		_ = conn.Close()
	}
	awaitUsed(0)
	if got := exchange(t, s, chunked); !strings.HasPrefix(got, "200") {
		t.Errorf("after the others ended: %s", got)
	}
}
