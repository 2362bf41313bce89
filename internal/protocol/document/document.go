// Package document parses, checks and merges the operators' document, the INI file
// with the configuration of the fleet.
package document

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"net/netip"
	"sort"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	"tamarackrun/internal/state/configuration"
)

// Problem is one error in a document.
type Problem struct {
	File string
	// Line is counted from 1.
	Line    int
	Section string
	// Key is empty if the problem concerns the whole section.
	Key string
	// Value is the invalid value. It is empty for hashes, since an operator may have
	// pasted the key itself.
	Value string
	// Message says what is wrong and what is allowed.
	Message string
}

// String returns the problem as it is shown to operators.
func (p Problem) String() string {
	where := fmt.Sprintf("%s:%d: [%s]", p.File, p.Line, p.Section)
	if p.Key != "" {
		where += " " + p.Key
	}
	if p.Value != "" {
		where += fmt.Sprintf(" = %q", p.Value)
	}
	return where + ": " + p.Message
}

// BootstrapTeam is the author's name of a document that was applied with the
// bootstrap key from an instance's settings.
const BootstrapTeam = "bootstrap"

// HashKey returns the SHA-256 hash of a key, the only form in which keys are stored.
func HashKey(key string) [32]byte { return sha256.Sum256([]byte(key)) }

// Parse parses a document. The snapshot is nil if there are problems, which are
// sorted by line.
func Parse(file string, text []byte) (*configuration.Snapshot, []Problem) {
	p := &parser{file: file, text: text}
	if p.problems = checkText(file, text); len(p.problems) > 0 {
		return nil, p.problems
	}
	parsed, err := ini.LoadSources(ini.LoadOptions{
		// Only whole lines are comments, since a value may contain ; or #, for
		// example a URL with a fragment.
		IgnoreInlineComment:      true,
		SkipUnrecognizableLines:  false,
		IgnoreContinuation:       true,
		PreserveSurroundedQuote:  true,
		SpaceBeforeInlineComment: true,
		KeyValueDelimiters:       "=",
		// By default a section a.b inherits the keys of a section a.
		ChildSectionDelimiter: "\x00",
	}, bytes.TrimPrefix(text, []byte(byteOrderMark)))
	if err != nil {
		p.addProblem("", "", "not an INI document: "+err.Error())
		return nil, p.problems
	}
	snapshot := p.build(parsed)
	if len(p.problems) > 0 {
		sort.SliceStable(p.problems, func(i, j int) bool {
			a, b := p.problems[i], p.problems[j]
			return a.Line < b.Line || a.Line == b.Line && a.Message < b.Message
		})
		return nil, p.problems
	}
	return snapshot, nil
}

// parser collects the problems of one document.
type parser struct {
	file string
	text []byte
	// lines holds the headers and assignments of the text. It is set at the first
	// problem only, since it holds a copy of the text, which is a tenth of the memory
	// for parsing a large document.
	lines    []sourceLine
	problems []Problem
}

// addProblem reports a problem of a key, or of its section if the key is empty.
func (p *parser) addProblem(section, key, message string) {
	l := p.findLine(section, key)
	value := l.value
	if key == "" || strings.HasSuffix(strings.ToLower(key), "hash") {
		value = ""
	}
	p.problems = append(p.problems, Problem{p.file, l.number, section, key, value, message})
}

// findLine returns the line of a key, that of its section if the key is missing, or
// line 1 if the section is missing too.
func (p *parser) findLine(section, key string) sourceLine {
	if p.lines == nil {
		p.lines = scanLines(string(p.text))
	}
	for _, l := range p.lines {
		if l.section == section && l.key == key {
			return l
		}
	}
	for _, l := range p.lines {
		if l.section == section && l.key == "" {
			return sourceLine{section: section, number: l.number}
		}
	}
	return sourceLine{number: 1}
}

