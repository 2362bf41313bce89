// Package settings reads and checks the INI file with the settings of one instance.
package settings

import (
	"fmt"
	"net/netip"
	"os"
	"sort"
	"strings"

	"gopkg.in/ini.v1"
)

// Settings is the content of one settings file.
type Settings struct {
	// Name is the instance's name, which is unique in the fleet.
	Name          string
	FailureDomain string
	// CallerAddress, PeerAddress and ControlAddress are the addresses on which the
	// instance listens, as IP:PORT with an IP number.
	CallerAddress  string
	PeerAddress    string
	ControlAddress string
	// PlatformURL is the base URL of the platform's object API.
	PlatformURL string
	// LogLevel is debug, info, warn or error.
	LogLevel string
	// BootstrapKeyHash is the SHA-256 hash of the key with which an operator may apply
	// the first document, as long as no team is defined. If it is empty, nobody may.
	BootstrapKeyHash string
	// Insecure allows links between instances without TLS, on loopback only.
	Insecure bool
	// AuthorityFile, CertificateFile and KeyFile are the files with the certificate of
	// the fleet's certificate authority and the instance's own certificate and key.
	AuthorityFile, CertificateFile, KeyFile string
	// CallerCertificateFile and CallerKeyFile are the files with the certificate and
	// key for connections of callers. Both are empty if callers connect without TLS.
	CallerCertificateFile, CallerKeyFile string
}

// Error is an error in a settings file. Allowed says what is allowed instead.
type Error struct {
	File, Section, Key, Value, Allowed string
}

// Error says where the error is and what is allowed.
func (e *Error) Error() string {
	where := e.File
	if e.Section != "" {
		where += ": [" + e.Section + "]"
	}
	if e.Key != "" {
		where += fmt.Sprintf(" %s = %q", e.Key, e.Value)
	}
	return where + ": " + e.Allowed
}

// field describes one allowed key.
type field struct {
	section, key string
	required     bool
	// target returns the place of the value in the settings.
	target func(s *Settings) *string
	// check returns what is allowed if the value is not, or "". It may be nil.
	check func(value string) string
}

// fields holds all allowed keys but peer.insecure, which readLinkMode reads.
var fields = []field{
	{"instance", "name", true, func(s *Settings) *string { return &s.Name }, checkName},
	{"instance", "failureDomain", true, func(s *Settings) *string { return &s.FailureDomain }, checkName},
	{"caller", "address", true, func(s *Settings) *string { return &s.CallerAddress }, checkAddress},
	{"caller", "certificateFile", false, func(s *Settings) *string { return &s.CallerCertificateFile }, nil},
	{"caller", "keyFile", false, func(s *Settings) *string { return &s.CallerKeyFile }, nil},
	{"peer", "address", true, func(s *Settings) *string { return &s.PeerAddress }, checkAddress},
	{"peer", "authorityFile", false, func(s *Settings) *string { return &s.AuthorityFile }, nil},
	{"peer", "certificateFile", false, func(s *Settings) *string { return &s.CertificateFile }, nil},
	{"peer", "keyFile", false, func(s *Settings) *string { return &s.KeyFile }, nil},
	{"control", "address", true, func(s *Settings) *string { return &s.ControlAddress }, checkAddress},
	{"control", "bootstrapKeyHash", false, func(s *Settings) *string { return &s.BootstrapKeyHash }, checkHash},
	{"platform", "url", true, func(s *Settings) *string { return &s.PlatformURL }, checkURL},
	{"log", "level", false, func(s *Settings) *string { return &s.LogLevel }, checkLevel},
}

// checkName returns what is allowed if the value is not a valid name, or "".
func checkName(value string) string {
	for _, c := range value {
		if (c < 'a' || c > 'z') && (c < '0' || c > '9') && c != '-' {
			return "allowed are lower-case letters, digits and -"
		}
	}
	return ""
}

// checkAddress returns what is allowed if the value is not IP:PORT, or "".
func checkAddress(value string) string {
	if _, err := netip.ParseAddrPort(value); err != nil {
		return "must be IP:PORT with an IP number, such as 127.0.0.1:8080"
	}
	return ""
}

// checkURL returns what is allowed if the value is not the URL of an IP:PORT, or "".
func checkURL(value string) string {
	rest, ok := strings.CutPrefix(value, "http://")
	if !ok {
		return "must be http://IP:PORT"
	}
	return checkAddress(rest)
}

// checkHash returns what is allowed if the value is not a SHA-256 hash, or "".
func checkHash(value string) string {
	if len(value) != 64 || strings.Trim(value, "0123456789abcdef") != "" {
		return "must be a SHA-256 hash of 64 hexadecimal digits"
	}
	return ""
}

// checkLevel returns what is allowed if the value is not a log level, or "".
func checkLevel(value string) string {
	switch value {
	case "debug", "info", "warn", "error":
		return ""
	}
	return "must be debug, info, warn or error"
}

// Load reads and checks a settings file. The error is an *Error unless the file cannot be
// read.
func Load(file string) (Settings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, err
	}
	return Parse(file, text)
}

