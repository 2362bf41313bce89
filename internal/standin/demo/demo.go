// Package demo runs a whole deployment as separate processes, sends load, and
// checks the outcomes of orders against the records of the backend servers.
package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sort"
	"syscall"
	"time"

	"tamarackrun"
	"tamarackrun/internal/protocol/document"
	"tamarackrun/internal/protocol/manifest"
	"tamarackrun/internal/standin/fleet"
	"tamarackrun/internal/standin/server"
	"tamarackrun/internal/state/configuration"
	"tamarackrun/internal/transport/objectstore"
)

const (
	platformPort = 20000
	// The instances use consecutive ports from callerBasePort, peerBasePort and
	// controlBasePort on.
	callerBasePort  = 20100
	peerBasePort    = 20200
	controlBasePort = 20300
	instanceCount   = 7
	startTimeout    = 20 * time.Second
	pollInterval    = 50 * time.Millisecond
	demoOperatorKey = "demo-operator-base"
)

// Demo is one run of the demo.
type Demo struct {
	// Deployment is the directory with document.ini.
	Deployment string
	// Binaries is the directory with the built programs.
	Binaries string
	// Load is the duration of the load.
	Load time.Duration
	// Hold keeps the deployment running after the load until ctx ends.
	Hold bool
	// Out receives the report.
	Out io.Writer

	directory string
	document  []byte
	snapshot  *configuration.Snapshot
	processes map[string]*fleet.Process
	store     tamarackrun.ObjectStore
	listings  []tamarackrun.Listing
}

// Run starts the processes, sends load, prints the results and stops the
// processes.
func (d *Demo) Run(ctx context.Context) error {
	file := filepath.Join(d.Deployment, "document.ini")
	text, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	snapshot, problems := document.Parse(file, text)
	if len(problems) > 0 {
		return fmt.Errorf("document has %d problems; the first: %s", len(problems), problems[0])
	}
	d.document, d.snapshot, d.processes = text, snapshot, map[string]*fleet.Process{}
	if d.directory, err = os.MkdirTemp("", "tamarackrun-demo-"); err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(d.directory) }()
	defer d.stopAll()
	if err := d.startAll(ctx); err != nil {
		return err
	}
	report, err := d.sendLoad(ctx)
	if err != nil {
		return err
	}
	if err := d.printReport(report); err != nil {
		return err
	}
	if err := d.printExplanation(ctx, report.example); err != nil || !d.Hold {
		return err
	}
	_, _ = fmt.Fprintf(d.Out, "running until interrupted; control port of entry-1: %s, callers' port: %s\n",
		d.listings[0].ControlAddress, d.listings[0].CallerAddress)
	<-ctx.Done()
	return nil
}

// startAll starts the platform, the backend servers and the instances, and waits
// until the instances are ready.
func (d *Demo) startAll(ctx context.Context) error {
	if err := d.start("platform", "standin", "platform", "--address", address(platformPort)); err != nil {
		return err
	}
	store, _, err := objectstore.New("http://" + address(platformPort))
	if err != nil {
		return err
	}
	d.store = store
	for _, backend := range d.sortedServers() {
		if err := d.start(backend.Name, "standin", "server", "--address", backend.Address, "--name", backend.Name,
			"--slots", fmt.Sprint(backend.Slots)); err != nil {
			return err
		}
	}
	d.listings = d.instanceListings()
	if err := d.waitFor(ctx, "the platform", func() error { return d.publishListings() }); err != nil {
		return err
	}
	if _, err := manifest.Write(ctx, d.store, d.document, "demo", 0); err != nil {
		return err
	}
	for _, l := range d.listings {
		if err := d.startInstance(l); err != nil {
			return err
		}
	}
	for _, l := range d.listings {
		if err := d.waitFor(ctx, l.Name, func() error { return get("http://" + l.ControlAddress + "/readyz") }); err != nil {
			return err
		}
	}
	_, _ = fmt.Fprintf(d.Out, "started %d processes: 1 platform, %d backend servers, %d entry instances\n",
		len(d.processes), len(d.snapshot.Servers), len(d.listings))
	for _, name := range []string{"platform", d.listings[0].Name} {
		_, _ = fmt.Fprintf(d.Out, "  %-12s pid %d\n", name, d.processes[name].PID())
	}
	// It takes some heartbeats until every instance knows the homes of all
	// backend servers.
	time.Sleep(2 * time.Second)
	return nil
}