// sectionReader reads the typed values of one INI section, whose name has the form
// team/kind/name, and reports problems. Each method returns the value of a key or,
// if the key is missing, the fallback.
type sectionReader struct {
	p    *parser
	raw  *ini.Section
	team string
	kind string
	name string
	// readKeys holds the keys that were read; any other key is unknown.
	readKeys map[string]bool
}

// addProblem reports a problem of a key, or of the section if the key is empty.
func (s *sectionReader) addProblem(key, format string, args ...any) {
	s.p.addProblem(s.raw.Name(), key, fmt.Sprintf(format, args...))
}

// text reads a text without further checks.
func (s *sectionReader) text(key, fallback string) string {
	s.readKeys[key] = true
	if !s.raw.HasKey(key) {
		return fallback
	}
	// Value is used because String would expand %(name)s.
	return s.raw.Key(key).Value()
}

// required reads a text that must not be empty.
func (s *sectionReader) required(key string) string {
	value := s.text(key, "")
	if value == "" {
		s.addProblem(key, "is missing or empty; a value is required")
	}
	return value
}

// integer reads a whole number from low to high.
func (s *sectionReader) integer(key string, fallback, low, high int) int {
	value := s.text(key, strconv.Itoa(fallback))
	n, err := strconv.Atoi(value)
	if err != nil || n < low || n > high {
		s.addProblem(key, "is not a whole number from %d to %d", low, high)
	}
	return n
}

// number reads a decimal number from low to high.
func (s *sectionReader) number(key string, fallback, low, high float64) float64 {
	value := s.text(key, strconv.FormatFloat(fallback, 'g', -1, 64))
	n, err := strconv.ParseFloat(value, 64)
	if err != nil || !(n >= low && n <= high) {
		s.addProblem(key, "is not a number from %g to %g", low, high)
	}
	return n
}

// flag reads yes or no.
func (s *sectionReader) flag(key string, fallback bool) bool {
	word := "no"
	if fallback {
		word = "yes"
	}
	return s.choice(key, word, "yes", "no") == "yes"
}

// choice reads one of the allowed values.
func (s *sectionReader) choice(key, fallback string, allowed ...string) string {
	value := s.text(key, fallback)
	for _, a := range allowed {
		if value == a {
			return value
		}
	}
	s.addProblem(key, "is not one of %s", strings.Join(allowed, ", "))
	return fallback
}

// duration reads a duration from low to high.
func (s *sectionReader) duration(key string, fallback, low, high time.Duration) time.Duration {
	value := s.text(key, fallback.String())
	d, err := time.ParseDuration(value)
	if err != nil || d < low || d > high {
		s.addProblem(key, "is not a duration from %v to %v, such as 500ms or 5s", low, high)
	}
	return d
}

// list reads values that are separated by commas.
func (s *sectionReader) list(key string) []string {
	var words []string
	for w := range strings.SplitSeq(s.text(key, ""), ",") {
		if w = strings.TrimSpace(w); w != "" {
			words = append(words, w)
		}
	}
	return words
}

// hash reads a SHA-256 hash in hexadecimal digits, which is required.
func (s *sectionReader) hash(key string) (hash [32]byte) {
	value := s.required(key)
	raw, err := hex.DecodeString(value)
	if value != "" && (err != nil || len(raw) != len(hash)) {
		s.addProblem(key, "is not a SHA-256 hash of 64 hexadecimal digits")
	}
	copy(hash[:], raw)
	return hash
}

// reportUnknownKeys reports the keys of the section that were not read.
func (s *sectionReader) reportUnknownKeys() {
	for _, key := range s.raw.Keys() {
		if !s.readKeys[key.Name()] {
			s.addProblem(key.Name(), "unknown key for kind %q", s.kind)
		}
	}
}

