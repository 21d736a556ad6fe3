// Package describe reads the API descriptions of the push front: its routes, headers
// and limits from an OpenAPI 3.1 document, and its notices about messages from an
// AsyncAPI 3.0 document. It supports only the features of both formats that the front
// implements. It rejects all others, with their JSON pointer, so that a document cannot
// describe behaviour that the program does not have.
package describe

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/valyala/fastjson"
)

// Error is an error in a document, with its location.
type Error struct {
	Document string
	Pointer  string // RFC 6901
	Reason   string
}

// Error returns the document, the location and the reason.
func (e *Error) Error() string { return fmt.Sprintf("%s: %s: %s", e.Document, e.Pointer, e.Reason) }

// node is a value in a document with its location. Errors do not stop the reading; the first
// one is stored in the document.
type node struct {
	doc     *document
	pointer string
	value   *fastjson.Value
}

// document is a parsed document with the first error found in it.
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

// fail stores an error at n, unless there already is one.
func (n node) fail(format string, args ...any) {
	if n.doc.err == nil {
		n.doc.err = &Error{n.doc.name, "#" + n.pointer, fmt.Sprintf(format, args...)}
	}
}

// escape encodes a key for a JSON pointer.
func escape(key string) string {
	return strings.NewReplacer("~", "~0", "/", "~1").Replace(key)
}

func unescape(key string) string {
	return strings.NewReplacer("~1", "/", "~0", "~").Replace(key)
}

// child returns a member of an object. The member may be missing.
func (n node) child(key string) node {
	var v *fastjson.Value
	if n.value != nil && n.value.Type() == fastjson.TypeObject {
		v = n.value.Get(key)
	}
	return node{n.doc, n.pointer + "/" + escape(key), v}
}

func (n node) exists() bool { return n.value != nil }

// object checks that n is an object that has no members other than those listed. A name that
// ends in "!" is required. Extensions (x-...) are ignored.
func (n node) object(members ...string) node {
	if n.value == nil || n.value.Type() != fastjson.TypeObject {
		n.fail("expected an object")
		return n
	}
	known := map[string]bool{}
	for _, m := range members {
		name := strings.TrimSuffix(m, "!")
		if known[name] = true; name != m && !n.child(name).exists() {
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

// keys returns the names of the members in document order.
func (n node) keys() (out []string) {
	if n.value == nil || n.value.Type() != fastjson.TypeObject {
		return nil
	}
	n.value.GetObject().Visit(func(key []byte, _ *fastjson.Value) { out = append(out, string(key)) })
	return out
}

// list returns the elements of an array, or nil if it is missing.
func (n node) list() (out []node) {
	if n.value == nil {
		return nil
	}
	items, err := n.value.Array()
	if err != nil {
		n.fail("expected an array")
	}
	for i, v := range items {
		out = append(out, node{n.doc, n.pointer + "/" + strconv.Itoa(i), v})
	}
	return out
}

// text returns a string, or "" if it is missing.
func (n node) text() string {
	if n.value == nil {
		return ""
	}
	b, err := n.value.StringBytes()
	if err != nil {
		n.fail("expected a string")
	}
	return string(b)
}

// oneOf returns a string, which must be one of the given words.
func (n node) oneOf(words ...string) string {
	s := n.text()
	if !slices.Contains(words, s) {
		n.fail("%q is not supported, only %s", s, strings.Join(words, ", "))
	}
	return s
}

// wholeNumber returns a non-negative integer, or the default value if it is missing or invalid.
func (n node) wholeNumber(fallback int) int {
	if n.value == nil {
		return fallback
	}
	i, err := n.value.Int()
	if err != nil || i < 0 {
		n.fail("expected an integer of 0 or more")
		return fallback
	}
	return i
}

// bool returns a boolean, or false if it is missing.
func (n node) bool() bool {
	if n.value == nil {
		return false
	}
	b, err := n.value.Bool()
	if err != nil {
		n.fail("expected true or false")
	}
	return b
}

// resolve follows references ($ref) within the document, up to 8 in a chain.
func (n node) resolve() node {
	for range 8 {
		ref := n.child("$ref")
		if !ref.exists() {
			return n
		}
		path, ok := strings.CutPrefix(ref.text(), "#/")
		if !ok {
			ref.fail("only references within the document are supported")
			return node{n.doc, n.pointer, nil}
		}
		to := node{n.doc, "", n.doc.root}
		for _, key := range strings.Split(path, "/") {
			to = to.child(unescape(key))
		}
		if !to.exists() {
			ref.fail("%q does not exist", ref.text())
			return to
		}
		n = to
	}
	n.fail("cyclic or too long chain of references")
	return n
}

func (d *document) error() error {
	if d.err == nil {
		return nil
	}
	return d.err
}
