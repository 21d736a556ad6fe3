package experiment

import (
	"bytes"
	"encoding/csv"
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"

	"snowjunction/internal/emulate"
)

func formatNumber(x float64) string { return strconv.FormatFloat(x, 'g', -1, 64) }

// RunsCSV returns one CSV line for each run with all measures, not only those that the file names.
func RunsCSV(p *Plan, results []map[string]float64) ([]byte, error) {
	var b bytes.Buffer
	w := csv.NewWriter(&b)
	head := []string{}
	for _, a := range p.File.Axes {
		head = append(head, a.Name)
	}
	_ = w.Write(append(append(head, "seed"), emulate.MeasureNames()...))
	for i, r := range p.Runs {
		var row []string
		for a, v := range p.Cells[r.Cell] {
			row = append(row, p.File.Axes[a].Label(v))
		}
		row = append(row, strconv.FormatUint(r.Seed, 10))
		for _, m := range emulate.MeasureNames() {
			row = append(row, formatNumber(results[i][m]))
		}
		_ = w.Write(row)
	}
	w.Flush()
	return b.Bytes(), w.Error()
}

// CSV returns one CSV line for each cell: the mean and interval half-width of each measure and of
// its difference to the baseline.
func (s *Summary) CSV() ([]byte, error) {
	var b bytes.Buffer
	w := csv.NewWriter(&b)
	head := append([]string{}, s.Axes...)
	for _, m := range s.File.Measures {
		head = append(head, m, m+"_ci95")
		if s.File.Baseline != "" {
			head = append(head, m+"_against", m+"_against_ci95")
		}
	}
	_ = w.Write(head)
	for _, r := range s.Rows {
		row := append([]string{}, r.Labels...)
		for _, m := range s.File.Measures {
			row = append(row, formatNumber(r.Measures[m].Mean), formatNumber(r.Measures[m].HalfWidth))
			if s.File.Baseline == "" {
				continue
			}
			if d, ok := r.Differences[m]; ok {
				row = append(row, formatNumber(d.Mean), formatNumber(d.HalfWidth))
			} else {
				row = append(row, "", "")
			}
		}
		_ = w.Write(row)
	}
	w.Flush()
	return b.Bytes(), w.Error()
}

// format formats an estimate for display.
func (e Estimate) format() string {
	digits := 3
	if e.Mean >= 100 || e.Mean <= -100 {
		digits = 0
	}
	if e.N < 2 {
		return strconv.FormatFloat(e.Mean, 'f', digits, 64)
	}
	return fmt.Sprintf("%.*f ±%.*f", digits, e.Mean, digits, e.HalfWidth)
}

// cells returns the text of the table: a column for each axis and measure, and for each difference
// to the baseline, marked with * if its interval excludes zero.
func (s *Summary) cells() (head []string, rows [][]string) {
	head = append(head, s.Axes...)
	for _, m := range s.File.Measures {
		head = append(head, m)
		if s.File.Baseline != "" {
			head = append(head, "Δ")
		}
	}
	for _, r := range s.Rows {
		row := append([]string{}, r.Labels...)
		for _, m := range s.File.Measures {
			row = append(row, r.Measures[m].format())
			if s.File.Baseline == "" {
				continue
			}
			text := ""
			if d, ok := r.Differences[m]; ok {
				text = d.format()
				if d.ExcludesZero() {
					text += " *"
				}
			}
			row = append(row, text)
		}
		rows = append(rows, row)
	}
	return head, rows
}

// Table prints the summary.
func (s *Summary) Table(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', tabwriter.AlignRight)
	head, rows := s.cells()
	for _, row := range append([][]string{head}, rows...) {
		fmt.Fprintln(w, strings.Join(row, "\t")+"\t")
	}
	return w.Flush()
}
