// Package command implements the command line of the stand-ins.
package command

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"tamarackrun/internal/standin/demo"
	"tamarackrun/internal/standin/platform"
	"tamarackrun/internal/standin/server"
)

// Run runs the command that args name and returns its exit code.
func Run(args []string, out, errOut io.Writer) int {
	root := &cobra.Command{Use: "standin", Short: "Stand-ins for outside systems, and the demo", SilenceUsage: true}
	root.AddCommand(newPlatform(), newServer(), newDemo())
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errOut)
	if root.Execute() != nil {
		return 1
	}
	return 0
}

// serve serves HTTP at the address until SIGTERM or SIGINT.
func serve(address string, handler http.Handler) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	s := &http.Server{Addr: address, Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	context.AfterFunc(ctx, func() { _ = s.Close() })
	if err := s.ListenAndServe(); err != http.ErrServerClosed {
		return err
	}
	return nil
}

func newPlatform() *cobra.Command {
	var address string
	c := &cobra.Command{Use: "platform", Short: "Run the platform stand-in", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return serve(address, platform.New()) }}
	c.Flags().StringVar(&address, "address", "127.0.0.1:7000", "address to listen on")
	return c
}

func newServer() *cobra.Command {
	var address, name string
	var slots, work int
	c := &cobra.Command{Use: "server", Short: "Run a backend server stand-in", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			s := server.New(name, slots)
			s.SetFaults(server.Faults{WorkMillis: work})
			return serve(address, s)
		}}
	c.Flags().StringVar(&address, "address", "127.0.0.1:7500", "address to listen on")
	c.Flags().StringVar(&name, "name", "server", "name in answers")
	c.Flags().IntVar(&slots, "slots", 3, "requests that run at a time")
	c.Flags().IntVar(&work, "work-millis", 5, "time that a request takes")
	return c
}

func newDemo() *cobra.Command {
	d := demo.Demo{}
	c := &cobra.Command{Use: "demo", Short: "Start a deployment, send load, kill and drain, print a table", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			d.Out = c.OutOrStdout()
			ctx, stop := signal.NotifyContext(c.Context(), syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			if err := d.Run(ctx); err != nil {
				return fmt.Errorf("demo failed: %w", err)
			}
			return nil
		}}
	c.Flags().StringVar(&d.Deployment, "deployment", "deployments/sundarban", "directory with document.ini")
	c.Flags().StringVar(&d.Binaries, "binaries", "bin", "directory with the built programs")
	c.Flags().BoolVar(&d.Hold, "hold", false, "keep the deployment running after the load until interrupted")
	c.Flags().DurationVar(&d.Load, "load", 8*time.Second, "how long to send load")
	return c
}
