// Command snowjunction is the courier daemon: it accepts messages from clients, stores them in its
// journal and delivers them to targets as the decision module decides. Without arguments it runs the
// courier, as the deploy file does. Other commands check the configuration, run tests and
// measurements, and manage plug-ins.
package main

import (
	"errors"
	"fmt"
	"log/slog"
	"os"
	"runtime"
	"runtime/debug"
	"time"

	"github.com/alecthomas/kong"

	"snowjunction/internal/daemon"
	"snowjunction/internal/demo"
	"snowjunction/internal/measure"
	"snowjunction/internal/standin"
)

// Exit codes; docs/commands.md lists them.
const (
	exitFailed  = 1 // the start failed, or a run did not give the expected result
	exitUsage   = 2 // the command line is invalid
	exitMistake = 3 // check found mistakes in configuration, operator files or plug-ins
)

// programDescription is the description in the help text.
const programDescription = `A courier daemon: accepts messages, stores them in a journal and delivers them.

Without a command it runs the courier, configured by GW_CONFIG (a file), GW_STATE
(a persistent folder) and the operator files under deploy/.

Exit codes: 0 success, 1 failure, 2 invalid command line, 3 check found mistakes.`

// globals are the flags of every command.
type globals struct {
	LogFormat string `enum:"text,json" default:"text" env:"SNOWJUNCTION_LOG_FORMAT" help:"Format of log lines: ${enum}."`
	LogLevel  string `enum:"debug,info,warn,error" default:"info" env:"SNOWJUNCTION_LOG_LEVEL" help:"Minimum level of log lines: ${enum}."`
}

// pluginBudgetOverride replaces the time budgets of plug-ins. Only tests set it; zero means that the
// budgets apply.
var pluginBudgetOverride time.Duration

// answerSettleOverride replaces how long connections to targets rest between calls. Only tests set it;
// zero keeps the time.
var answerSettleOverride time.Duration

// options returns the daemon's options for this process.
func (g globals) options() daemon.Options {
	o := daemon.Options{
		Env: os.Getenv, Log: os.Stderr, LogFormat: g.LogFormat, Host: pluginHostCommand(),
		PluginBudget: pluginBudgetOverride, AnswerSettleTime: answerSettleOverride,
	}
	_ = o.LogLevel.UnmarshalText([]byte(g.LogLevel)) // no error is possible: kong has validated it
	return o
}

// commandLine is the root of the command line.
type commandLine struct {
	globals

	Run        runCommand            `cmd:"" default:"1" help:"Run the courier (default)."`
	Check      checkCommand          `cmd:"" help:"Validate all configuration and operator files and print one line per mistake."`
	Demo       demoCommand           `cmd:"" help:"Run a courier against simulated partners on loopback; exit 0 only if every message has exactly one final result."`
	Standin    standinCommand        `cmd:"" help:"Serve simulated partners and a directory on loopback until told to stop."`
	Emulate    emulateCommand        `cmd:"" help:"Simulate couriers, clients and partners in virtual time."`
	Experiment experimentCommand     `cmd:"" help:"Simulate a grid of settings in virtual time and write a report."`
	Load       loadCommand           `cmd:"" help:"Send messages to a courier at a given rate, in an open loop."`
	Measure    measureCommand        `cmd:"" help:"Measure couriers that run in separate processes; takes minutes."`
	Directory  directoryCommand      `cmd:"" help:"Show, compare, export and import the directory lists that couriers store."`
	Plugin     pluginCommand         `cmd:"" help:"Create, check and try plug-ins."`
	Host       pluginHostCommandLine `cmd:"" name:"plugin-host" hidden:""`
	Version    versionCommand        `cmd:"" help:"Print the revision and toolchain of this build."`
}

// runCommand runs the courier.
type runCommand struct{}

func (runCommand) Run(g *globals) error { return daemon.Run(g.options()) }

// checkCommand validates the configuration and all operator files.
type checkCommand struct{}

// exitStatus is an error that ends the process with this exit code and prints no message.
type exitStatus int

func (e exitStatus) Error() string { return fmt.Sprintf("exit %d", int(e)) }

func (checkCommand) Run(g *globals) error {
	o := g.options()
	o.LogLevel = slog.LevelError
	mistakes, notes := daemon.Check(o)
	for _, mistake := range mistakes {
		fmt.Println(mistake)
	}
	if len(mistakes) > 0 {
		return exitStatus(exitMistake)
	}
	for _, n := range notes {
		fmt.Println(n)
	}
	fmt.Println("no mistakes")
	return nil
}

// demoCommand runs a courier against simulated partners and checks the results.
type demoCommand struct {
	Messages int           `default:"400" help:"Number of messages to send."`
	Over     time.Duration `default:"8s" help:"Duration over which the messages are sent."`
	Seed     uint64        `default:"1" help:"Seed of the random choices."`
}

func (d demoCommand) Run() error {
	exe, err := os.Executable()
	if err != nil {
		return err
	}
	return demo.Run(demo.Options{Exe: exe, Messages: d.Messages, Over: d.Over, Seed: d.Seed, Out: os.Stdout})
}

