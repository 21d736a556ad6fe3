// Command snowjunction is the courier: it takes messages from clients, keeps
// them in its journal and delivers them to targets, as the decision module
// says.
package main

import (
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"snowjunction/internal/config"
	"snowjunction/internal/core"
	"snowjunction/internal/front/platform"
	"snowjunction/internal/net"
	"snowjunction/internal/store"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "snowjunction:", err)
		os.Exit(1)
	}
}

const (
	memoryShare = 0.6 // of the machine's memory, for the heap: the folder's files count too
	descriptors = 32  // besides connections: journal, log, epoll, listeners
	// A planned stop: decisions go on for a while, calls out are waited for,
	// and the process is gone before the platform would kill it.
	decideFor = 1800 * time.Millisecond
	finishFor = 3200 * time.Millisecond
	listenFor = 500 * time.Millisecond
)

func run() error {
	cfg, err := config.Load(os.Getenv)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(1)
	debug.SetMemoryLimit(int64(float64(cfg.Limits.MemoryMB<<20) * memoryShare))
	log := slog.New(slog.NewTextHandler(os.Stderr, nil)).With("courier", cfg.Name)

	journal, left, err := store.Load(store.Options{
		Dir: cfg.State, Bytes: int64(cfg.Limits.DiskMB * 1e6), Log: log,
	})
	if err != nil {
		return err
	}
	defer journal.Close()
	loop := core.NewLoop(time.Now)
	engine, err := net.New(net.Config{Post: loop.Post, Log: log, MaxConns: cfg.Limits.Sockets - descriptors})
	if err != nil {
		return err
	}
	front := platform.New(platform.Config{
		Loop: loop, Engine: engine, Log: log, Listen: cfg.Listen, Discovery: cfg.Discovery,
		Names: cfg.Names, Columns: cfg.Columns, Settings: cfg.Settings,
	})
	courier, err := core.New(core.Config{
		Loop: loop, Log: log, Journal: journal, Settings: cfg.Settings, Fronts: []core.Front{front},
	})
	if err != nil {
		return err
	}
	if err := front.Start(courier, cfg.Known); err != nil {
		return err
	}
	courier.Restore(left)
	log.Info("started", "listen", front.Addr(), "push", "", "restored", courier.Counters.Restored)

	stop := func() { loop.End() }
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1)
	go func() {
		for s := range signals {
			loop.Post(func() {
				if s == syscall.SIGUSR1 {
					log.Info("counters", "n", &courier.Counters, "held", courier.Held(), "connections", engine.Open())
					return
				}
				drain(loop, log, engine, courier, front, stop)
			})
		}
	}()
	loop.Run()
	front.Close()
	log.Info("ended", "n", &courier.Counters, "held", courier.Held(), "journal", journal.Size())
	return nil
}

// drain ends the courier in order: it takes nothing more, lets its clients go,
// finishes what it can and leaves the rest in the journal.
func drain(loop *core.Loop, log *slog.Logger, engine *net.Engine, c *core.Core, f *platform.Front, stop func()) {
	log.Info("draining", "held", c.Held())
	c.Drain()
	f.Drain()
	loop.After(listenFor, engine.Stop)
	loop.After(decideFor, func() { c.Freeze(stop) })
	loop.After(finishFor, stop)
}