// build converts the sections to a snapshot.
func (p *parser) build(parsed *ini.File) *configuration.Snapshot {
	b := &builder{p: p, snapshot: &configuration.Snapshot{
		Fleet:         configuration.Fleet{LookupLifetime: defaultLookupLifetime},
		Teams:         map[string]configuration.Team{},
		Regions:       map[string]configuration.Region{},
		Domains:       map[string]configuration.Domain{},
		Organisations: map[string]configuration.Organisation{},
		Keys:          map[[32]byte]configuration.Key{},
		Services:      map[string]configuration.Service{},
		Servers:       map[string]configuration.Server{},
		Sites:         map[string]configuration.Site{},
	}, definedIn: map[string]string{}}
	for _, raw := range parsed.Sections() {
		if raw.Name() == ini.DefaultSection {
			for _, key := range raw.Keys() {
				p.addProblem("", key.Name(), "key stands before the first section")
			}
			continue
		}
		b.readSection(raw)
	}
	b.checkReferences()
	sort.SliceStable(b.snapshot.Routes, func(i, j int) bool {
		return len(b.snapshot.Routes[i].Path) > len(b.snapshot.Routes[j].Path)
	})
	return b.snapshot
}

const (
	defaultLookupLifetime = 5 * time.Second
	// maxNameLength is the largest length of a name in a section's header.
	maxNameLength = 80
)

// builder collects the contents of the sections in a snapshot.
type builder struct {
	p        *parser
	snapshot *configuration.Snapshot
	// definedIn maps each kind/name to the section that defines it. Names are unique
	// over all teams.
	definedIn map[string]string
}

// validName reports whether a name is not too long and has only lower-case letters,
// digits, - and . in it.
func validName(name string) bool {
	if name == "" || len(name) > maxNameLength {
		return false
	}
	for _, c := range name {
		if (c < 'a' || c > 'z') && (c < '0' || c > '9') && c != '-' && c != '.' {
			return false
		}
	}
	return true
}

// readSection reads one section into the snapshot.
func (b *builder) readSection(raw *ini.Section) {
	parts := strings.Split(raw.Name(), "/")
	if len(parts) != 3 || !validName(parts[0]) || !validName(parts[2]) {
		b.p.addProblem(raw.Name(), "", "section name is not TEAM/KIND/NAME in lower-case letters, digits, - and ., with at most 80 characters for TEAM and NAME")
		return
	}
	s := &sectionReader{b.p, raw, parts[0], parts[1], parts[2], map[string]bool{}}
	read, ok := kindReaders[s.kind]
	if !ok {
		s.addProblem("", "unknown kind %q; allowed are %s", s.kind, kindNames())
		return
	}
	if other, ok := b.definedIn[s.kind+"/"+s.name]; ok {
		s.addProblem("", "%s %q is already defined in [%s]", s.kind, s.name, other)
		return
	}
	b.definedIn[s.kind+"/"+s.name] = raw.Name()
	read(b.snapshot, s)
	s.reportUnknownKeys()
}

// kindNames returns the kinds of sections, sorted and separated by commas.
func kindNames() string {
	var names []string
	for kind := range kindReaders {
		names = append(names, kind)
	}
	sort.Strings(names)
	return strings.Join(names, ", ")
}

