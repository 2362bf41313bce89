// Command rig-3 plays the scripted cases of the third review: it starts real front processes with stand-ins of the
// platform, and checks one rule from what clients and upstreams see.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	held, broken, failed = 0, 1, 2
)

// cases holds the cases by their names. Each returns whether its rule held.
var cases = map[string]func(binary, record string, trouble bool) (bool, error){
	"late-reader": lateReader,
	"slow-caller": slowCaller,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig-3 CASE BINARY RECORD")
		os.Exit(failed)
	}
	ok, err := cases[os.Args[1]](os.Args[2], os.Args[3], os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		os.Exit(failed)
	case !ok:
		fmt.Println("the rule was broken")
		os.Exit(broken)
	}
	fmt.Println("the rule held")
	os.Exit(held)
}
