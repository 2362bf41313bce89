// Package fleet runs entry instances as processes for tests and measurements. The
// platform and the backend servers are stand-ins in the calling process.
package fleet

import (
	"context"
	"crypto/sha256"
	"crypto/tls"
	"encoding/hex"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sort"
	"strings"
	"syscall"
	"time"

	"tamarackrun"
	"tamarackrun/internal/coordination/lookup"
	"tamarackrun/internal/protocol/manifest"
	"tamarackrun/internal/standin/caller"
	"tamarackrun/internal/standin/platform"
	"tamarackrun/internal/standin/server"
	"tamarackrun/internal/transport/objectstore"
)

// The instances use consecutive ports from callerPort, peerPort and controlPort on,
// the backend servers from serverPort on.
const (
	platformPort   = 7000
	callerPort     = 7100
	peerPort       = 7200
	controlPort    = 7300
	serverPort     = 7500
	startTimeout   = 20 * time.Second
	pollInterval   = 20 * time.Millisecond
	requestTimeout = 20 * time.Second
)

// OperatorKey is the operator key of team base in a fleet's document.
const OperatorKey = "fleet-operator-base"

// CallerKey returns the key of an organisation in a fleet's document.
func CallerKey(organisation string) string { return "fleet-key-" + organisation }

// Service describes the backend servers of one service and its route.
type Service struct {
	Name    string
	Servers int
	Slots   int
	// Route holds the keys of the route's section, without path and service,
	// such as "methods = GET\nidempotent = yes". The path is /NAME.
	Route string
}

// Options describe a fleet.
type Options struct {
	// Directory holds the settings, logs and certificates.
	Directory string
	// Binary is the file of the built program tamarackrun.
	Binary    string
	Instances int
	// Regions holds the number of failure domains of each region r1, r2, ...
	// Instances and servers are assigned to the domains in turn.
	Regions       []int
	Services      []Service
	Organisations map[string]Rate
	// ExtraDocument is appended to the document.
	ExtraDocument string
	// Links passes the connections between instances and from instances to the
	// platform through proxies that a test can cut.
	Links bool
	// WithoutDocument leaves the platform without a document and does not wait for the
	// instances, which are not ready without one.
	WithoutDocument bool
	// LogLevel is the log level of the instances; empty means info.
	LogLevel string
	// BootstrapKey authenticates operators' commands while no document that defines
	// a team is in force; empty forbids them until then.
	BootstrapKey string
	// TLS secures the connections between instances with generated certificates.
	TLS bool
	// CallerTLS secures the callers' ports with certificates of CallerAuthority.
	CallerTLS bool
}

// Rate is an organisation's rate in requests per second and its burst in requests.
type Rate struct{ Rate, Burst float64 }

// Instance is one entry instance.
type Instance struct {
	*Process
	Listing      tamarackrun.Listing
	settingsFile string
}

// Fleet is a running fleet.
type Fleet struct {
	Options   Options
	Platform  *platform.Server
	Servers   map[string]*server.Server
	Instances []*Instance
	// Document is the document that was applied at the start.
	Document string
	Store    tamarackrun.ObjectStore

	// Authority signs the instances' certificates; nil without TLS.
	Authority *Authority

	// CallerAuthority signs the certificates of the callers' ports; nil without
	// CallerTLS.
	CallerAuthority *Authority

	// ip is a random loopback address, so that fleets of parallel tests do not
	// use the same ports.
	ip       string
	cleanups []func()
	links    map[linkEnds]*Link
}

// Build compiles the program into the directory and returns its file.
func Build(directory string) (string, error) {
	file := filepath.Join(directory, "tamarackrun")
	output, err := exec.Command("go", "build", "-o", file, "tamarackrun/cmd/tamarackrun").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("build failed: %w: %s", err, output)
	}
	return file, nil
}

// Start starts a fleet and waits until all instances are ready and know one
// another. The clean-up function stops everything.
func Start(ctx context.Context, o Options) (*Fleet, func(), error) {
	f := &Fleet{Options: o, links: map[linkEnds]*Link{}, Servers: map[string]*server.Server{},
		ip: fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(250), rand.IntN(250), 1+rand.IntN(250))}
	if err := f.start(ctx); err != nil {
		f.stop()
		return nil, nil, err
	}
	return f, f.stop, nil
}

func (f *Fleet) stop() {
	for _, i := range f.Instances {
		i.Kill()
	}
	for i := len(f.cleanups) - 1; i >= 0; i-- {
		f.cleanups[i]()
	}
}

