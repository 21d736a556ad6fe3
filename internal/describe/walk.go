// Package describe reads the descriptions of the push front: its routes,
// headers and limits from an OpenAPI 3.1 document, and what is told of a
// message's life from an AsyncAPI 3.0 one. It takes the part of both formats
// that the front can keep to, and refuses the rest by its JSON pointer, so that
// no document promises what the program does not do.
package describe

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/valyala/fastjson"
)

// Error is what is wrong with a document, and where.
type Error struct {
	Document string
	Pointer  string // RFC 6901
	Why      string
}

func (e *Error) Error() string { return fmt.Sprintf("%s: %s: %s", e.Document, e.Pointer, e.Why) }

// node is a value in a document and its place. Reading goes on past the first
// thing that is wrong, which is kept in the document.
type node struct {
	doc *document
	at  string
	v   *fastjson.Value
}

type document struct {
	name string
	root *fastjson.Value
	err  *Error
}

func parse(name string, b []byte) (node, error) {
	v, err := fastjson.ParseBytes(b)
	if err != nil {
		return node{}, &Error{name, "", "not JSON: " + err.Error()}
	}
	return node{&document{name: name, root: v}, "", v}, nil
}

func (n node) fail(format string, args ...any) {
	if n.doc.err == nil {
		n.doc.err = &Error{n.doc.name, "#" + n.at, fmt.Sprintf(format, args...)}
	}
}

func escape(key string) string {
	return strings.NewReplacer("~", "~0", "/", "~1").Replace(key)
}

func unescape(key string) string {
	return strings.NewReplacer("~1", "/", "~0", "~").Replace(key)
}

// child is a member, which may be missing.
func (n node) child(key string) node {
	var v *fastjson.Value
	if n.v != nil && n.v.Type() == fastjson.TypeObject {
		v = n.v.Get(key)
	}
	return node{n.doc, n.at + "/" + escape(key), v}
}

func (n node) there() bool { return n.v != nil }

// object checks that n is an object with no members but those named; a name
// that ends in "!" must be there. Extensions, x-..., are skipped.
func (n node) object(members ...string) node {
	if n.v == nil || n.v.Type() != fastjson.TypeObject {
		n.fail("an object is wanted")
		return n
	}
	known := map[string]bool{}
	for _, m := range members {
		name := strings.TrimSuffix(m, "!")
		if known[name] = true; name != m && !n.child(name).there() {
			n.fail("%q is missing", name)
		}
	}
	for _, key := range n.keys() {
		if !known[key] && !strings.HasPrefix(key, "x-") {
			n.child(key).fail("not supported")
		}
	}
	return n
}

// keys are the members' names in the order of the document.
func (n node) keys() (out []string) {
	if n.v == nil || n.v.Type() != fastjson.TypeObject {
		return nil
	}
	n.v.GetObject().Visit(func(key []byte, _ *fastjson.Value) { out = append(out, string(key)) })
	return out
}

func (n node) list() (out []node) {
	if n.v == nil {
		return nil
	}
	items, err := n.v.Array()
	if err != nil {
		n.fail("an array is wanted")
	}
	for i, v := range items {
		out = append(out, node{n.doc, n.at + "/" + strconv.Itoa(i), v})
	}
	return out
}

func (n node) text() string {
	if n.v == nil {
		return ""
	}
	b, err := n.v.StringBytes()
	if err != nil {
		n.fail("a string is wanted")
	}
	return string(b)
}

// oneOf is a string that must be one of those named.
func (n node) oneOf(words ...string) string {
	s := n.text()
	if !slices.Contains(words, s) {
		n.fail("%q is not supported, only %s", s, strings.Join(words, ", "))
	}
	return s
}

// whole is a whole number of 0 or more.
func (n node) whole(other int) int {
	if n.v == nil {
		return other
	}
	i, err := n.v.Int()
	if err != nil || i < 0 {
		n.fail("a whole number of 0 or more is wanted")
		return other
	}
	return i
}

func (n node) bool() bool {
	if n.v == nil {
		return false
	}
	b, err := n.v.Bool()
	if err != nil {
		n.fail("true or false is wanted")
	}
	return b
}

// resolve follows a reference within the document.
func (n node) resolve() node {
	for range 8 {
		ref := n.child("$ref")
		if !ref.there() {
			return n
		}
		path, ok := strings.CutPrefix(ref.text(), "#/")
		if !ok {
			ref.fail("only references within the document are supported")
			return node{n.doc, n.at, nil}
		}
		to := node{n.doc, "", n.doc.root}
		for _, key := range strings.Split(path, "/") {
			to = to.child(unescape(key))
		}
		if !to.there() {
			ref.fail("%q leads nowhere", ref.text())
			return to
		}
		n = to
	}
	n.fail("a reference to itself")
	return n
}

func (d *document) error() error {
	if d.err == nil {
		return nil
	}
	return d.err
}
