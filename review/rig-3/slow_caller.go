package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"

	"tamarackrun/platform/standin"
)

const (
	// slowAnswer is the length of the answers and slowRate what a client reads in a second, in bytes, as over a link of 10 Mbit/s.
	slowAnswer, slowRate = 200 << 10, 1250 << 10
	// slowPause is the time between two requests of a client, of which slowPending at most are unanswered.
	slowPause   = 150 * time.Millisecond
	slowPending = 3
	slowCallers = 12
	slowTimeout = 4 * time.Second
)

// slowReader reads at slowRate. Its socket has a small window.
type slowReader struct{ net.Conn }

func (s slowReader) Read(p []byte) (int, error) {
	const piece = 8 << 10
	n, err := s.Conn.Read(p[:min(len(p), piece)])
	time.Sleep(time.Duration(n) * time.Second / slowRate)
	return n, err
}

// slowRequest is what became of one request. run is when an upstream had run it.
type slowRequest struct {
	run      time.Time
	answered bool
}

// slowCaller checks LOST around a SIGTERM with clients that pipeline requests and read answers slowly.
func slowCaller(binary, record string, trouble bool) (bool, error) {
	d, err := newDeployment(binary, record, nil)
	if err != nil {
		return false, err
	}
	defer d.close()
	d.configure("safe", slowTimeout)
	var mu sync.Mutex
	requests := map[string]*slowRequest{}
	for i := range 4 {
		v, err := d.addServer(i+1, "stamps", []string{"a1", "b1"}[i%2])
		if err != nil {
			return false, err
		}
		v.SetBehaviour(func(w http.ResponseWriter, r *http.Request) bool {
			id := r.Header.Get("X-Request-Id")
			v.Execute(r)
			time.Sleep(100 * time.Millisecond)
			mu.Lock()
			requests[id].run = time.Now()
			mu.Unlock()
			w.Header().Set("X-Response-Signature", standin.Signature(v.ID(), id))
			w.Header().Set("Content-Length", strconv.Itoa(slowAnswer))
			_, _ = w.Write(bytes.Repeat([]byte("y"), slowAnswer))
			return true
		})
	}
	for _, zone := range []string{"a1", "b1"} {
		if err := d.addFront(zone, d.address); err != nil {
			return false, err
		}
	}
	if err := d.awaitReady(); err != nil {
		return false, err
	}
	var group sync.WaitGroup
	end := time.Now().Add(9 * time.Second)
	for i := range slowCallers {
		group.Go(func() {
			time.Sleep(time.Duration(i) * slowPause / slowCallers)
			dialer := net.Dialer{Timeout: time.Second, Control: func(_, _ string, c syscall.RawConn) error {
				return c.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 16<<10) })
			}}
			conn, err := dialer.Dial("tcp", d.fronts[0].ip+":8389")
			if err != nil {
				return
			}
			defer func() { _ = conn.Close() }()
			pending, ended := make(chan string, slowPending-1), make(chan struct{})
			go func() {
				defer close(pending)
				for n := 0; time.Now().Before(end); n++ {
					id := fmt.Sprintf("c%d-%d", i, n)
					mu.Lock()
					requests[id] = &slowRequest{}
					mu.Unlock()
					select {
					case pending <- id:
					case <-ended:
						return
					}
					call := standin.Call{ID: id, Method: http.MethodGet, Target: "/order/1", Timeout: slowTimeout}
					if call.Write(conn) != nil {
						return
					}
					select {
					case <-time.After(slowPause):
					case <-ended:
						return
					}
				}
			}()
			defer close(ended)
			reader := bufio.NewReader(slowReader{conn})
			for id := range pending {
				response, err := http.ReadResponse(reader, &http.Request{Method: http.MethodGet})
				var n int64
				if err == nil {
					n, err = io.Copy(io.Discard, response.Body)
					_ = response.Body.Close()
				}
				mu.Lock()
				if err != nil {
					d.logf("client %d: the answer to %s ends after %d bytes: %v", i, id, n, err)
					mu.Unlock()
					return
				}
				d.logf("client %d: gets %d and %d bytes for %s, closes: %v", i, response.StatusCode, n, id, response.Close)
				requests[id].answered = true
				mu.Unlock()
				if response.Close {
					return
				}
			}
		})
	}
	time.Sleep(4 * time.Second)
	if trouble {
		d.terminate(d.fronts[0])
	}
	group.Wait()
	lost := 0
	for id, r := range requests {
		if !r.run.IsZero() && !r.answered {
			d.logf("%s was run at %.3f s and its client got no complete answer", id, r.run.Sub(d.began).Seconds())
			lost++
		}
	}
	d.logf("%d of %d requests were lost", lost, len(requests))
	return lost == 0, nil
}