func (f *Fleet) start(ctx context.Context) error {
	f.Platform = platform.New()
	if err := f.serve(f.PlatformAddress(), f.Platform); err != nil {
		return err
	}
	store, cleanup, err := objectstore.New("http://" + f.PlatformAddress())
	if err != nil {
		return err
	}
	f.Store = store
	f.cleanups = append(f.cleanups, cleanup)
	if err := f.startServers(); err != nil {
		return err
	}
	if !f.Options.WithoutDocument {
		if _, err := manifest.Write(ctx, f.Store, []byte(f.Document), "fleet", 0); err != nil {
			return err
		}
	}
	if f.Options.TLS {
		if f.Authority, err = NewAuthority(f.Options.Directory); err != nil {
			return err
		}
	}
	if f.Options.CallerTLS {
		directory := filepath.Join(f.Options.Directory, "callers")
		if err := os.Mkdir(directory, 0o700); err != nil {
			return err
		}
		if f.CallerAuthority, err = NewAuthority(directory); err != nil {
			return err
		}
	}
	domains := f.domains()
	for n := range f.Options.Instances {
		f.Instances = append(f.Instances, &Instance{Listing: tamarackrun.Listing{
			Name: fmt.Sprintf("entry-%d", n+1), FailureDomain: domains[n%len(domains)],
			CallerAddress: f.address(callerPort + n), PeerAddress: f.address(peerPort + n),
			ControlAddress: f.address(controlPort + n)}})
	}
	if f.Options.Links {
		if err := f.openLinks(); err != nil {
			return err
		}
	}
	f.PublishInstances()
	for _, i := range f.Instances {
		if err := f.StartInstance(i); err != nil {
			return err
		}
	}
	if f.Options.WithoutDocument {
		return nil
	}
	return f.AwaitReady(ctx)
}

// PublishInstances writes all instances to the platform's list.
func (f *Fleet) PublishInstances() {
	var list []tamarackrun.Listing
	for _, i := range f.Instances {
		list = append(list, i.Listing)
	}
	f.Platform.SetInstances(list)
}

// serve serves HTTP at the address until the fleet is stopped.
func (f *Fleet) serve(address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: requestTimeout}
	go func() { _ = server.Serve(listener) }()
	f.cleanups = append(f.cleanups, func() { _ = server.Close() })
	return nil
}

func (f *Fleet) address(port int) string { return fmt.Sprintf("%s:%d", f.ip, port) }

// PlatformAddress returns the address at which the platform stand-in listens.
func (f *Fleet) PlatformAddress() string { return f.address(platformPort) }

// domains returns the failure domains in the order in which instances and servers
// are assigned to them: the first domain of each region, then the second of each,
// and so on. The names allow for at most 9 regions.
func (f *Fleet) domains() []string {
	var domains []string
	for r, n := range f.Options.Regions {
		for d := range n {
			domains = append(domains, fmt.Sprintf("r%d-%c", r+1, 'a'+d))
		}
	}
	sort.SliceStable(domains, func(i, j int) bool { return domains[i][3:] < domains[j][3:] })
	return domains
}

func hashKey(key string) string {
	h := sha256.Sum256([]byte(key))
	return hex.EncodeToString(h[:])
}

// startServers starts the backend servers and composes the fleet's document.
func (f *Fleet) startServers() error {
	var b strings.Builder
	fmt.Fprintf(&b, "[base/team/base]\noperatorKeyHash = %s\n[base/fleet/fleet]\nstoreRegion = r1\nlookupLifetime = 1s\n", hashKey(OperatorKey))
	domains := f.domains()
	for r := range f.Options.Regions {
		fmt.Fprintf(&b, "[base/region/r%d]\n", r+1)
	}
	for _, d := range domains {
		fmt.Fprintf(&b, "[base/domain/%s]\nregion = %s\n[base/site/%s]\ndomain = %s\n", d, d[:2], d, d)
	}
	for name, r := range f.Options.Organisations {
		fmt.Fprintf(&b, "[base/organisation/%s]\nrate = %g\nburst = %g\n[base/key/%s]\norganisation = %s\nhash = %s\n",
			name, r.Rate, r.Burst, name, name, hashKey(CallerKey(name)))
	}
	port := serverPort
	for _, service := range f.Options.Services {
		fmt.Fprintf(&b, "[base/service/%s]\nslots = %d\n[base/route/%s]\npath = /%s\nservice = %s\n%s\n",
			service.Name, service.Slots, service.Name, service.Name, service.Name, service.Route)
		for n := range service.Servers {
			name := fmt.Sprintf("%s-%02d", service.Name, n+1)
			f.Servers[name] = server.New(name, service.Slots)
			if err := f.serve(f.address(port), f.Servers[name]); err != nil {
				return err
			}
			fmt.Fprintf(&b, "[base/server/%s]\nservice = %s\ndomain = %s\naddress = %s\n",
				name, service.Name, domains[n%len(domains)], f.address(port))
			port++
		}
	}
	f.Document = b.String() + f.Options.ExtraDocument
	return nil
}

