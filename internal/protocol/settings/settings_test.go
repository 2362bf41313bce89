package settings

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

const valid = `[instance]
name = entry-1
failureDomain = a
[caller]
address = 127.0.0.1:7100
[peer]
address = 127.0.0.1:7200
insecure = yes
[control]
address = 127.0.0.1:7300
[platform]
url = http://127.0.0.1:7000
`

// Guards against invalid settings that are replaced by a guess, and against messages that
// do not name the place, the value and what is allowed.
func TestParseErrors(t *testing.T) {
	for name, c := range map[string]struct{ old, replacement, want string }{
		"valid":             {"", "", ""},
		"missing":           {"name = entry-1\n", "", `f.ini: [instance] name = "": is required`},
		"empty":             {"name = entry-1", "name =", `f.ini: [instance] name = "": must not be empty`},
		"name":              {"entry-1", "Entry 1", `f.ini: [instance] name = "Entry 1": allowed are lower-case letters, digits and -`},
		"unknown section":   {"[platform]", "[platforms]", `f.ini: [platforms]: unknown section; allowed are caller, control, instance, log, peer, platform`},
		"unknown key":       {"url =", "uri =", `f.ini: [platform] uri = "http://127.0.0.1:7000": unknown key; allowed are url`},
		"key twice":         {"failureDomain = a", "failureDomain = a\nfailureDomain = b", `f.ini: [instance] failureDomain = "a, b": key is given more than once`},
		"before a section":  {"[instance]\n", "level = info\n[instance]\n", `f.ini level = "info": stands before the first section`},
		"host name":         {"127.0.0.1:7100", "localhost:7100", `f.ini: [caller] address = "localhost:7100": must be IP:PORT with an IP number, such as 127.0.0.1:8080`},
		"comment in a line": {"failureDomain = a", "failureDomain = a ; b", `f.ini: [instance] failureDomain = "a ; b": allowed are lower-case letters, digits and -`},
		"scheme":            {"http://", "https://", `f.ini: [platform] url = "https://127.0.0.1:7000": must be http://IP:PORT`},
		"two ports":         {"127.0.0.1:7300", "127.0.0.1:7200", `f.ini: [control] address = "127.0.0.1:7200": is already the address in [peer]`},
		"insecure":          {"insecure = yes", "insecure = true", `f.ini: [peer] insecure = "true": must be yes or no`},
		"not on loopback":   {"127.0.0.1:7200", "10.0.0.1:7200", `f.ini: [peer] insecure = "yes": yes is allowed only with a loopback peer address`},
		"no certificates": {"insecure = yes", "insecure = no", `f.ini: [peer] authorityFile = "": ` +
			"authorityFile, certificateFile and keyFile are required unless insecure = yes"},
		"key instead of its hash": {"[platform]", "bootstrapKeyHash = secret\n[platform]",
			`f.ini: [control] bootstrapKeyHash = "": must be a SHA-256 hash of 64 hexadecimal digits`},
		"certificate alone": {"[peer]", "certificateFile = a.pem\n[peer]",
			`f.ini: [caller] certificateFile = "a.pem": certificateFile and keyFile must be given together or not at all`},
		"key file alone": {"[peer]", "keyFile = a.key\n[peer]",
			`f.ini: [caller] certificateFile = "": certificateFile and keyFile must be given together or not at all`},
		"empty key file": {"[peer]", "certificateFile = a.pem\nkeyFile =\n[peer]", `f.ini: [caller] keyFile = "": must not be empty`},
		"both files":     {"[peer]", "certificateFile = a.pem\nkeyFile = a.key\n[peer]", ""},
		"level":          {"[platform]", "[log]\nlevel = all\n[platform]", `f.ini: [log] level = "all": must be debug, info, warn or error`},
		"not INI":        {"[platform]", "[platform", "f.ini: not an INI file: unclosed section: [platform"},
	} {
		t.Run(name, func(t *testing.T) {
			got := ""
			_, err := Parse("f.ini", []byte(strings.Replace(valid, c.old, c.replacement, 1)))
			if err != nil {
				got = err.Error()
			}
			if diff := cmp.Diff(c.want, strings.TrimSpace(got)); diff != "" {
				t.Errorf("error (-want +got):\n%s", diff)
			}
		})
	}
}
