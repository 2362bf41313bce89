package command

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"tamarackrun/internal/protocol/manifest"
	"tamarackrun/internal/standin/fleet"
	"tamarackrun/internal/standin/platform"
)

var binary string

func TestMain(m *testing.M) { os.Exit(run(m)) }

func run(m *testing.M) int {
	directory, err := os.MkdirTemp("", "tamarackrun-test-")
	if err == nil {
		defer func() { _ = os.RemoveAll(directory) }()
		binary, err = fleet.Build(directory)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}

const (
	tinKey       = "fleet-operator-tin"
	bootstrapKey = "fleet-bootstrap"
	awaitLimit   = 30 * time.Second
)

func hashOf(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

var tinSections = "; of tin\n[tin/team/tin]\noperatorKeyHash = " + hashOf(tinKey) + "\n[tin/organisation/can]\nrate = 10\nburst = 10\n"

// commandRunner runs commands against a fleet.
type commandRunner struct {
	t     *testing.T
	fleet *fleet.Fleet
}

// startFleet starts two instances in two regions with a document to which extra is
// appended.
func startFleet(t *testing.T, extra string) *commandRunner { return startFleetWith(t, extra, false) }

// startFleetWith is startFleet, optionally without a document in the platform.
func startFleetWith(t *testing.T, extra string, withoutDocument bool) *commandRunner {
	t.Helper()
	t.Parallel()
	f, cleanup, err := fleet.Start(t.Context(), fleet.Options{
		Directory: t.TempDir(), Binary: binary, Instances: 2, Regions: []int{1, 1},
		ExtraDocument: extra, LogLevel: "debug", WithoutDocument: withoutDocument, BootstrapKey: bootstrapKey,
		Services:      []fleet.Service{{Name: "browse", Servers: 2, Slots: 3, Route: "methods = GET\nidempotent = yes"}},
		Organisations: map[string]fleet.Rate{"tea": {Rate: 1000, Burst: 1000}},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cleanup)
	return &commandRunner{t, f}
}

// writeFile writes the text to a new file and returns its name.
func (c *commandRunner) writeFile(text string) string {
	c.t.Helper()
	f, err := os.CreateTemp(c.t.TempDir(), "*.ini")
	if err == nil {
		_, err = f.WriteString(text)
		_ = f.Close()
	}
	if err != nil {
		c.t.Fatal(err)
	}
	return f.Name()
}

// commandResult holds the exit code and the output of a command.
type commandResult struct {
	Code     int
	Out, Err string
}

// run runs a command with an operator key against an instance of the fleet.
func (c *commandRunner) run(key string, instance int, args ...string) commandResult {
	c.t.Helper()
	args = append(args, "--operator-key-file", c.writeFile(key), "--instance", c.fleet.Instances[instance].Listing.ControlAddress)
	var out, errOut bytes.Buffer
	code := Run(args, &out, &errOut)
	if strings.Contains(out.String()+errOut.String(), key) {
		c.t.Errorf("%v prints the operator key", args)
	}
	return commandResult{code, out.String(), errOut.String()}
}

// expect runs a command and fails the test unless it ends with the code.
func (c *commandRunner) expect(code int, key string, instance int, args ...string) commandResult {
	c.t.Helper()
	r := c.run(key, instance, args...)
	if r.Code != code {
		c.t.Fatalf("%v ended with %d, want %d:\n%s%s", args, r.Code, code, r.Out, r.Err)
	}
	return r
}

// storedDocument returns the document in the store and its version.
func (c *commandRunner) storedDocument() (int64, string) {
	c.t.Helper()
	version, text, err := manifest.Read(c.t.Context(), c.fleet.Store)
	if err != nil {
		c.t.Fatal(err)
	}
	return version, string(text)
}

func (c *commandRunner) checkStored(version int64, text string) {
	c.t.Helper()
	gotVersion, got := c.storedDocument()
	if diff := cmp.Diff(version, gotVersion); diff != "" {
		c.t.Errorf("version (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(text, got); diff != "" {
		c.t.Errorf("document (-want +got):\n%s", diff)
	}
}

// Guards against an apply that reverts the change of another team or is refused
// because of it, in either order and through different instances.
func TestOperatorsRace(t *testing.T) {
	c := startFleet(t, tinSections)
	document := c.fleet.Document
	byBase := strings.Replace(document, "rate = 1000", "rate = 900", 1)
	byTin := strings.Replace(document, "rate = 10\n", "rate = 20\n", 1)
	both := strings.Replace(byBase, "rate = 10\n", "rate = 20\n", 1)
	c.expect(exitDone, fleet.OperatorKey, 0, "apply", c.writeFile(byBase), "--base", "1")
	c.expect(exitDone, tinKey, 1, "apply", c.writeFile(byTin), "--base", "1")
	c.checkStored(3, both)
	c.expect(exitDone, fleet.OperatorKey, 0, "apply", c.writeFile(strings.Replace(both, "rate = 900", "rate = 1000", 1)))
	c.expect(exitDone, tinKey, 0, "apply", c.writeFile(document), "--base", "4")
	c.checkStored(5, document)
	c.expect(exitDone, tinKey, 1, "apply", c.writeFile(byTin), "--base", "1")
	c.expect(exitDone, fleet.OperatorKey, 0, "apply", c.writeFile(byBase), "--base", "1")
	c.checkStored(7, both)

	r := c.expect(exitConflict, fleet.OperatorKey, 1, "apply",
		c.writeFile(strings.Replace(document, "rate = 1000", "rate = 800", 1)), "--base", "1")
	for _, want := range []string{"conflict in [base/organisation/tea]", "--- base\n", "--- in force\n", "--- edited\n",
		"rate = 1000", "rate = 900", "rate = 800"} {
		if !strings.Contains(r.Out, want) {
			t.Errorf("the conflict does not show %q:\n%s", want, r.Out)
		}
	}
	r = c.expect(exitInvalid, tinKey, 1, "apply", c.writeFile(strings.Replace(both, "rate = 900", "rate = 1", 1)))
	if !strings.Contains(r.Out, "[base/organisation/tea]: differs from the base version; only team base may change it (team tin applies)") {
		t.Errorf("another team's section: %s", r.Out)
	}
	c.expect(exitInvalid, bootstrapKey, 0, "apply", c.writeFile(byBase))
	c.expect(exitInvalid, "wrong", 0, "apply", c.writeFile(byBase))
	c.expect(exitInvalid, fleet.OperatorKey, 0, "apply", c.writeFile(byBase), "--base", "latest")
	c.checkStored(7, both)
}

// Guards against two concurrent applies of which one is lost.
func TestOperatorsRaceAtOnce(t *testing.T) {
	c := startFleet(t, tinSections)
	document := c.fleet.Document
	files := map[string]string{
		fleet.OperatorKey: c.writeFile(strings.Replace(document, "rate = 1000", "rate = 900", 1)),
		tinKey:            c.writeFile(strings.Replace(document, "rate = 10\n", "rate = 20\n", 1)),
	}
	results, n := make(chan commandResult), 0
	for key, file := range files {
		instance := n % 2
		n++
		go func() { results <- c.run(key, instance, "apply", file, "--base", "1") }()
	}
	for range files {
		if r := <-results; r.Code != exitDone {
			t.Errorf("a concurrent apply failed: %+v", r)
		}
	}
	c.checkStored(3, strings.NewReplacer("rate = 1000", "rate = 900", "rate = 10\n", "rate = 20\n").Replace(document))
}

// Guards against a reported failure of a write that took effect while its
// response was lost, and against a change that is applied twice.
func TestLostWriteAnswers(t *testing.T) {
	c := startFleet(t, "")
	for n := 1; n <= 4; n++ {
		text := strings.Replace(c.fleet.Document, "rate = 1000", fmt.Sprintf("rate = %d", 1000+n), 1)
		c.fleet.Platform.SetFaults(platform.Faults{LoseAnswers: n})
		c.expect(exitDone, fleet.OperatorKey, 0, "apply", c.writeFile(text))
		c.fleet.Platform.SetFaults(platform.Faults{})
		c.checkStored(int64(n)+1, text)
	}
	r := c.expect(exitDone, fleet.OperatorKey, 0, "apply", c.writeFile(strings.Replace(c.fleet.Document, "rate = 1000", "rate = 1004", 1)))
	if !strings.Contains(r.Err, "nothing to change; version 5 is in force") {
		t.Errorf("the same apply again: %+v, want a message that version 5 is in force", r)
	}
	c.fleet.Platform.SetFaults(platform.Faults{Outage: true})
	c.expect(exitFailed, fleet.OperatorKey, 0, "apply", c.writeFile(c.fleet.Document))
	r = c.expect(exitDone, fleet.OperatorKey, 0, "get")
	if !strings.Contains(r.Err, "version 5") || !strings.Contains(r.Out, "rate = 1004") {
		t.Errorf("get during an outage: %+v, want version 5 with rate = 1004", r)
	}
}

// Guards against an invalid document that changes the stored one.
func TestFaultyDocumentsChangeNothing(t *testing.T) {
	c := startFleet(t, "")
	document := c.fleet.Document
	for name, text := range map[string]string{
		"empty":              "",
		"not INI":            "hello",
		"key twice":          strings.Replace(document, "rate = 1000", "rate = 1000\nrate = 1", 1),
		"section twice":      document + "[base/region/r1]\n",
		"unknown kind":       document + "[base/zone/z]\n",
		"unknown key":        document + "[base/region/r9]\ncolour = red\n",
		"wrong type":         strings.Replace(document, "rate = 1000", "rate = fast", 1),
		"out of range":       strings.Replace(document, "slots = 3", "slots = 0", 1),
		"dangling reference": document + "[base/domain/z]\nregion = gone\n",
		"no team":            document + "[other/region/z]\n",
		"too many slots":     strings.Replace(document, "slots = 3", "slots = 300\nconnections = 2", 1),
		"own team removed":   strings.TrimPrefix(document, "[base/team/base]\noperatorKeyHash = "+hashOf(fleet.OperatorKey)+"\n"),
	} {
		file := c.writeFile(text)
		r := c.run(fleet.OperatorKey, 0, "apply", file)
		if r.Code != exitInvalid || !strings.Contains(r.Err, "nothing changed") ||
			!strings.Contains(r.Out, filepath.Base(file)+":") && !strings.Contains(r.Out, "document in force:") {
			t.Errorf("%s: %+v, want an invalid document and the place of the problem", name, r)
		}
	}
	c.checkStored(1, document)
}

// Guards against a first document that cannot be applied, and against a
// bootstrap key that can replace a document which defines a team.
func TestBootstrap(t *testing.T) {
	c := startFleetWith(t, "", true)
	teamless := strings.TrimPrefix(c.fleet.Document, "[base/team/base]\noperatorKeyHash = "+hashOf(fleet.OperatorKey)+"\n")
	for began := time.Now(); c.run(bootstrapKey, 0, "get").Code != exitDone; time.Sleep(20 * time.Millisecond) {
		if time.Since(began) > awaitLimit {
			t.Fatal("the bootstrap key is not accepted without a document")
		}
	}
	c.expect(exitInvalid, fleet.OperatorKey, 0, "apply", c.writeFile(teamless))
	c.expect(exitDone, bootstrapKey, 0, "apply", c.writeFile("\ufeff"+teamless))
	c.checkStored(1, "\ufeff"+teamless)
	c.expect(exitDone, bootstrapKey, 0, "apply", c.writeFile(teamless))
	if err := c.fleet.AwaitReady(t.Context()); err != nil {
		t.Error(err)
	}
	c.expect(exitDone, bootstrapKey, 0, "apply", c.writeFile(strings.Replace(teamless, "rate = 1000", "rate = 5", 1)))
	c.expect(exitDone, bootstrapKey, 0, "apply", c.writeFile(c.fleet.Document))
	c.checkStored(3, "\ufeff"+c.fleet.Document)
	c.expect(exitInvalid, bootstrapKey, 0, "apply", c.writeFile(teamless))
	c.checkStored(3, "\ufeff"+c.fleet.Document)
}

// Guards against a caller's key that is refused after a successful key create,
// that works after key withdraw, or that is stored or logged in clear text.
func TestKeyCommands(t *testing.T) {
	c := startFleet(t, "")
	created := c.expect(exitDone, fleet.OperatorKey, 0, "key", "create", "tea", "--name", "tea-2")
	key := strings.TrimSpace(created.Out)
	caller := c.fleet.Caller("")
	caller.Key = key
	awaitReason := func(want string) {
		t.Helper()
		for _, i := range c.fleet.Instances {
			for began := time.Now(); ; time.Sleep(20 * time.Millisecond) {
				got := caller.SendTo(t.Context(), i.Listing.CallerAddress, "GET", "/browse/a", nil, nil)
				if got.Outcome+got.Reason == want {
					break
				}
				if time.Since(began) > awaitLimit {
					t.Fatalf("%s: %+v, want %s", i.Listing.Name, got, want)
				}
			}
		}
	}
	awaitReason("ran")
	c.expect(exitInvalid, fleet.OperatorKey, 0, "key", "create", "gone")
	c.expect(exitInvalid, fleet.OperatorKey, 0, "key", "withdraw", "gone")
	c.expect(exitDone, fleet.OperatorKey, 1, "key", "withdraw", "tea-2")
	awaitReason("notRunkeyWithdrawn")
	if _, text := c.storedDocument(); strings.Contains(text, key) {
		t.Error("the document holds the key")
	}
	for _, i := range c.fleet.Instances {
		log, err := os.ReadFile(i.LogFile)
		if err != nil || bytes.Contains(log, []byte(key)) || bytes.Contains(log, []byte(fleet.OperatorKey)) {
			t.Errorf("log of %s holds a key, error %v", i.Listing.Name, err)
		}
	}
}

// Guards against status, explain, get, diff and drain commands that end with a wrong exit
// code or print unreadable output, and against a region that can be declared lost while
// its instance runs, or cannot be after the instance was killed.
func TestOutputAndExitCodes(t *testing.T) {
	c := startFleet(t, tinSections)
	r := c.fleet.Caller("tea").Send(t.Context(), "GET", "/browse/a", nil, nil)
	for _, test := range []struct {
		args []string
		code int
		want string
	}{
		{[]string{"status"}, exitDone, "entry-2   r2-a    serving  1"},
		{[]string{"status", "--output", "json"}, exitDone, `"freshness":"fresh"`},
		{[]string{"status", "--output", "xml"}, exitInvalid, ""},
		{[]string{"explain", r.ID}, exitDone, "requestFinished"},
		{[]string{"explain", r.ID, "--output", "json"}, exitDone, `"request":"` + r.ID + `"`},
		{[]string{"explain"}, exitInvalid, ""},
		{[]string{"get", "--team", "tin"}, exitDone, tinSections},
		{[]string{"get"}, exitDone, c.fleet.Document},
		{[]string{"diff", c.writeFile(strings.Replace(c.fleet.Document, "rate = 10\n", "rate = 20\n", 1))}, exitDone,
			"[tin/organisation/can]\n  [tin/organisation/can]\n- rate = 10\n+ rate = 20\n  burst = 10\n"},
		{[]string{"drain", "gone"}, exitInvalid, ""},
		{[]string{"drain"}, exitInvalid, ""},
		{[]string{"drain", "browse-01"}, exitDone, "ok\n"},
		{[]string{"drain", "browse-01", "--undo"}, exitDone, "ok\n"},
		{[]string{"drain", "domain/r1-a"}, exitDone, "ok\n"},
		{[]string{"drain", "domain/r1-a", "--undo"}, exitDone, "ok\n"},
		{[]string{"drain", "region/r1-a"}, exitInvalid, ""},
		{[]string{"drain", "--lost", "r2"}, exitInvalid, ""},
		{[]string{"drain", "--lost", "region/r1"}, exitInvalid, ""},
		{[]string{"drain", "--lost", "region/r2"}, exitInvalid, ""},
	} {
		got := c.expect(test.code, fleet.OperatorKey, 0, test.args...)
		if !strings.Contains(got.Out, test.want) {
			t.Errorf("%v prints %q, want %q", test.args, got.Out, test.want)
		}
	}
	c.fleet.Instances[1].Kill()
	for began := time.Now(); c.run(fleet.OperatorKey, 0, "drain", "--lost", "region/r2").Code != exitDone; time.Sleep(20 * time.Millisecond) {
		if time.Since(began) > awaitLimit {
			t.Fatal("the region of a killed instance cannot be declared lost")
		}
	}
	if got := c.expect(exitDone, fleet.OperatorKey, 0, "status"); !strings.Contains(got.Out, "declared lost: r2") {
		t.Errorf("status of a lost region: %s", got.Out)
	}
	c.expect(exitDone, fleet.OperatorKey, 0, "drain", "--lost", "region/r2", "--undo")
	object, err := c.fleet.Store.Get(t.Context(), "drain/browse-01")
	if diff := cmp.Diff(`{"leaving":false,"team":"base"}`, string(object.Value)); err != nil || diff != "" {
		t.Errorf("error %v, drain (-want +got):\n%s", err, diff)
	}
}

// Guards against commands that need an instance although they work on local
// files only, and against exit codes that the help does not name.
func TestLocalCommands(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "bad.ini")
	if err := os.WriteFile(bad, []byte("[a/region/r]\ndelayMs = soon\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct {
		args []string
		code int
		want string
	}{
		{[]string{"check", "../../../deployments/sundarban/document.ini"}, exitDone, "ok"},
		{[]string{"check", bad}, exitInvalid, `bad.ini:2: [a/region/r] delayMs = "soon": is not a number from 0 to 1000`},
		{[]string{"serve", "-c", bad}, exitInvalid, ""},
		{[]string{"completion", "bash"}, exitDone, "bash completion"},
		{[]string{"help"}, exitDone, "Exit codes:"},
		{[]string{"unknown"}, exitInvalid, ""},
		{[]string{"apply", bad, "--instance", "127.0.0.1:1", "--operator-key-file", bad}, exitInvalid, ""},
	} {
		var out, errOut bytes.Buffer
		if code := Run(test.args, &out, &errOut); code != test.code || !strings.Contains(out.String(), test.want) {
			t.Errorf("%v ends with %d, want %d, and prints %.200q and %q", test.args, code, test.code, out.String(), errOut.String())
		}
	}
}
