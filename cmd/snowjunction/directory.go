package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"snowjunction/internal/admin"
	"snowjunction/internal/config"
	"snowjunction/internal/daemon"
	"snowjunction/internal/dircache"
	"snowjunction/internal/dirtool"
)

type directoryCommand struct {
	Show   directoryShow   `cmd:"" help:"What is believed of each endpoint, why and since when."`
	Diff   directoryDiff   `cmd:"" help:"What leads from one list to another; exit 1 if they differ."`
	Export directoryExport `cmd:"" help:"Write the list as JSON in the directory's form."`
	Import directoryImport `cmd:"" help:"Put a list into the folder of a courier that does not run."`
}

// folder is the folder of a courier.
type folder struct {
	State string `env:"GW_STATE" type:"path" placeholder:"FOLDER" help:"The courier's folder that lasts."`
}

func (f folder) dir() (string, error) {
	if f.State == "" {
		return "", errors.New("--state or GW_STATE names the courier's folder")
	}
	return f.State, nil
}

func warn(file string, err error) { fmt.Fprintf(os.Stderr, "%s: %v\n", file, err) }

// operatorDirectory is the operator file for the directory.
func operatorDirectory() (*config.Directory, error) {
	return config.LoadDirectory(daemon.DirectoryFile(os.Getenv))
}

type directoryShow struct {
	folder
	Admin string `placeholder:"SOCKET" help:"Ask a running courier at its admin socket instead."`
	JSON  bool   `help:"As JSON."`
}

func (d directoryShow) Run() error {
	if d.Admin != "" {
		return d.ask()
	}
	dir, err := d.dir()
	if err != nil {
		return err
	}
	s, err := dirtool.Read(dir, warn)
	if err != nil {
		return err
	}
	op, err := operatorDirectory()
	if err != nil {
		return err
	}
	now := time.Now()
	rows := dirtool.Rows(dir, s, op.Confidence.FreshFor, now, warn)
	if d.JSON {
		return json.NewEncoder(os.Stdout).Encode(rows)
	}
	fmt.Printf("generation %d of %s, vouched for %v ago, %d endpoints%s\n", s.Generation, s.Agent,
		now.Sub(s.ConfirmedAt).Round(time.Second), len(s.Entries), map[bool]string{true: ", not all that were listed"}[s.Partial])
	w := tabwriter.NewWriter(os.Stdout, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, "ENDPOINT\tCELL\tADDRESS\tLIFECYCLE\tSTANDING\tWHY\tLEARNT\tLIMIT")
	for _, r := range rows {
		fmt.Fprintf(w, "%s\t%d\t%s\t%s\t%s\t%s\t%s\t%.3g\n", r.InstanceID, r.Cell, r.HostPort, r.Lifecycle, r.Standing, r.Why, r.Learnt, r.Limit)
	}
	return w.Flush()
}

// ask asks a running courier.
func (d directoryShow) ask() error {
	text, err := admin.Ask(d.Admin, "directory")
	if err != nil {
		return err
	}
	if d.JSON {
		fmt.Println(string(text))
		return nil
	}
	var b daemon.DirectoryStatus
	if err := json.Unmarshal(text, &b); err != nil {
		return err
	}
	fmt.Printf("source %s, live %v, vouched for %.0f s ago, %d endpoints\n", b.Source, b.Live, b.ConfirmedAgeS, b.ListedEndpoints)
	for name, s := range b.Conditions {
		fmt.Printf("%s for %.0f s\n", name, s)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, "ENDPOINT\tCELL\tADDRESS\tLIFECYCLE\tSTANDING\tSINCE\tWHY")
	for _, e := range b.Endpoints {
		fmt.Fprintf(w, "%s\t%d\t%s\t%s\t%s\t%.0f s\t%s\n", e.Name, e.Destination, e.Addr, e.Lifecycle, e.Standing, e.SinceS, e.Why)
	}
	return w.Flush()
}

type directoryDiff struct {
	From string `arg:"" type:"path" help:"A courier's folder, a snapshot, or JSON in the directory's form."`
	To   string `arg:"" type:"path" help:"Another."`
}

func (d directoryDiff) Run() error {
	a, err := dirtool.Read(d.From, warn)
	if err != nil {
		return err
	}
	b, err := dirtool.Read(d.To, warn)
	if err != nil {
		return err
	}
	lines := dirtool.Diff(a, b)
	for _, l := range lines {
		fmt.Println(l)
	}
	if len(lines) > 0 {
		return exit(exitFailed)
	}
	return nil
}

type directoryExport struct {
	folder
	File string `arg:"" default:"-" help:"Where it goes; '-' is standard output."`
}

func (d directoryExport) Run() error {
	dir, err := d.dir()
	if err != nil {
		return err
	}
	s, err := dirtool.Read(dir, warn)
	if err != nil {
		return err
	}
	var out io.Writer = os.Stdout
	if d.File != "-" {
		f, err := os.Create(d.File)
		if err != nil {
			return err
		}
		defer f.Close()
		out = f
	}
	return dirtool.Export(s).Write(out)
}

type directoryImport struct {
	folder
	File  string         `arg:"" type:"existingfile" help:"A list in the directory's form, or a snapshot."`
	Age   *time.Duration `help:"How long ago the directory vouched for it; the file's own time, or now, if not given."`
	Agent string         `help:"The address that told it: what is newer than its generation is asked for only there."`
}

func (d directoryImport) Run() error {
	dir, err := d.dir()
	if err != nil {
		return err
	}
	s, err := dirtool.Read(d.File, warn)
	if err != nil {
		return err
	}
	op, err := operatorDirectory()
	if err != nil {
		return err
	}
	if now := time.Now(); d.Age != nil {
		s.ConfirmedAt = now.Add(-*d.Age)
	} else if s.ConfirmedAt.IsZero() {
		s.ConfirmedAt = now
	}
	if d.Agent != "" {
		s.Agent = d.Agent
	}
	o := dircache.Options{Dir: dir, Bytes: op.CacheBytes, Generations: op.Generations, Log: (globals{}).options().Logger()}
	if err := dirtool.Import(dir, s, o); err != nil {
		return err
	}
	fmt.Printf("%d endpoints of generation %d, vouched for %v ago\n", len(s.Entries), s.Generation, time.Since(s.ConfirmedAt).Round(time.Second))
	return nil
}
