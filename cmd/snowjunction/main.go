// Command snowjunction is the courier: it takes messages from clients, keeps
// them in its journal and delivers them to targets, as the decision module
// says. Without arguments it runs as the deploy file starts it.
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
	exitFailed  = 1 // a start that failed, or a run that did not show what it should
	exitUsage   = 2 // the command line is wrong
	exitMistake = 3 // check found mistakes
)

const about = `A courier daemon: takes messages, keeps them in a journal, delivers each once.

Without a command it runs the courier, told by GW_CONFIG (a file), GW_STATE (a
folder that lasts) and the operator files under deploy/.

Exit codes: 0 done, 1 failed, 2 wrong command line, 3 check found mistakes.`

// globals are the flags of every command.
type globals struct {
	LogFormat string `enum:"text,json" default:"text" env:"SNOWJUNCTION_LOG_FORMAT" help:"Form of log lines: ${enum}."`
	LogLevel  string `enum:"debug,info,warn,error" default:"info" env:"SNOWJUNCTION_LOG_LEVEL" help:"Least level of log lines: ${enum}."`
}

// unhurried is set by tests alone: how long plug-ins have, in place of their budgets.
var unhurried time.Duration

func (g globals) options() daemon.Options {
	o := daemon.Options{Env: os.Getenv, Log: os.Stderr, LogFormat: g.LogFormat, Host: hostCommand(), PluginBudget: unhurried}
	_ = o.LogLevel.UnmarshalText([]byte(g.LogLevel)) // kong has checked it
	return o
}

type commandLine struct {
	globals

	Run        runCommand        `cmd:"" default:"1" help:"Run the courier; the default."`
	Check      checkCommand      `cmd:"" help:"Read all configuration and operator files and print a line for each mistake."`
	Demo       demoCommand       `cmd:"" help:"Play a courier against stand-in partners on loopback; exit 0 only if every message has its one end."`
	Standin    standinCommand    `cmd:"" help:"Serve stand-in partners and a directory on loopback until told to end."`
	Emulate    emulateCommand    `cmd:"" help:"Play couriers, clients and partners in virtual time."`
	Experiment experimentCommand `cmd:"" help:"Play a grid of settings in virtual time and report on it."`
	Load       loadCommand       `cmd:"" help:"Hand messages to a courier at a stated rate, in an open loop."`
	Measure    measureCommand    `cmd:"" help:"Measure a courier in a process of its own; takes minutes."`
	Directory  directoryCommand  `cmd:"" help:"Show, compare and carry the lists that couriers keep."`
	Plugin     pluginCommand     `cmd:"" help:"Make, check and try plug-ins."`
	Host       hostCommandLine   `cmd:"" name:"plugin-host" hidden:""`
	Version    versionCommand    `cmd:"" help:"Print what this program is built from."`
}

type runCommand struct{}

func (runCommand) Run(g *globals) error { return daemon.Run(g.options()) }

type checkCommand struct{}

// exit is an end with a code and nothing more to say.
type exit int

func (e exit) Error() string { return fmt.Sprintf("exit %d", int(e)) }

func (checkCommand) Run(g *globals) error {
	o := g.options()
	o.LogLevel = slog.LevelError
	mistakes, notes := daemon.Check(o)
	for _, m := range mistakes {
		fmt.Println(m)
	}
	if len(mistakes) > 0 {
		return exit(exitMistake)
	}
	for _, n := range notes {
		fmt.Println(n)
	}
	fmt.Println("no mistakes")
	return nil
}

type demoCommand struct {
	Messages int           `default:"400" help:"How many messages are handed in."`
	Over     time.Duration `default:"8s" help:"In how long."`
	Seed     uint64        `default:"1" help:"Decides what is drawn."`
}

func (d demoCommand) Run() error {
	exe, err := os.Executable()
	if err != nil {
		return err
	}
	return demo.Run(demo.Options{Exe: exe, Messages: d.Messages, Over: d.Over, Seed: d.Seed, Out: os.Stdout})
}

type standinCommand struct {
	standin.Population
}

func (s standinCommand) Run() error { return standin.Serve(s.Population, os.Stdin, os.Stdout) }

