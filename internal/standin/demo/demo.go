// Package demo runs a whole deployment as separate processes, sends load, and
// checks the results.
package demo

import (
	"bytes"
	"context"
	"encoding/json"
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
	"tamarackrun/internal/transport/platform"
)

// Ports of the processes.
const (
	platformPort    = 20000
	callerBase      = 20100
	peerBase        = 20200
	controlBase     = 20300
	instanceCount   = 7
	startLimit      = 20 * time.Second
	readyPollDelay  = 50 * time.Millisecond
	demoOperatorKey = "demo-operator-base"
)

// Demo is one run.
type Demo struct {
	// Deployment is the directory with document.ini.
	Deployment string
	// Binaries is the directory with the built programs.
	Binaries string
	// Load is how long load is sent.
	Load time.Duration
	// Hold keeps the deployment running after the load until ctx ends.
	Hold bool
	Out  io.Writer

	directory string
	document  []byte
	snapshot  *configuration.Snapshot
	processes map[string]*fleet.Process
	store     tamarackrun.ObjectStore
	listings  []tamarackrun.Listing
}

// Run starts everything, sends load and stops everything it started.
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
	if err := d.conclude(report); err != nil {
		return err
	}
	if err := d.explain(ctx, report.example); err != nil || !d.Hold {
		return err
	}
	_, _ = fmt.Fprintf(d.Out, "running until interrupted; control port of entry-1: %s, callers' port: %s\n",
		d.listings[0].ControlAddress, d.listings[0].CallerAddress)
	<-ctx.Done()
	return nil
}

func (d *Demo) startAll(ctx context.Context) error {
	if err := d.start("platform", "standin", "platform", "--address", address(platformPort)); err != nil {
		return err
	}
	store, _, err := platform.New("http://" + address(platformPort))
	if err != nil {
		return err
	}
	d.store = store
	for _, v := range d.servers() {
		if err := d.start(v.Name, "standin", "server", "--address", v.Address, "--name", v.Name,
			"--slots", fmt.Sprint(v.Slots)); err != nil {
			return err
		}
	}
	d.listings = d.instanceListings()
	if err := d.await(ctx, "the platform", func() error { return d.publishListings() }); err != nil {
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
		if err := d.await(ctx, l.Name, func() error { return get("http://" + l.ControlAddress + "/readyz") }); err != nil {
			return err
		}
	}
	_, _ = fmt.Fprintf(d.Out, "started %d processes: 1 platform, %d backend servers, %d entry instances\n",
		len(d.processes), len(d.snapshot.Servers), len(d.listings))
	for _, name := range []string{"platform", d.listings[0].Name} {
		_, _ = fmt.Fprintf(d.Out, "  %-12s pid %d\n", name, d.processes[name].PID())
	}
	// Heartbeats need a moment until every instance knows all homes.
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

func (d *Demo) servers() []configuration.Server {
	var servers []configuration.Server
	for _, v := range d.snapshot.Servers {
		servers = append(servers, v)
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
			CallerAddress: address(callerBase + i), PeerAddress: address(peerBase + i), ControlAddress: address(controlBase + i),
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

func (d *Demo) await(ctx context.Context, what string, try func() error) error {
	limit := time.Now().Add(startLimit)
	for {
		err := try()
		if err == nil || ctx.Err() != nil {
			return ctx.Err()
		}
		if time.Now().After(limit) {
			return fmt.Errorf("%s did not start: %w", what, err)
		}
		time.Sleep(readyPollDelay)
	}
}

func get(url string) error {
	response, err := http.Get(url)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", response.StatusCode)
	}
	return nil
}

func (d *Demo) publishListings() error {
	return d.put(address(platformPort), "/switch/instances", d.listings)
}

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
		return fmt.Errorf("status %d", response.StatusCode)
	}
	return nil
}

// conclude reads the records of all backend servers and prints the table.
func (d *Demo) conclude(r *report) error {
	for _, v := range d.servers() {
		response, err := http.Get("http://" + v.Address + "/switch/record")
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
	return r.print(d.Out)
}

// explain shows the story of one request as operators see it.
func (d *Demo) explain(ctx context.Context, id string) error {
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
		p.Signal(syscall.SIGTERM)
	}
	limit := time.Now().Add(15 * time.Second)
	for _, p := range d.processes {
		p.Wait(time.Until(limit))
	}
}