func (d *Demo) start(name, program string, args ...string) error {
	p, err := fleet.StartProcess(filepath.Join(d.directory, name+".log"), filepath.Join(d.Binaries, program), args...)
	if err != nil {
		return err
	}
	d.processes[name] = p
	return nil
}

func address(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

func (d *Demo) sortedServers() []configuration.Server {
	var servers []configuration.Server
	for _, backend := range d.snapshot.Servers {
		servers = append(servers, backend)
	}
	sort.Slice(servers, func(i, j int) bool { return servers[i].Name < servers[j].Name })
	return servers
}

func (d *Demo) instanceListings() []tamarackrun.Listing {
	var domains []string
	for name := range d.snapshot.Domains {
		domains = append(domains, name)
	}
	sort.Strings(domains)
	var listings []tamarackrun.Listing
	for i := range instanceCount {
		listings = append(listings, tamarackrun.Listing{
			Name: fmt.Sprintf("entry-%d", i+1), FailureDomain: domains[i%len(domains)],
			CallerAddress:  address(callerBasePort + i),
			PeerAddress:    address(peerBasePort + i),
			ControlAddress: address(controlBasePort + i),
		})
	}
	return listings
}

func (d *Demo) startInstance(l tamarackrun.Listing) error {
	file := filepath.Join(d.directory, l.Name+".ini")
	text := fleet.Settings{Listing: l, PeerTLS: fleet.InsecurePeer, Platform: address(platformPort), LogLevel: "warn"}.Text()
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return err
	}
	return d.start(l.Name, "tamarackrun", "serve", "-c", file)
}

// waitFor calls try until it succeeds, but not after startTimeout.
func (d *Demo) waitFor(ctx context.Context, what string, try func() error) error {
	deadline := time.Now().Add(startTimeout)
	for {
		err := try()
		if err == nil || ctx.Err() != nil {
			return ctx.Err()
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("%s did not start: %w", what, err)
		}
		time.Sleep(pollInterval)
	}
}

// get calls a URL and returns an error unless the status is 200.
func get(url string) error {
	response, err := http.Get(url)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("GET %s answered with status %d, want %d", url, response.StatusCode, http.StatusOK)
	}
	return nil
}

// publishListings writes all instances to the platform's list.
func (d *Demo) publishListings() error {
	return d.put(address(platformPort), "/switch/instances", d.listings)
}

// put sends a value as JSON to a path of a stand-in.
func (d *Demo) put(host, path string, value any) error {
	content, err := json.Marshal(value)
	if err != nil {
		return err
	}
	request, err := http.NewRequest(http.MethodPut, "http://"+host+path, bytes.NewReader(content))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("PUT %s answered with status %d, want %d", request.URL, response.StatusCode, http.StatusOK)
	}
	return nil
}

// printReport reads the records of all backend servers and prints the results.
func (d *Demo) printReport(r *report) error {
	for _, backend := range d.sortedServers() {
		response, err := http.Get("http://" + backend.Address + "/switch/record")
		if err != nil {
			return err
		}
		var record server.Record
		err = json.NewDecoder(response.Body).Decode(&record)
		_ = response.Body.Close()
		if err != nil {
			return err
		}
		r.addRecord(record)
	}
	return r.printTable(d.Out)
}

// printExplanation runs the operators' command explain for one request.
func (d *Demo) printExplanation(ctx context.Context, id string) error {
	key := filepath.Join(d.directory, "operator.key")
	if err := os.WriteFile(key, []byte(demoOperatorKey), 0o600); err != nil {
		return err
	}
	_, _ = fmt.Fprintf(d.Out, "tamarackrun explain %s\n", id)
	c := exec.CommandContext(ctx, filepath.Join(d.Binaries, "tamarackrun"), "explain", id,
		"--instance", d.listings[0].ControlAddress, "--operator-key-file", key)
	c.Stdout, c.Stderr = d.Out, d.Out
	return c.Run()
}

func (d *Demo) stopAll() {
	for _, p := range d.processes {
		if err := p.Signal(syscall.SIGTERM); err != nil && !errors.Is(err, os.ErrProcessDone) {
			_, _ = fmt.Fprintln(d.Out, err)
		}
	}
	deadline := time.Now().Add(15 * time.Second)
	for _, p := range d.processes {
		p.Wait(time.Until(deadline))
	}
}
