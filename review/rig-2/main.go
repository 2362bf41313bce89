// Command rig-2 plays the scripted cases of the review against processes of tamarackrun. It runs the platform's store and
// the callers itself, and starts the backend servers and the instances as processes.
package main

import (
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"time"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

// cases holds the cases by their names. Each returns an exit code.
var cases = map[string]func(*world) (int, error){
	"poison":    playPoison,
	"stranded":  playStranded,
	"quota":     playQuota,
	"spoiled":   playSpoiled,
	"directory": playDirectory,
}

func isPoison(path string) bool { return strings.Contains(path, poisonMark) }

func main() {
	if len(os.Args) > 1 && os.Args[1] == "server" {
		runServer(os.Args[2:])
		return
	}
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: rig-2 CASE RECORD")
		os.Exit(failed)
	}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		os.Exit(failed)
	}
	os.Exit(playCase(play, os.Args[2], os.Getenv("TROUBLE") != "0"))
}

// runServer runs a backend server until it is killed.
func runServer(arguments []string) {
	flags := flag.NewFlagSet("server", flag.ExitOnError)
	id, address, report := flags.String("id", "", "id"), flags.String("address", "", "IP:PORT"), flags.String("report", "", "file of runs")
	work, crash := flags.Duration("work", 0, "time for a request"), flags.String("crash", "", "when poison ends the server")
	spoiled := flags.Float64("spoiled", 0, "part of the answers that are no response")
	fileName := flags.String("file-name", "", "name of a file in the header of answers")
	slots := flags.Int("slots", 9, "requests at a time")
	_ = flags.Parse(arguments)
	f, err := os.OpenFile(*report, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(failed)
	}
	listener, err := net.Listen("tcp", *address)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(failed)
	}
	s := &server{id: *id, slots: *slots, work: *work, crash: *crash, spoiled: *spoiled, fileName: *fileName, report: f, running: make(chan struct{}, *slots)}
	h := &http.Server{Handler: s, IdleTimeout: 10 * time.Second, ReadHeaderTimeout: 10 * time.Second}
	fmt.Fprintln(os.Stderr, h.Serve(listener))
	os.Exit(failed)
}
