// Package docs holds pages; its tests hold figures on them against each other.
package docs

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"math"
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// moments are the columns of CAPACITY.md that have figures.
const moments = 5

// named are counts and slopes, by moment.
type named map[string][moments]float64

// table is one of the page's: its head's cells, and those of its rows.
type table struct {
	head []string
	rows [][]string
}

func tables(page string) (out []table) {
	var now *table
	for _, line := range strings.Split(page, "\n") {
		if !strings.HasPrefix(line, "|") {
			now = nil
			continue
		}
		cells := strings.Split(strings.Trim(line, "|"), "|")
		for i := range cells {
			cells[i] = strings.TrimSpace(cells[i])
		}
		switch {
		case now == nil:
			out = append(out, table{head: cells})
			now = &out[len(out)-1]
		case strings.HasPrefix(cells[0], "---"):
		default:
			now.rows = append(now.rows, cells)
		}
	}
	return out
}

// formula works one out at a moment: names, figures, + - * / and parentheses.
func formula(text string, names named, at int) (float64, error) {
	x, err := parser.ParseExpr(text)
	if err != nil {
		return 0, err
	}
	return value(x, names, at)
}

func value(x ast.Expr, names named, at int) (float64, error) {
	switch x := x.(type) {
	case *ast.ParenExpr:
		return value(x.X, names, at)
	case *ast.BasicLit:
		return strconv.ParseFloat(x.Value, 64)
	case *ast.Ident:
		v, ok := names[x.Name]
		if !ok {
			return 0, fmt.Errorf("%s is neither a count nor a slope", x.Name)
		}
		return v[at], nil
	case *ast.BinaryExpr:
		a, err := value(x.X, names, at)
		if err != nil {
			return 0, err
		}
		b, err := value(x.Y, names, at)
		switch x.Op {
		case token.ADD:
			return a + b, err
		case token.SUB:
			return a - b, err
		case token.MUL:
			return a * b, err
		case token.QUO:
			return a / b, err
		}
	}
	return 0, fmt.Errorf("%T is no part of a formula", x)
}

var figureForm = regexp.MustCompile(`^(-?[0-9.,]+(?:e-?[0-9]+)?)(?: ([TGMkmµn]?)(?:B/s|/s|B|s|core))?$`)

var prefixes = map[string]float64{"T": 1e12, "G": 1e9, "M": 1e6, "k": 1e3, "": 1, "m": 1e-3, "µ": 1e-6, "n": 1e-9}

// figure reads one as 390 MB or 2,140.
func figure(text string) (float64, error) {
	m := figureForm.FindStringSubmatch(text)
	if m == nil {
		return 0, fmt.Errorf("%q is no figure", text)
	}
	v, err := strconv.ParseFloat(strings.ReplaceAll(m[1], ",", ""), 64)
	return v * prefixes[m[2]], err
}

// near tells that a figure on the page stands for what was worked out.
func near(t *testing.T, what, text string, want float64) {
	got, err := figure(text)
	require.NoError(t, err, what)
	assert.LessOrEqual(t, math.Abs(got-want), 0.01*math.Abs(want), "%s: the page has %s, its formula gives %g", what, text, want)
}

// over is a row's factor over its budget, at the worst moment and on an ordinary day.
type over struct {
	what, worst, day string
	factor           float64
}

// Every product, factor and sorted table of CAPACITY.md follows from its counts and slopes.
func TestCapacity(t *testing.T) {
	text, err := os.ReadFile("CAPACITY.md")
	require.NoError(t, err)
	names, products := named{}, 0
	found, ranked := map[string][]over{}, map[string][]over{}
	for _, x := range tables(string(text)) {
		switch strings.Join(x.head[:2], " ") {
		case "name day":
			for _, row := range x.rows {
				names.add(t, row[0], row[1:1+moments])
			}
		case "name value":
			for _, row := range x.rows {
				names.add(t, row[0], []string{row[1], "=", "=", "=", "="})
				assert.Regexp(t, "`(go test|snowjunction) .*`|the same", row[3], "%s needs the command that measures it", row[0])
				assert.Regexp(t, "^[0-9a-f]{7}$", row[4], "%s needs the commit that was measured", row[0])
			}
		case "what slope x count":
			for _, row := range x.rows {
				products++
				kind, o := product(t, row, names)
				found[kind] = append(found[kind], o)
			}
		}
		if x.head[len(x.head)-1] == "what" {
			for _, row := range x.rows {
				factor, err := figure(row[0])
				require.NoError(t, err)
				ranked[x.head[0]] = append(ranked[x.head[0]], over{row[2], row[0], row[1], factor})
			}
		}
	}
	require.Greater(t, products, 30, "the page's tables are not found")
	for kind, all := range found {
		var past []over
		for _, o := range all {
			if o.factor > 1 {
				past = append(past, o)
			}
		}
		assert.ElementsMatch(t, past, ranked[kind], "over budgets that are %s", kind)
	}
	for kind, all := range ranked {
		for i := range all[1:] {
			assert.GreaterOrEqual(t, all[i].factor, all[i+1].factor, "%s: the largest first", kind)
		}
	}
}

func (n named) add(t *testing.T, name string, cells []string) {
	var v [moments]float64
	for i, c := range cells {
		if v[i] = v[0]; c != "=" {
			var err error
			v[i], err = figure(c)
			require.NoError(t, err, name)
		}
	}
	n[strings.Trim(name, "`")] = v
}

// product checks one row: its figures by moment, its budget, its factor.
func product(t *testing.T, row []string, names named) (kind string, o over) {
	const first, budget, factor = 2, 2 + moments, 3 + moments
	what, how, worst, day := row[0], strings.Trim(row[1], "`"), 0.0, "–"
	of, kind, held := strings.Cut(strings.TrimPrefix(row[budget], "`"), "` ")
	for at, cell := range row[first : first+moments] {
		if cell == "–" {
			continue
		}
		want, err := formula(how, names, at)
		require.NoError(t, err, what)
		near(t, fmt.Sprintf("%s, column %d", what, at+1), cell, want)
		if !held {
			continue
		}
		most, err := formula(of, names, at)
		require.NoError(t, err, what)
		if worst = max(worst, want/most); at == 0 {
			day = written(want / most)
		}
	}
	if !held {
		assert.Equal(t, "–", row[factor], what)
		return "", over{}
	}
	require.Contains(t, []string{"given", "limit", "least"}, kind, what)
	near(t, what+", factor", row[factor], worst)
	shown, err := figure(row[factor])
	require.NoError(t, err, what)
	return kind, over{what, row[factor], day, shown}
}

// written puts a factor as the page has it, to three digits.
func written(v float64) string {
	digits := 2 - int(math.Floor(math.Log10(v)))
	unit := math.Pow10(digits)
	text := strconv.FormatFloat(math.Round(v*unit)/unit, 'f', max(digits, 0), 64)
	if digits < 0 && len(text) > 3 {
		text = text[:len(text)-3] + "," + text[len(text)-3:]
	}
	return text
}
