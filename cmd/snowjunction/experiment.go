package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"syscall"

	"github.com/cespare/xxhash/v2"

	"snowjunction/internal/experiment"
)

// experimentCommand runs an experiment in the emulator and writes its report.
type experimentCommand struct {
	File  string `arg:"" default:"list" help:"Name of a built-in experiment, or a file; 'list' prints the built-in ones."`
	Out   string `placeholder:"FOLDER" help:"Folder for results, from which an interrupted run resumes; experiment-NAME by default."`
	Jobs  int    `help:"Number of parallel runs; the number of cores by default."`
	Seeds int    `help:"Number of seeds, in place of the number in the file."`
	Fresh bool   `help:"Discard earlier results in the folder."`
}

func (e experimentCommand) Run() error {
	if e.File == "list" {
		return printNames(experiment.Library.Names(), func(name string) (string, error) {
			f, _, err := experiment.Read(name)
			if err != nil {
				return "", err
			}
			return f.About, nil
		})
	}
	f, dir, err := experiment.Read(e.File)
	if err != nil {
		return err
	}
	if e.Seeds > 0 {
		f.Seeds = e.Seeds
	}
	plan, err := experiment.NewPlan(f, dir)
	if err != nil {
		return err
	}
	if e.Out == "" {
		e.Out = "experiment-" + f.Name
	}
	if e.Jobs <= 0 {
		e.Jobs = runtime.GOMAXPROCS(0)
	}
	buildHash, err := fingerprint()
	if err != nil {
		return err
	}
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	showProgress := newProgressLine()
	results, err := experiment.Execute(ctx, plan, experiment.Options{
		Out: e.Out, Build: buildHash, Jobs: e.Jobs, Fresh: e.Fresh,
		Progress: func(done, of int) { showProgress("%s: %d of %d runs", f.Name, done, of) },
	})
	showProgress("")
	if err != nil {
		return fmt.Errorf("%w; the results of finished runs are kept in %s", err, e.Out)
	}
	s, err := experiment.Write(plan, results, e.Out)
	if err != nil {
		return err
	}
	if err := s.Table(os.Stdout); err != nil {
		return err
	}
	fmt.Println(filepath.Join(e.Out, "report.html"))
	return nil
}

// fingerprint returns a hash of this executable. The VCS revision is not enough: two builds with
// different uncommitted changes have the same revision.
func fingerprint() (string, error) {
	exe, err := os.Executable()
	if err != nil {
		return "", err
	}
	f, err := os.Open(exe)
	if err != nil {
		return "", err
	}
	defer f.Close()
	h := xxhash.New()
	if _, err := io.Copy(h, f); err != nil {
		return "", err
	}
	return fmt.Sprintf("%016x", h.Sum64()), nil
}
