// Command measure runs measurements, the comparison of policies and the soak. It
// is not part of the product.
package main

import (
	"os"

	"tamarackrun/internal/program/measure"
	"tamarackrun/internal/program/measure/policy"
	"tamarackrun/internal/program/measure/sweep"
	"tamarackrun/internal/standin/fleet"
	"tamarackrun/internal/standin/path"
	"tamarackrun/internal/standin/soak"
)

func main() {
	os.Exit(measure.Run(os.Args[1:], os.Stdout, os.Stderr, fleet.Identities, path.NewCommand(), soak.NewCommand(), policy.NewCommand(),
		sweep.NewCommand()))
}
