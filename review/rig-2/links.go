package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"strconv"
	"sync"
	"time"
)

// serverPort is the port of all servers. An instance whose links to the servers can be cut sees another port, at which a
// proxy of its own listens.
const serverPort = 8520

// links are the ways of one instance to all servers, through a proxy for each.
type links struct {
	mu          sync.Mutex
	cut         bool
	proxies     []*linkProxy
	connections map[net.Conn]struct{}
}

// linkProxy is the way of one instance to one server.
type linkProxy struct {
	links          *links
	listen, target string
	listener       net.Listener
}

// newLinks opens proxies to the servers at the given port of their addresses.
func (w *world) newLinks(port int) (*links, error) {
	l := &links{connections: map[net.Conn]struct{}{}}
	for _, b := range w.backends {
		p := &linkProxy{links: l, listen: fmt.Sprintf("%s:%d", b.host, port), target: fmt.Sprintf("%s:%d", b.host, serverPort)}
		l.proxies = append(l.proxies, p)
		if err := p.open(); err != nil {
			return nil, err
		}
	}
	return l, nil
}

func (p *linkProxy) open() (err error) {
	p.listener, err = net.Listen("tcp", p.listen)
	if err != nil {
		return err
	}
	go func(listener net.Listener) {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go p.serve(conn)
		}
	}(p.listener)
	return nil
}

// serve passes bytes on in both directions until one end closes or the link is cut.
func (p *linkProxy) serve(near net.Conn) {
	far, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		reset(near)
		return
	}
	l := p.links
	l.mu.Lock()
	cut := l.cut
	l.connections[near], l.connections[far] = struct{}{}, struct{}{}
	l.mu.Unlock()
	if cut {
		reset(near)
		reset(far)
	}
	var group sync.WaitGroup
	for from, to := range map[net.Conn]net.Conn{near: far, far: near} {
		group.Go(func() {
			_, _ = io.Copy(to, from)
			if tcp, ok := to.(*net.TCPConn); ok {
				_ = tcp.CloseWrite()
			}
		})
	}
	group.Wait()
	_, _ = near.Close(), far.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.connections, near)
	delete(l.connections, far)
}

// reset closes a connection with a reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// setCut cuts the links or mends them. While they are cut, connections are reset and new ones refused.
func (l *links) setCut(cut bool) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
	for _, p := range l.proxies {
		if cut {
			_ = p.listener.Close()
		} else if err := p.open(); err != nil {
			return err
		}
	}
	if cut {
		for conn := range l.connections {
			reset(conn)
		}
	}
	return nil
}

// serveStoreFor serves the store to one instance, to which the servers' addresses have the given port. It returns the
// address.
func (w *world) serveStoreFor(storeAddress string, port int) (string, error) {
	listener, err := net.Listen("tcp", w.network+".250:0")
	if err != nil {
		return "", err
	}
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: storeAddress})
	// The instance ends watches of its own accord.
	proxy.ErrorHandler = func(rw http.ResponseWriter, _ *http.Request, _ error) { rw.WriteHeader(http.StatusServiceUnavailable) }
	proxy.ModifyResponse = func(r *http.Response) error {
		content, err := io.ReadAll(r.Body)
		if err != nil {
			return err
		}
		_ = r.Body.Close()
		content = bytes.ReplaceAll(content, []byte(":"+strconv.Itoa(serverPort)+`"`), []byte(":"+strconv.Itoa(port)+`"`))
		r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(content)), int64(len(content))
		r.Header.Set("Content-Length", strconv.Itoa(len(content)))
		return nil
	}
	go func() { _ = (&http.Server{Handler: proxy, ReadHeaderTimeout: time.Minute}).Serve(listener) }()
	return listener.Addr().String(), nil
}
