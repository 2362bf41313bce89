package fleet

import (
	"fmt"

	"tamarackrun"
)

// InsecureLink are the settings of section peer for links without TLS.
const InsecureLink = "insecure = yes"

// Settings are the settings of one instance.
type Settings struct {
	Listing tamarackrun.Listing
	// Callers and Control are further lines of their sections; each line ends
	// with a line break.
	Callers, Control string
	// Link has the settings of section peer that concern TLS.
	Link string
	// Platform is IP:PORT.
	Platform string
	LogLevel string
}

const settingsFormat = `[instance]
name = %s
failureDomain = %s
[caller]
address = %s
%s[peer]
address = %s
%s
[control]
address = %s
%s[platform]
url = http://%s
[log]
level = %s
`

// Text returns the content of the settings file.
func (s Settings) Text() string {
	l := s.Listing
	return fmt.Sprintf(settingsFormat, l.Name, l.FailureDomain, l.CallerAddress, s.Callers, l.PeerAddress, s.Link,
		l.ControlAddress, s.Control, s.Platform, s.LogLevel)
}
