package fleet

import (
	"fmt"

	"tamarackrun"
)

// InsecurePeer is the TLS setting of section peer for connections without TLS.
const InsecurePeer = "insecure = yes"

// Settings are the settings of one instance.
type Settings struct {
	Listing tamarackrun.Listing
	// CallerLines and ControlLines are further lines of the sections caller and
	// control. Each line ends with a line break.
	CallerLines, ControlLines string
	// PeerTLS holds the TLS settings of section peer.
	PeerTLS string
	// Platform is the platform's address, IP:PORT.
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
	return fmt.Sprintf(settingsFormat, l.Name, l.FailureDomain, l.CallerAddress, s.CallerLines, l.PeerAddress, s.PeerTLS,
		l.ControlAddress, s.ControlLines, s.Platform, s.LogLevel)
}
