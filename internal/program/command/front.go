package command

import (
	"bytes"
	"context"
	"io"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"syscall"
	"time"

	"github.com/phuslu/log"
	"github.com/spf13/cobra"

	"tamarackrun/internal/program/front"
	"tamarackrun/internal/state/sla"
	"tamarackrun/platform"
)

const (
	// settingsPollInterval is how often the settings file is compared with its
	// last content, since it may change without a signal.
	settingsPollInterval = 5 * time.Second
	// logQueueSize is the number of log lines that may wait to be written.
	// Further lines are dropped, so that logging never delays a request.
	logQueueSize = 4096
	// defaultMetricsPort is the metrics port in deploy/system.toml.
	defaultMetricsPort = 9464
	// collectFraction is the part of the machine's memory at which the garbage
	// collector runs more often. The platform kills processes at the whole.
	collectFraction = 0.7
)

func newFront() *cobra.Command {
	var metricsPort uint16
	var bindServers bool
	c := &cobra.Command{
		Use:   "front",
		Short: "Run an entry instance on the users' platform",
		Long:  "Run an entry instance on the users' platform. The variable " + platform.SettingsVariable + " holds the path of the settings file.",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			// A SIGHUP ends a process that does not catch it, and may come right after the start.
			hangups := make(chan os.Signal, 1)
			signal.Notify(hangups, syscall.SIGHUP)
			defer signal.Stop(hangups)
			path := os.Getenv(platform.SettingsVariable)
			s, err := platform.LoadSettings(path)
			if err != nil {
				return &codedError{exitInvalid, err}
			}
			return runFront(path, s, metricsPort, bindServers, hangups, c.OutOrStdout())
		},
	}
	c.Flags().Uint16Var(&metricsPort, "metrics-port", defaultMetricsPort, "port of the metrics")
	c.Flags().BoolVar(&bindServers, "bind-server-connections", false,
		"open connections to backend servers from the IP address in the settings, for machines that have several")
	return c
}

// runFront runs an instance on the users' platform until SIGTERM or SIGINT.
func runFront(path string, s platform.Settings, metricsPort uint16, bindServers bool, hangups <-chan os.Signal, out io.Writer) error {
	writer := &log.AsyncWriter{Writer: log.IOWriter{Writer: out}, ChannelSize: logQueueSize, DiscardOnFull: true}
	defer func() { _ = writer.Close() }()
	logger := &log.Logger{Level: log.InfoLevel, Writer: writer}
	store, cleanup := platform.NewStore(s.StoreAddress, s.Regions)
	defer cleanup()
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(collectFraction * float64(s.MemoryBytes)))
	}
	f := front.New(s.Terms)
	f.Identity, f.BindServerConnections = s.Identity, bindServers
	f.Identity.MetricsAddress = net.JoinHostPort(s.IP, strconv.Itoa(int(metricsPort)))
	f.Store, f.HeaderCodec, f.Logger = store, platform.HeaderCodec{}, logger
	f.LookupHandler, f.ReadyHandler = platform.NewLookupHandler, platform.NewReadyHandler
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	f.FollowSettings = func(ctx context.Context, reload func(sla.Terms), reject func(error)) {
		followSettings(ctx, path, hangups, reload, reject)
	}
	return f.Run(ctx)
}

// followSettings reloads the terms after a value of hangups or when the settings file has
// changed. Changes of addresses need a restart.
func followSettings(ctx context.Context, path string, hangups <-chan os.Signal, reload func(sla.Terms), reject func(error)) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	// If the file cannot be read, the first comparison reports the error.
	last, _ := os.ReadFile(path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			last = nil
		case <-ticker.C:
		}
		text, err := os.ReadFile(path)
		if err == nil && bytes.Equal(text, last) {
			continue
		}
		last = text
		s, err := platform.LoadSettings(path)
		if err != nil {
			reject(err)
			continue
		}
		reload(s.Terms)
	}
}