// kindReaders maps each kind of section to the function that reads it.
var kindReaders = map[string]func(c *configuration.Snapshot, s *sectionReader){
	"team": func(c *configuration.Snapshot, s *sectionReader) {
		if s.name != s.team {
			s.addProblem("", "the team section of team %q must be [%s/team/%s]", s.team, s.team, s.team)
		}
		if s.name == BootstrapTeam {
			s.addProblem("", "the team name %q is reserved for the bootstrap key", s.name)
		}
		c.Teams[s.name] = configuration.Team{Name: s.name, OperatorKeyHash: s.hash("operatorKeyHash")}
	},
	"fleet": func(c *configuration.Snapshot, s *sectionReader) {
		if s.name != "fleet" {
			s.addProblem("", "the fleet section must be named fleet")
		}
		c.Fleet = configuration.Fleet{
			StoreRegion:    s.text("storeRegion", ""),
			LookupLifetime: s.duration("lookupLifetime", defaultLookupLifetime, time.Second, time.Minute),
		}
	},
	"region": func(c *configuration.Snapshot, s *sectionReader) {
		c.Regions[s.name] = configuration.Region{
			Name:         s.name,
			LinkMegabits: s.integer("linkMegabits", 4000, 1, 10_000_000),
			Delay:        time.Duration(s.number("delayMs", 35, 0, 1000) * float64(time.Millisecond)),
		}
	},
	"domain": func(c *configuration.Snapshot, s *sectionReader) {
		c.Domains[s.name] = configuration.Domain{Name: s.name, Region: s.required("region")}
	},
	"organisation": func(c *configuration.Snapshot, s *sectionReader) {
		c.Organisations[s.name] = configuration.Organisation{
			Name:   s.name,
			Rate:   s.number("rate", 0, 0.001, 1e7),
			Burst:  s.number("burst", 0, 1, 1e7),
			Weight: s.integer("weight", 1, 1, 1000),
		}
	},
	"key": func(c *configuration.Snapshot, s *sectionReader) {
		hash := s.hash("hash")
		if other, ok := c.Keys[hash]; ok {
			s.addProblem("hash", "is the same as that of key %q", other.Name)
		}
		c.Keys[hash] = configuration.Key{Name: s.name, Hash: hash,
			Organisation: s.required("organisation"), Withdrawn: s.flag("withdrawn", false)}
	},
	"service": func(c *configuration.Snapshot, s *sectionReader) {
		c.Services[s.name] = configuration.Service{
			Name:        s.name,
			Slots:       s.integer("slots", 0, 1, 100_000),
			Connections: s.integer("connections", 330, 1, 100_000),
			ShiftCap:    s.number("shiftCap", 0.5, 0, 1),
		}
	},
	"server": func(c *configuration.Snapshot, s *sectionReader) {
		server := configuration.Server{Name: s.name, Service: s.required("service"),
			Domain: s.required("domain"), Address: s.required("address"),
			Slots: s.integer("slots", 0, 0, 100_000)}
		if _, err := netip.ParseAddrPort(server.Address); server.Address != "" && err != nil {
			s.addProblem("address", "is not IP:PORT with an IP number")
		}
		c.Servers[s.name] = server
	},
	"route":   readRoute,
	"clients": readClients,
	"site": func(c *configuration.Snapshot, s *sectionReader) {
		c.Sites[s.name] = configuration.Site{Name: s.name, Domain: s.required("domain")}
	},
}

// readRoute reads a route section.
func readRoute(c *configuration.Snapshot, s *sectionReader) {
	route := configuration.Route{
		Name:          s.name,
		Path:          s.required("path"),
		Methods:       s.list("methods"),
		Service:       s.required("service"),
		Idempotent:    s.flag("idempotent", false),
		Open:          s.flag("open", false),
		Timeout:       s.duration("timeout", 5*time.Second, 10*time.Millisecond, 10*time.Minute),
		MaxAttempts:   s.integer("attempts", 3, 1, 5),
		Headers:       s.list("headers"),
		Organisations: s.list("organisations"),
	}
	if route.Path != "" && (route.Path[0] != '/' || strings.HasPrefix(route.Path, "/v1/")) {
		s.addProblem("path", "must start with / and not with /v1/, which is the system's own")
	}
	for _, h := range route.Headers {
		if ReservedHeader(h) {
			s.addProblem("headers", "value %q is never passed on to backend servers", h)
		}
	}
	for _, m := range route.Methods {
		if !allowedMethods[m] {
			s.addProblem("methods", "value %q is not one of DELETE, GET, HEAD, PATCH, POST, PUT", m)
		}
	}
	if len(route.Methods) == 0 {
		s.addProblem("methods", "is missing or empty; a list such as GET, HEAD is required")
	}
	if s.choice("class", "interactive", "interactive", "batch") == "batch" {
		route.Class = configuration.Batch
	}
	if s.choice("cutOff", "refuse", "refuse", "serve") == "serve" {
		route.CutOffRule = configuration.ServeWhenCutOff
	}
	if route.Open && !route.Idempotent {
		s.addProblem("open", "an open route must be idempotent, because tickets belong to organisations")
	}
	c.Routes = append(c.Routes, route)
}

