package document

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Guards against a change that makes the documents of the two example deployments
// invalid.
func TestDeploymentDocumentsAreValid(t *testing.T) {
	files, err := filepath.Glob("../../../deployments/*/document.ini")
	if err != nil || len(files) != 2 {
		t.Fatalf("found %d documents, error %v", len(files), err)
	}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		snapshot, problems := Parse(file, text)
		if diff := cmp.Diff([]Problem(nil), problems); diff != "" {
			t.Errorf("%s: problems (-want +got):\n%s", file, diff)
		} else if len(snapshot.Organisations) != 8 {
			t.Errorf("%s: %d organisations, want 8", file, len(snapshot.Organisations))
		}
	}
}

const (
	region  = "[a/region/r]\n[a/domain/d]\nregion = r\n"
	service = "[a/service/s]\nslots = 2\nconnections = 4\n"
)

func server(name, address, extra string) string {
	return "[a/server/" + name + "]\nservice = s\ndomain = d\naddress = " + address + "\n" + extra
}

func route(name, extra string) string {
	return "[a/route/" + name + "]\npath = /s\nmethods = GET\nservice = s\n" + extra
}

// Guards against errors that the INI library or a default value would hide, and against
// messages that do not name the place, the value and what is allowed.
func TestParseProblems(t *testing.T) {
	hash := strings.Repeat("ab", 32)
	for name, c := range map[string]struct {
		text string
		// want holds the messages in order.
		want []string
	}{
		"byte order mark and line endings": {"\ufeff" + strings.ReplaceAll(organisation("a", "x", 1), "\n", "\r\n"), nil},
		"semicolon in a value is no comment": {region + service + server("v", "127.0.0.1:1;2", ""),
			[]string{`f:10: [a/server/v] address = "127.0.0.1:1;2": is not IP:PORT with an IP number`}},
		"key twice": {organisation("a", "x", 1) + "rate = 2\n", []string{"f:4: [a/organisation/x] rate: key given twice, first in line 2"}},
		"section twice": {organisation("a", "x", 1) + organisation("a", "x", 1),
			[]string{"f:4: [a/organisation/x]: section given twice, first in line 1", "f:5: [a/organisation/x] rate: key given twice, first in line 2",
				"f:6: [a/organisation/x] burst: key given twice, first in line 3"}},
		"name twice": {organisation("a", "x", 1) + organisation("b", "x", 1),
			[]string{`f:4: [b/organisation/x]: organisation "x" is already defined in [a/organisation/x]`}},
		"unknown kind": {"[a/zone/x]\n", []string{`f:1: [a/zone/x]: unknown kind "zone"; allowed are clients, ` +
			"domain, fleet, key, organisation, region, route, server, service, site, team"}},
		"unknown key":       {organisation("a", "x", 1) + "colour = red\n", []string{`f:4: [a/organisation/x] colour = "red": unknown key for kind "organisation"`}},
		"section name":      {"[a/organisation]\n", []string{"f:1: [a/organisation]: section name is not TEAM/KIND/NAME in lower-case letters, digits, - and ., with at most 80 characters for TEAM and NAME"}},
		"not a number":      {replace(organisation("a", "x", 1), "10", "ten"), []string{`f:3: [a/organisation/x] burst = "ten": is not a number from 1 to 1e+07`}},
		"not finite":        {replace(organisation("a", "x", 1), "10", "NaN"), []string{`f:3: [a/organisation/x] burst = "NaN": is not a number from 1 to 1e+07`}},
		"out of range":      {organisation("a", "x", -1), []string{`f:2: [a/organisation/x] rate = "-1": is not a number from 0.001 to 1e+07`}},
		"key without value": {"[a/key/k]\norganisation\n", []string{"f:2: [a/key/k]: the line is neither [TEAM/KIND/NAME], KEY = VALUE nor a comment on its own line"}},
		"comment behind a header": {"[a/region/r] ; note\n",
			[]string{"f:1: []: the line is neither [TEAM/KIND/NAME], KEY = VALUE nor a comment on its own line"}},
		"colon instead of =": {"[a/organisation/x]\nrate : 1\n", []string{"f:2: [a/organisation/x]: the line is neither [TEAM/KIND/NAME], KEY = VALUE nor a comment on its own line"}},
		"value over several lines": {"[a/region/r]\ndelayMs = \"\"\"1\n\"\"\"\n", []string{"f:2: [a/region/r] delayMs: a value must not begin with ` or \"\"\", which start a quotation over several lines",
			"f:3: [a/region/r]: the line is neither [TEAM/KIND/NAME], KEY = VALUE nor a comment on its own line"}},
		"expansion":           {"[a/site/t]\ndomain = %(x)s\n", []string{`f:2: [a/site/t] domain = "%(x)s": domain "%(x)s" is not defined in the document`}},
		"no inherited keys":   {organisation("a", "x", 1) + "[a/organisation/x.y]\nrate = 1\n", []string{"f:4: [a/organisation/x.y] burst: is not a number from 1 to 1e+07"}},
		"undefined reference": {"[a/domain/d]\nregion = gone\n", []string{`f:2: [a/domain/d] region = "gone": region "gone" is not defined in the document`}},
		"hash is not printed": {organisation("a", "x", 1) + "[a/key/k]\norganisation = x\nhash = secret\n", []string{"f:6: [a/key/k] hash: is not a SHA-256 hash of 64 hexadecimal digits"}},
		"more slots than connections": {region + service + server("v", "127.0.0.1:1", "slots = 5\n"),
			[]string{`f:11: [a/server/v] slots = "5": 5 slots need as many connections, but service "s" allows 4`}},
		"two routes with one path": {service + route("x", "") + route("y", ""),
			[]string{`f:9: [a/route/y] path = "/s": GET /s is already used by route "x"`}},
		"reserved header": {service + route("x", "headers = X-A, authorization\n"),
			[]string{`f:8: [a/route/x] headers = "X-A, authorization": value "authorization" is never passed on to backend servers`}},
		"too many attempts":                 {service + route("x", "attempts = 6\n"), []string{`f:8: [a/route/x] attempts = "6": is not a whole number from 1 to 5`}},
		"open route that is not idempotent": {service + route("x", "open = yes\n"), []string{`f:8: [a/route/x] open = "yes": an open route must be idempotent, because tickets belong to organisations`}},
		"team without a key":                {teamSection("a") + "[b/region/r]\n", []string{`f:3: [b/region/r]: team "b" has no section [b/team/b]`}},
		"control character":                 {"[a/region/r]\ndelayMs = 1\x00\n", []string{"f:2: []: the line holds a control character or is not UTF-8"}},
		"key before sections":               {"rate = 1\n", []string{`f:1: [] rate = "1": key stands before the first section`}},
		"reserved team name":                {teamSection("bootstrap"), []string{`f:1: [bootstrap/team/bootstrap]: the team name "bootstrap" is reserved for the bootstrap key`}},
		"value missing":                     {"[a/key/k]\norganisation =\nhash = " + hash + "\n", []string{"f:2: [a/key/k] organisation: is missing or empty; a value is required"}},
	} {
		t.Run(name, func(t *testing.T) {
			snapshot, problems := Parse("f", []byte(c.text))
			var got []string
			for _, p := range problems {
				got = append(got, p.String())
			}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("problems (-want +got):\n%s", diff)
			}
			if (snapshot != nil) != (len(problems) == 0) {
				t.Errorf("snapshot %v with %d problems", snapshot, len(problems))
			}
		})
	}
}
