package experiment

import (
	"bytes"
	"encoding/json"
	"fmt"
	"html/template"
	"os"
	"path/filepath"
	"strings"
)

var reportTemplate = template.Must(template.New("").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>{{.File.Name}}</title>
<style>
body{font:15px/1.45 sans-serif;max-width:75em;margin:2em auto;padding:0 1em}
table{border-collapse:collapse;font-size:13px;display:block;overflow-x:auto}
th,td{border:1px solid #bbb;padding:.2em .5em;text-align:right;white-space:nowrap}
svg{max-width:100%;height:auto}pre{background:#f3f3f3;padding:1em;overflow-x:auto}
</style></head><body>
<h1>{{.File.Name}}</h1>
<p>{{.File.About}}</p>
{{with .File.Conclusion}}<h2>Conclusion</h2><p>{{.}}</p>{{end}}
{{range .Plots}}<figure>{{.}}</figure>
{{end}}<h2>Figures</h2>
<p>Mean over {{.File.Seeds}} seeds with half its 95% interval (Student's t).{{with .File.Baseline}}
Δ is the difference to the first value of “{{.}}”, seed by seed; * where its interval does not hold 0.{{end}}</p>
<table><tr>{{range .Head}}<th>{{.}}</th>{{end}}</tr>
{{range .Rows}}<tr>{{range .}}<td>{{.}}</td>{{end}}</tr>
{{end}}</table>
<h2>Experiment</h2>
<pre>{{.Source}}</pre>
</body></html>
`))

// Report returns a self-contained HTML page with the plots embedded.
func (s *Summary) Report(svg [][]byte) ([]byte, error) {
	source, err := json.MarshalIndent(s.File, "", "  ")
	if err != nil {
		return nil, err
	}
	head, rows := s.cells()
	var plots []template.HTML
	for _, b := range svg {
		if i := bytes.Index(b, []byte("<svg")); i > 0 {
			b = b[i:] // drop the XML prolog, which is invalid inside HTML
		}
		plots = append(plots, template.HTML(b)) //nolint:gosec // drawn above, its texts escaped there
	}
	var b bytes.Buffer
	err = reportTemplate.Execute(&b, map[string]any{
		"File": s.File, "Plots": plots, "Head": head, "Rows": rows, "Source": string(source),
	})
	return b.Bytes(), err
}

// Write writes all results of an experiment into a directory: runs.csv, summary.csv, summary.json,
// each plot as SVG and PNG, and report.html.
func Write(p *Plan, results []map[string]float64, dir string) (*Summary, error) {
	s := Summarize(p, results)
	files := map[string][]byte{}
	var err error
	if files["runs.csv"], err = RunsCSV(p, results); err != nil {
		return nil, err
	}
	if files["summary.csv"], err = s.CSV(); err != nil {
		return nil, err
	}
	text, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return nil, err
	}
	files["summary.json"] = append(text, '\n')
	var drawn [][]byte
	for i, plot := range p.File.Plots {
		name := fmt.Sprintf("%d-%s", i+1, strings.ReplaceAll(plot.Y, "_", "-"))
		for _, format := range []string{"svg", "png"} {
			b, err := s.Draw(plot, format)
			if err != nil {
				return nil, err
			}
			files[name+"."+format] = b
			if format == "svg" {
				drawn = append(drawn, b)
			}
		}
	}
	if files["report.html"], err = s.Report(drawn); err != nil {
		return nil, err
	}
	for name, b := range files {
		if err := os.WriteFile(filepath.Join(dir, name), b, 0o644); err != nil {
			return nil, err
		}
	}
	return s, nil
}