// StartInstance starts or restarts one instance and does not wait until it is
// ready.
func (f *Fleet) StartInstance(i *Instance) error {
	l := i.Listing
	i.settingsFile = filepath.Join(f.Options.Directory, l.Name+".ini")
	controlLines, level := "", "info"
	if f.Options.BootstrapKey != "" {
		controlLines = "bootstrapKeyHash = " + hashKey(f.Options.BootstrapKey) + "\n"
	}
	if f.Options.LogLevel != "" {
		level = f.Options.LogLevel
	}
	peerTLS, err := f.peerTLSSettings(l.Name)
	if err != nil {
		return err
	}
	callerLines := ""
	if f.CallerAuthority != nil {
		if err := f.CallerAuthority.Issue(l.Name); err != nil {
			return err
		}
		certificate, key := f.CallerAuthority.files(l.Name)
		callerLines = "certificateFile = " + certificate + "\nkeyFile = " + key + "\n"
	}
	text := Settings{
		Listing: l, CallerLines: callerLines, PeerTLS: peerTLS, ControlLines: controlLines,
		Platform: f.platformAddressFor(i), LogLevel: level,
	}.Text()
	if err := os.WriteFile(i.settingsFile, []byte(text), 0o600); err != nil {
		return err
	}
	p, err := StartProcess(filepath.Join(f.Options.Directory, l.Name+".log"), f.Options.Binary, "serve", "-c", i.settingsFile)
	i.Process = p
	return err
}

// peerTLSSettings returns the TLS settings of section peer. A certificate that is
// in place already is kept, so that a test can supply its own.
func (f *Fleet) peerTLSSettings(name string) (string, error) {
	if f.Authority == nil {
		return InsecurePeer, nil
	}
	certificate, key := f.Authority.files(name)
	if _, err := os.Stat(certificate); err != nil {
		if err := f.Authority.Issue(name); err != nil {
			return "", err
		}
	}
	return fmt.Sprintf("authorityFile = %s\ncertificateFile = %s\nkeyFile = %s", f.Authority.File, certificate, key), nil
}

// AwaitReady waits until the look-up answer of every instance names all instances,
// or as many as an answer can name.
func (f *Fleet) AwaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, i := range f.Instances {
		for {
			c := f.Caller("")
			answer, err := c.Lookup(ctx, i.Listing.CallerAddress)
			if err == nil && len(answer.Instances) == min(len(f.Instances), lookup.MaxInstances) {
				break
			}
			if ctx.Err() != nil {
				log, _ := os.ReadFile(i.LogFile)
				return fmt.Errorf("%s is not ready: %d instances in its look-up, want %d: %w: %s", i.Listing.Name,
					len(answer.Instances), min(len(f.Instances), lookup.MaxInstances), errors.Join(err, ctx.Err()), log)
			}
			time.Sleep(pollInterval)
		}
	}
	return nil
}

// Caller returns a caller of an organisation.
func (f *Fleet) Caller(organisation string) *caller.Caller {
	var seeds []string
	for _, i := range f.Instances {
		seeds = append(seeds, i.Listing.CallerAddress)
	}
	c := &caller.Caller{Seeds: seeds, Client: &http.Client{Timeout: requestTimeout, Transport: f.transport()}}
	if organisation != "" {
		c.Key = CallerKey(organisation)
	}
	return c
}

// transport returns an HTTP/1.1 transport that uses TLS if the callers' ports do.
func (f *Fleet) transport() *http.Transport {
	if f.CallerAuthority == nil {
		return &http.Transport{}
	}
	return &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		for _, i := range f.Instances {
			if i.Listing.CallerAddress == address {
				d := tls.Dialer{Config: f.CallerAuthority.ClientConfig(i.Listing.Name)}
				return d.DialContext(ctx, network, address)
			}
		}
		return nil, errors.New("no instance listens at " + address)
	}}
}

// Terminate asks an instance to stop gracefully. It returns an error if the
// instance's process has ended.
func (i *Instance) Terminate() error { return i.Signal(syscall.SIGTERM) }

// Executions returns how many times the backend servers ran a request with the
// body.
func (f *Fleet) Executions(body string) int {
	n := 0
	for _, s := range f.Servers {
		for _, e := range s.Record().Executions {
			if e.Body == body {
				n++
			}
		}
	}
	return n
}
