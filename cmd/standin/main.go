// Command standin runs the stand-ins for the platform and backend servers, and the
// demo. It is not part of the product.
package main

import (
	"os"

	"tamarackrun/internal/standin/command"
)

func main() { os.Exit(command.Run(os.Args[1:], os.Stdout, os.Stderr)) }