// Parse parses and checks the text of a settings file. The error is the first one found,
// an *Error.
func Parse(file string, text []byte) (Settings, error) {
	s := Settings{LogLevel: "info"}
	// With AllowShadows the library keeps all values of a key that is given twice, so
	// that checkKeys can reject it. By default it silently keeps the last value.
	parsed, err := ini.LoadSources(ini.LoadOptions{
		KeyValueDelimiters: "=", ChildSectionDelimiter: "\x00", IgnoreInlineComment: true, IgnoreContinuation: true, AllowShadows: true,
		AllowDuplicateShadowValues: true, PreserveSurroundedQuote: true,
	}, text)
	if err != nil {
		return s, &Error{file, "", "", "", "not an INI file: " + err.Error()}
	}
	if err := checkKeys(file, parsed); err != nil {
		return s, err
	}
	for _, f := range fields {
		if err := f.read(file, parsed, &s); err != nil {
			return s, err
		}
	}
	if err := s.readLinkMode(file, parsed); err != nil {
		return s, err
	}
	if (s.CallerCertificateFile == "") != (s.CallerKeyFile == "") {
		return s, &Error{file, "caller", "certificateFile", s.CallerCertificateFile, "certificateFile and keyFile must be given together or not at all"}
	}
	return s, s.checkAddresses(file)
}

// read checks the value of the key and stores it in the settings.
func (f field) read(file string, parsed *ini.File, s *Settings) error {
	section := parsed.Section(f.section)
	if !section.HasKey(f.key) {
		if f.required {
			return &Error{file, f.section, f.key, "", "is required"}
		}
		return nil
	}
	value := section.Key(f.key).Value()
	if value == "" {
		return &Error{file, f.section, f.key, value, "must not be empty"}
	}
	if f.check != nil {
		if allowed := f.check(value); allowed != "" {
			if strings.HasSuffix(f.key, "Hash") {
				// The value is not shown, since the operator may have pasted the
				// key itself.
				value = ""
			}
			return &Error{file, f.section, f.key, value, allowed}
		}
	}
	*f.target(s) = value
	return nil
}

// checkAddresses rejects settings that use one address for two listeners.
func (s *Settings) checkAddresses(file string) error {
	taken := map[string]string{s.CallerAddress: "caller"}
	for _, p := range []struct{ section, address string }{{"peer", s.PeerAddress}, {"control", s.ControlAddress}} {
		if other, ok := taken[p.address]; ok {
			return &Error{file, p.section, "address", p.address, "is already the address in [" + other + "]"}
		}
		taken[p.address] = p.section
	}
	return nil
}

// readLinkMode reads whether links between instances use TLS and checks that the needed
// files are given.
func (s *Settings) readLinkMode(file string, parsed *ini.File) error {
	value := parsed.Section("peer").Key("insecure").Value()
	switch value {
	case "yes":
		s.Insecure = true
	case "", "no":
	default:
		return &Error{file, "peer", "insecure", value, "must be yes or no"}
	}
	if s.Insecure && !netip.MustParseAddrPort(s.PeerAddress).Addr().IsLoopback() {
		return &Error{file, "peer", "insecure", value, "yes is allowed only with a loopback peer address"}
	}
	if !s.Insecure && (s.AuthorityFile == "" || s.CertificateFile == "" || s.KeyFile == "") {
		return &Error{file, "peer", "authorityFile", s.AuthorityFile,
			"authorityFile, certificateFile and keyFile are required unless insecure = yes"}
	}
	return nil
}

// checkKeys rejects unknown sections, unknown keys, and keys that are given twice.
func checkKeys(file string, parsed *ini.File) error {
	known := map[string]bool{"peer.insecure": true}
	sections := map[string]bool{}
	for _, f := range fields {
		known[f.section+"."+f.key] = true
		sections[f.section] = true
	}
	for _, section := range parsed.Sections() {
		name := section.Name()
		if name == ini.DefaultSection {
			if len(section.Keys()) == 0 {
				continue
			}
			k := section.Keys()[0]
			return &Error{file, "", k.Name(), k.Value(), "stands before the first section"}
		}
		if !sections[name] {
			return &Error{file, name, "", "", "unknown section; allowed are " + strings.Join(sortedKeys(sections), ", ")}
		}
		for _, key := range section.Keys() {
			if !known[name+"."+key.Name()] {
				return &Error{file, name, key.Name(), key.Value(), "unknown key; allowed are " + strings.Join(keysInSection(known, name), ", ")}
			}
			if values := key.ValueWithShadows(); len(values) > 1 {
				return &Error{file, name, key.Name(), strings.Join(values, ", "), "key is given more than once"}
			}
		}
	}
	return nil
}

// keysInSection returns the keys of a section, sorted, from names of the form
// section.key.
func keysInSection(known map[string]bool, section string) []string {
	var keys []string
	for _, k := range sortedKeys(known) {
		if key, ok := strings.CutPrefix(k, section+"."); ok {
			keys = append(keys, key)
		}
	}
	return keys
}

func sortedKeys(m map[string]bool) []string {
	var keys []string
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}