// standinCommand serves simulated partners and a directory.
type standinCommand struct {
	standin.Population
}

func (s standinCommand) Run() error { return standin.Serve(s.Population, os.Stdin, os.Stdout) }

// measureCommand groups the measurements.
type measureCommand struct {
	Directory directoryMeasure `cmd:"" help:"Measure starts while the directory is unreachable, and the state that restarts restore."`
	Emulator  emulatorCommand  `cmd:"" help:"Measure the cost of emulator events by number of destinations."`
	Idle      idleCommand      `cmd:"" help:"Measure the cost of idle destinations, and how fast they load."`
	Hostile   hostileCommand   `cmd:"" help:"Deliver ten thousand messages with hostile plug-ins active; exit 0 only if all invariants hold."`
	Plugins   pluginsCommand   `cmd:"" help:"Measure the cost of plug-ins, and the effect of an endless loop in one on other flows."`
	Scale     scaleCommand     `cmd:"" help:"Measure the cost of each role by fleet size, with real and simulated couriers."`
	Start     startCommand     `cmd:"" help:"Measure each step of process starts with full state folders, one at a time and in parallel."`
	Upgrade   upgradeCommand   `cmd:"" help:"Measure upgrades from process to process under load; exit 0 only if nothing is lost."`
}

// directoryMeasure runs measure directory.
type directoryMeasure struct{ measure.Directory }

func (m directoryMeasure) Run() (err error) {
	if m.Exe, err = os.Executable(); err == nil {
		_, err = m.Directory.Run(os.Stdout)
	}
	return err
}

// emulatorCommand runs measure emulator.
type emulatorCommand struct{ measure.Emulator }

func (m emulatorCommand) Run() error {
	_, err := m.Emulator.Run(os.Stdout)
	return err
}

// hostileCommand runs measure hostile.
type hostileCommand struct{ measure.Hostile }

func (m hostileCommand) Run() (err error) {
	if m.Exe, err = os.Executable(); err == nil {
		err = m.Hostile.Run(os.Stdout)
	}
	return err
}

// pluginsCommand runs measure plugins.
type pluginsCommand struct{ measure.Plugins }

func (m pluginsCommand) Run() (err error) {
	if m.Exe, err = os.Executable(); err == nil {
		_, err = m.Plugins.Run(os.Stdout)
	}
	return err
}

// startCommand runs measure start.
type startCommand struct{ measure.Start }

func (m startCommand) Run() (err error) {
	if m.Exe, err = os.Executable(); err == nil {
		_, err = m.Start.Run(os.Stdout)
	}
	return err
}

// scaleCommand runs measure scale.
type scaleCommand struct{ measure.Scale }

func (m scaleCommand) Run() (err error) {
	if m.Exe, err = os.Executable(); err == nil {
		err = m.Scale.Run(os.Stdout)
	}
	return err
}

// upgradeCommand runs measure upgrade.
type upgradeCommand struct{ measure.Upgrade }

func (m upgradeCommand) Run() (err error) {
	if m.Exe, err = os.Executable(); err == nil {
		err = m.Upgrade.Run(os.Stdout)
	}
	return err
}

// idleCommand runs measure idle.
type idleCommand struct{ measure.Idle }

func (m idleCommand) Run() (err error) {
	if m.Exe, err = os.Executable(); err == nil {
		_, err = m.Idle.Run(os.Stdout)
	}
	return err
}

// versionCommand prints the revision and toolchain of this build.
type versionCommand struct{}

func (versionCommand) Run() error {
	fmt.Println("snowjunction " + buildVersion())
	return nil
}

// buildVersion returns the VCS revision, toolchain and platform of this build.
func buildVersion() string {
	revision, dirty := "unknown", ""
	if info, ok := debug.ReadBuildInfo(); ok {
		for _, s := range info.Settings {
			switch {
			case s.Key == "vcs.revision":
				revision = s.Value
			case s.Key == "vcs.modified" && s.Value == "true":
				dirty = " with uncommitted changes"
			}
		}
	}
	return fmt.Sprintf("%s%s (%s %s/%s)", revision, dirty, runtime.Version(), runtime.GOOS, runtime.GOARCH)
}

func main() {
	var c commandLine
	parser := kong.Must(&c, kong.Name("snowjunction"), kong.Description(programDescription), kong.UsageOnError(),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}), kong.Bind(&c.globals),
		kong.Vars{"policies": policyNames()})
	ctx, err := parser.Parse(os.Args[1:])
	if err != nil {
		fmt.Fprintln(os.Stderr, "snowjunction:", err)
		os.Exit(exitUsage)
	}
	var code exitStatus
	switch err := ctx.Run(); {
	case err == nil:
	case errors.As(err, &code):
		os.Exit(int(code))
	default:
		fmt.Fprintln(os.Stderr, "snowjunction:", err)
		os.Exit(exitFailed)
	}
}
