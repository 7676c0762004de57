package main

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"strings"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/endivelock/endivelock/internal/assembler"
	"github.com/endivelock/endivelock/internal/loader"
	"github.com/endivelock/endivelock/pkg/messenger"
)

// Exit codes.
const (
	codeFailed  = 1
	codeUsage   = 2
	codeRefused = 3
	codeUnknown = 4
)

const (
	// gcPercent lets the heap grow to five times the live heap before it is
	// collected; an entry's live heap is small.
	gcPercent = 400
	// memoryLimitFraction is the runtime's memory limit as a fraction of the entry's
	// memory. Near the limit, the heap is collected however little it has grown.
	memoryLimitFraction = 0.6
)

// exitCode returns the exit code for an error.
func exitCode(err error) int {
	var invalid loader.ValidationErrors
	var usage usageError
	if errors.As(err, &invalid) || errors.As(err, &usage) {
		return codeUsage
	}
	var problem messenger.Problem
	if !errors.As(err, &problem) {
		return codeFailed
	}
	switch problem.Outcome {
	case "not-run":
		return codeRefused
	case "unknown":
		return codeUnknown
	}
	return codeFailed
}

// usageError reports bad arguments.
type usageError struct{ cause error }

// Error returns the text of the cause.
func (u usageError) Error() string { return u.cause.Error() }

// Unwrap returns the cause.
func (u usageError) Unwrap() error { return u.cause }

var _ error = usageError{}

type serveCommand struct {
	Config string `arg:"--config,required" help:"settings file"`
}

func (c *serveCommand) run(ctx context.Context) error {
	s, err := loader.Load(c.Config)
	if err != nil {
		return err
	}
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
		debug.SetMemoryLimit(int64(memoryLimitFraction * float64(s.Memory<<20)))
	}
	logger := newLogger(s)
	entry := assembler.New(s, logger)
	group, groupCtx := errgroup.WithContext(ctx)
	group.Go(func() error {
		c.reload(groupCtx, entry, s, logger)
		return nil
	})
	group.Go(func() error {
		err := entry.Run(ctx)
		if err == nil {
			return errStopped
		}
		return err
	})
	if err := group.Wait(); !errors.Is(err, errStopped) {
		return err
	}
	return nil
}

// errStopped cancels the context of the errgroup after a graceful stop.
var errStopped = errors.New("entry stopped")

func newLogger(s loader.Settings) *logrus.Logger {
	logger := logrus.New()
	logger.SetOutput(os.Stderr)
	configureLogger(logger, s)
	return logger
}

func configureLogger(logger *logrus.Logger, s loader.Settings) {
	logger.SetLevel(s.Log.Level)
	logger.SetFormatter(&logrus.JSONFormatter{})
	if s.Log.Format == "text" {
		logger.SetFormatter(&logrus.TextFormatter{})
	}
}

// reload reloads the settings at SIGHUP. It applies those that can change while the
// entry runs and logs the names of the changed ones that need a restart.
func (c *serveCommand) reload(ctx context.Context, entry *assembler.Entry, s loader.Settings, logger *logrus.Logger) {
	onHangup(ctx, func() {
		changed, err := loader.Load(c.Config)
		if err != nil {
			logger.WithError(err).Error("could not reload the settings")
			return
		}
		if names := s.RestartRequired(changed); len(names) > 0 {
			logger.Warn("changed settings take effect only after a restart: " + strings.Join(names, ", "))
		}
		entry.SetLimits(changed)
		configureLogger(logger, changed)
		logger.Info("settings reloaded")
	})
}

// onHangup calls a function at each SIGHUP until the context ends.
func onHangup(ctx context.Context, reload func()) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			reload()
		}
	}
}