type measureCommand struct {
	Directory directoryMeasure `cmd:"" help:"Starts with the directory down, and what restarts remember."`
	Emulator  emulatorCommand  `cmd:"" help:"What the emulator's events cost, by the number of destinations."`
	Idle      idleCommand      `cmd:"" help:"What idle destinations cost, and how they wake."`
	Hostile   hostileCommand   `cmd:"" help:"Ten thousand messages past hostile plug-ins; exit 0 only if every rule holds."`
	Plugins   pluginsCommand   `cmd:"" help:"What plug-ins cost, and what a looping one does to other flows."`
	Scale     scaleCommand     `cmd:"" help:"A fleet of real couriers among hollow ones: what each role costs, by size."`
	Start     startCommand     `cmd:"" help:"Starts of processes with full folders, step by step, one by one and at once."`
	Upgrade   upgradeCommand   `cmd:"" help:"Processes that follow one another under load; exit 0 only if nothing is lost."`
}

type directoryMeasure struct{ measure.Directory }

func (m directoryMeasure) Run() (err error) {
	if m.Exe, err = os.Executable(); err == nil {
		_, err = m.Directory.Run(os.Stdout)
	}
	return err
}

type emulatorCommand struct{ measure.Emulator }

func (m emulatorCommand) Run() error {
	_, err := m.Emulator.Run(os.Stdout)
	return err
}

type hostileCommand struct{ measure.Hostile }

func (m hostileCommand) Run() (err error) {
	if m.Exe, err = os.Executable(); err == nil {
		err = m.Hostile.Run(os.Stdout)
	}
	return err
}

type pluginsCommand struct{ measure.Plugins }

func (m pluginsCommand) Run() (err error) {
	if m.Exe, err = os.Executable(); err == nil {
		_, err = m.Plugins.Run(os.Stdout)
	}
	return err
}

type startCommand struct{ measure.Start }

func (m startCommand) Run() (err error) {
	if m.Exe, err = os.Executable(); err == nil {
		_, err = m.Start.Run(os.Stdout)
	}
	return err
}

type scaleCommand struct{ measure.Scale }

func (m scaleCommand) Run() (err error) {
	if m.Exe, err = os.Executable(); err == nil {
		err = m.Scale.Run(os.Stdout)
	}
	return err
}

type upgradeCommand struct{ measure.Upgrade }

func (m upgradeCommand) Run() (err error) {
	if m.Exe, err = os.Executable(); err == nil {
		err = m.Upgrade.Run(os.Stdout)
	}
	return err
}

type idleCommand struct{ measure.Idle }

func (m idleCommand) Run() (err error) {
	if m.Exe, err = os.Executable(); err == nil {
		_, err = m.Idle.Run(os.Stdout)
	}
	return err
}

type versionCommand struct{}

func (versionCommand) Run() error {
	fmt.Println("snowjunction " + build())
	return nil
}

// build names what the program is built from.
func build() string {
	revision, dirty := "unknown", ""
	if info, ok := debug.ReadBuildInfo(); ok {
		for _, s := range info.Settings {
			switch {
			case s.Key == "vcs.revision":
				revision = s.Value
			case s.Key == "vcs.modified" && s.Value == "true":
				dirty = " with changes"
			}
		}
	}
	return fmt.Sprintf("%s%s (%s %s/%s)", revision, dirty, runtime.Version(), runtime.GOOS, runtime.GOARCH)
}

func main() {
	var c commandLine
	parser := kong.Must(&c, kong.Name("snowjunction"), kong.Description(about), kong.UsageOnError(),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}), kong.Bind(&c.globals),
		kong.Vars{"policies": policyNames()})
	ctx, err := parser.Parse(os.Args[1:])
	if err != nil {
		fmt.Fprintln(os.Stderr, "snowjunction:", err)
		os.Exit(exitUsage)
	}
	var code exit
	switch err := ctx.Run(); {
	case err == nil:
	case errors.As(err, &code):
		os.Exit(int(code))
	default:
		fmt.Fprintln(os.Stderr, "snowjunction:", err)
		os.Exit(exitFailed)
	}
}
