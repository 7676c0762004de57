package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"runtime/debug"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/endivelock/endivelock/internal/conductor"
	"github.com/endivelock/endivelock/internal/formatter"
	"github.com/endivelock/endivelock/internal/loader"
	"github.com/endivelock/endivelock/internal/spooler"
	adapter "github.com/endivelock/endivelock/platform"
)

// scheduleCommand runs an entry that schedules jobs on a cell of the platform.
type scheduleCommand struct {
	Config string `arg:"--config,required" help:"settings file"`
	Check  bool   `arg:"--check" help:"check the settings file and stop"`
}

func (c *scheduleCommand) run(ctx context.Context) error {
	s, err := loader.LoadCell(c.Config)
	if err != nil {
		return err
	}
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
		debug.SetMemoryLimit(int64(memoryLimitFraction * float64(s.Memory<<20)))
	}
	if c.Check {
		fmt.Println(c.Config + ": settings are valid")
		return nil
	}
	spool := spooler.New(os.Stdout)
	logger := logrus.New()
	logger.SetOutput(spool)
	logger.SetFormatter(formatter.JSON{})
	setLogLevel(logger, s)
	entry := newEntry(s, logger, spool)
	writerCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	var writer errgroup.Group
	writer.Go(func() error { return spool.Serve(writerCtx) })
	group, groupCtx := errgroup.WithContext(ctx)
	group.Go(func() error {
		c.reload(groupCtx, s, logger)
		return nil
	})
	group.Go(func() error {
		if err := entry.Run(ctx); err != nil {
			logger.WithError(err).Error("entry ended")
			return err
		}
		return errStopped
	})
	err = group.Wait()
	stop()
	_ = writer.Wait()
	if errors.Is(err, errStopped) {
		return nil
	}
	return err
}

// newEntry returns an entry that is connected to the adapters of the platform.
func newEntry(s loader.Cell, logger *logrus.Logger, spool *spooler.Spooler) *conductor.Entry {
	log := logger.WithField("entry", s.Name)
	entry := conductor.New(s, adapter.NewPorts(s.Platform, s.Advice), log)
	front := &adapter.Handler{
		Config: entry.Config, Available: entry.Available, Stopping: entry.Stopping, Outage: entry.Outage,
		Acceptor: entry.Acceptor, Inspector: entry.Inspector, Logger: log, Registry: entry.Registry,
		Authenticator: entry,
	}
	entry.Callers, entry.Ready = front, http.HandlerFunc(front.Ready)
	dropped := metrics.NewFunctionalGauge(spool.Dropped)
	if err := entry.Registry.Register("log.dropped", dropped); err != nil {
		panic("metric log.dropped is registered twice")
	}
	return entry
}

// setLogLevel sets the level of the log. It panics on an invalid level, which
// loader.LoadCell rules out.
func setLogLevel(logger *logrus.Logger, s loader.Cell) {
	level, err := logrus.ParseLevel(s.Level)
	if err != nil {
		panic("log level was not validated: " + err.Error())
	}
	logger.SetLevel(level)
}

// reload reloads the settings at SIGHUP. Only the level of the log can change while
// the entry runs. The field restart of the log message says whether other settings
// differ, which take effect only after a restart.
func (c *scheduleCommand) reload(ctx context.Context, s loader.Cell, logger *logrus.Logger) {
	onHangup(ctx, func() {
		changed, err := loader.LoadCell(c.Config)
		if err != nil {
			logger.WithError(err).Error("could not reload the settings")
			return
		}
		setLogLevel(logger, changed)
		same := changed
		same.Level = s.Level
		logger.WithField("restart", same != s).Info("settings reloaded")
	})
}