// reservedHeaders holds the headers that carry keys, that apply to one connection, or
// that the system sets itself.
var reservedHeaders = map[string]bool{"Authorization": true, "Proxy-Authorization": true, "Connection": true,
	"Content-Length": true, "Expect": true, "Host": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true,
	"Trailer": true, "Transfer-Encoding": true, "Upgrade": true}

// ReservedHeader reports whether a request header is never passed on to backend
// servers.
func ReservedHeader(name string) bool {
	name = http.CanonicalHeaderKey(name)
	return reservedHeaders[name] || strings.HasPrefix(name, "Tamarackrun-")
}

var allowedMethods = map[string]bool{"DELETE": true, "GET": true, "HEAD": true, "PATCH": true, "POST": true, "PUT": true}

// readClients reads a clients section.
func readClients(c *configuration.Snapshot, s *sectionReader) {
	clients := configuration.Clients{Name: s.name, Site: s.required("site")}
	words := s.list("blocks")
	clients.Blocks = make([]netip.Prefix, 0, len(words))
	for _, w := range words {
		prefix, err := netip.ParsePrefix(w)
		if err != nil || prefix != prefix.Masked() {
			s.addProblem("blocks", "value %q is not a CIDR block such as 10.1.0.0/16", w)
			continue
		}
		clients.Blocks = append(clients.Blocks, prefix)
	}
	c.Clients = append(c.Clients, clients)
}

// checkReferences reports names that no section defines, and the problems of teams,
// duplicates and slots. It sets the slots of servers that have none of their own.
func (b *builder) checkReferences() {
	c := b.snapshot
	b.checkTeams()
	b.checkUnique()
	check := func(kind, name, key, target string, known bool) {
		if target != "" && !known {
			b.p.addProblem(b.definedIn[kind+"/"+name], key, fmt.Sprintf("%s %q is not defined in the document", key, target))
		}
	}
	_, ok := c.Regions[c.Fleet.StoreRegion]
	check("fleet", "fleet", "storeRegion", c.Fleet.StoreRegion, ok)
	for _, d := range c.Domains {
		_, ok := c.Regions[d.Region]
		check("domain", d.Name, "region", d.Region, ok)
	}
	for _, k := range c.Keys {
		_, ok := c.Organisations[k.Organisation]
		check("key", k.Name, "organisation", k.Organisation, ok)
	}
	for name, v := range c.Servers {
		service, ok := c.Services[v.Service]
		check("server", v.Name, "service", v.Service, ok)
		_, known := c.Domains[v.Domain]
		check("server", v.Name, "domain", v.Domain, known)
		if v.Slots == 0 {
			v.Slots = service.Slots
			c.Servers[name] = v
		}
		if ok && v.Slots > service.Connections {
			b.p.addProblem(b.definedIn["server/"+name], "slots", fmt.Sprintf(
				"%d slots need as many connections, but service %q allows %d", v.Slots, service.Name, service.Connections))
		}
	}
	for _, r := range c.Routes {
		_, ok := c.Services[r.Service]
		check("route", r.Name, "service", r.Service, ok)
		for _, o := range r.Organisations {
			_, ok := c.Organisations[o]
			check("route", r.Name, "organisations", o, ok)
		}
	}
	for _, s := range c.Sites {
		_, ok := c.Domains[s.Domain]
		check("site", s.Name, "domain", s.Domain, ok)
	}
	for _, l := range c.Clients {
		_, ok := c.Sites[l.Site]
		check("clients", l.Name, "site", l.Site, ok)
	}
}
