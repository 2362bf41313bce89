// Command tamarackrun runs an entry instance and the operators' commands.
package main

import (
	"os"

	"tamarackrun/internal/program/command"
)

func main() { os.Exit(command.Run(os.Args[1:], os.Stdout, os.Stderr)) }
