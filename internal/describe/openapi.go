package describe

import (
	"fmt"
	"regexp"
	"slices"
	"strconv"
	"strings"
)

// API describes the operations of the push front.
type API struct {
	Submit Operation // operationId submitMessage
	Status Operation // operationId messageStatus
	Delete Operation // operationId deleteMessage, optional; Method is empty if it is not in the document
}

// Operation is an operation of the API.
type Operation struct {
	Method       string
	Path         []Segment
	Params       []Param
	MaxBodyBytes int // maximum size of the request body in bytes; zero means no body
	Statuses     []int
	source       node // location in the document
}

// Segment is a segment of a path: either a literal word or a parameter.
type Segment struct {
	Literal string
	Param   string
}

// Param describes a parameter and its allowed values.
type Param struct {
	Name     string // lower case for headers
	In       string // path or header
	Required bool
	Schema   Schema
}

// Schema holds the supported keywords of JSON Schema.
type Schema struct {
	Type      string // string or integer
	Pattern   *regexp.Regexp
	MaxLength int // bytes; zero means no limit
	Enum      []string
	Min, Max  int
	hasMax    bool // Max is set
}

// Check returns an error if the value does not match the schema.
func (s Schema) Check(value string) error {
	if s.Type == "integer" {
		n, err := strconv.Atoi(value)
		switch {
		case err != nil:
			return fmt.Errorf("a whole number is wanted")
		case n < s.Min:
			return fmt.Errorf("at least %d is wanted", s.Min)
		case s.hasMax && n > s.Max:
			return fmt.Errorf("at most %d is wanted", s.Max)
		}
		return nil
	}
	switch {
	case s.MaxLength > 0 && len(value) > s.MaxLength:
		return fmt.Errorf("at most %d bytes are wanted", s.MaxLength)
	case s.Pattern != nil && !s.Pattern.MatchString(value):
		return fmt.Errorf("it must match %s", s.Pattern)
	case len(s.Enum) > 0 && !slices.Contains(s.Enum, value):
		return fmt.Errorf("it must be one of %s", strings.Join(s.Enum, ", "))
	}
	return nil
}

// Param returns the parameter with the given location (path or header) and name, or nil.
func (o *Operation) Param(in, name string) *Param {
	for i := range o.Params {
		if p := &o.Params[i]; p.In == in && p.Name == name {
			return p
		}
	}
	return nil
}

// Match matches a request path and returns the values of its parameters.
func (o *Operation) Match(path string) (params map[string]string, ok bool) {
	parts := strings.Split(strings.TrimPrefix(path, "/"), "/")
	if !strings.HasPrefix(path, "/") || len(parts) != len(o.Path) {
		return nil, false
	}
	params = map[string]string{}
	for i, s := range o.Path {
		switch {
		case s.Param != "":
			params[s.Param] = parts[i]
		case s.Literal != parts[i]:
			return nil, false
		}
	}
	return params, true
}

// BuildPath returns the path of the operation with its parameters replaced by value.
func (o *Operation) BuildPath(value string) string {
	var b strings.Builder
	for _, s := range o.Path {
		b.WriteByte('/')
		if s.Param != "" {
			b.WriteString(value)
		} else {
			b.WriteString(s.Literal)
		}
	}
	return b.String()
}

// OpenAPI reads an OpenAPI 3.1 document.
func OpenAPI(name string, b []byte) (*API, error) {
	root, err := parse(name, b)
	if err != nil {
		return nil, err
	}
	root.object("openapi!", "info!", "paths!", "components", "servers", "tags", "jsonSchemaDialect")
	if v := root.child("openapi"); !strings.HasPrefix(v.text(), "3.1.") {
		v.fail("version %q is not supported, only 3.1", v.text())
	}
	root.child("info").object("title!", "version!", "summary", "description", "license", "contact")
	api := &API{}
	found := map[string]bool{}
	paths := root.child("paths").object(root.child("paths").keys()...)
	for _, path := range paths.keys() {
		item := paths.child(path)
		item.object("get", "post", "delete", "summary", "description")
		for _, method := range item.keys() {
			if method != "get" && method != "post" && method != "delete" {
				continue
			}
			op := item.child(method)
			o := operation(op, path, strings.ToUpper(method))
			id := op.child("operationId")
			switch word := id.oneOf("submitMessage", "messageStatus", "deleteMessage"); {
			case found[word]:
				id.fail("duplicate operation %q", word)
			case word == "submitMessage":
				api.Submit = o
			case word == "messageStatus":
				api.Status = o
			case word == "deleteMessage":
				api.Delete = o
			}
			found[id.text()] = true
		}
	}
	for _, want := range []string{"submitMessage", "messageStatus"} {
		if !found[want] {
			paths.fail("no operation %q", want)
		}
	}
	if root.doc.err == nil {
		checkOperations(api)
	}
	if err := root.doc.error(); err != nil {
		return nil, err
	}
	return api, nil
}

// requestTimeout answers any request whose rest does not come. It need not be described: documents
// from before it was answered stay valid.
const requestTimeout = 408

// checkOperations compares the operations with the implemented handlers.
func checkOperations(api *API) {
	for _, want := range []struct {
		op             *Operation
		id, method     string
		path           int
		params         []string
		optional       []string
		statuses       []int
		wants, hasBody bool
	}{
		{&api.Submit, "submitMessage", "POST", 1, []string{"path destination", "header ttl", "header message-id",
			"header message-class"}, []string{"header tenant", "header order-key", "header idempotency-key", "header topic", "header urgency"},
			[]int{201, 400, 413, 422, 429, 431, 503}, true, true},
		{&api.Status, "messageStatus", "GET", 1, []string{"path id"}, []string{"header prefer"},
			[]int{200, 400, 404, 410, 431}, false, false},
		{&api.Delete, "deleteMessage", "DELETE", 1, []string{"path id"}, nil,
			[]int{204, 400, 404, 409, 410, 431}, false, false},
	} {
		if want.op.Method == "" {
			continue // optional operation that is not in the document
		}
		if want.op.Method != want.method {
			want.op.source.fail("operation %q must use the method %s", want.id, want.method)
		}
		if want.op.MaxBodyBytes > 0 != want.hasBody {
			want.op.source.fail("operation %q: the presence of a request body does not match the handler", want.id)
		}
		for _, p := range want.params {
			in, name, _ := strings.Cut(p, " ")
			if x := want.op.Param(in, name); x == nil || !x.Required {
				want.op.source.fail("operation %q needs the required parameter %q in %s", want.id, name, in)
			}
		}
		for _, p := range want.op.Params {
			key := p.In + " " + p.Name
			if !slices.Contains(want.params, key) && !slices.Contains(want.optional, key) {
				want.op.source.fail("operation %q: unsupported parameter %q in %s", want.id, p.Name, p.In)
			}
		}
		for _, status := range want.statuses {
			if !slices.Contains(want.op.Statuses, status) {
				want.op.source.fail("operation %q also answers %d, which is not described", want.id, status)
			}
		}
		for _, status := range want.op.Statuses {
			if !slices.Contains(want.statuses, status) && status != requestTimeout {
				want.op.source.fail("operation %q never answers %d", want.id, status)
			}
		}
	}
}

// operation reads an operation.
func operation(n node, path, method string) Operation {
	n.object("operationId!", "responses!", "parameters", "requestBody", "summary", "description", "tags")
	o := Operation{Method: method, source: n}
	for _, part := range strings.Split(strings.TrimPrefix(path, "/"), "/") {
		name, isParam := strings.CutPrefix(part, "{")
		name, closed := strings.CutSuffix(name, "}")
		switch {
		case isParam && closed && name != "":
			o.Path = append(o.Path, Segment{Param: name})
		case part == "" || strings.ContainsAny(part, "{}"):
			n.fail("the path %q is not supported", path)
		default:
			o.Path = append(o.Path, Segment{Literal: part})
		}
	}
	for _, p := range n.child("parameters").list() {
		o.Params = append(o.Params, param(p.resolve()))
	}
	for _, s := range o.Path {
		if s.Param != "" && o.Param("path", s.Param) == nil {
			n.child("parameters").fail("path parameter %q is not described", s.Param)
		}
	}
	if body := n.child("requestBody"); body.exists() {
		o.MaxBodyBytes = requestBody(body.resolve())
	}
	responses := n.child("responses")
	for _, code := range responses.keys() {
		r := responses.child(code).resolve()
		r.object("description!", "headers", "content")
		for _, h := range r.child("headers").keys() {
			r.child("headers").child(h).resolve().object("schema!", "description", "required")
		}
		status, err := strconv.Atoi(code)
		if err != nil {
			responses.child(code).fail("expected a status code")
		}
		o.Statuses = append(o.Statuses, status)
	}
	return o
}

// param reads a parameter.
func param(n node) Param {
	n.object("name!", "in!", "schema!", "required", "description", "example")
	p := Param{Name: n.child("name").text(), In: n.child("in").oneOf("path", "header"), Required: n.child("required").bool()}
	if p.In == "header" {
		p.Name = strings.ToLower(p.Name)
	} else if !p.Required {
		n.fail("a path parameter must be required")
	}
	p.Schema = schema(n.child("schema").resolve())
	return p
}

// schema reads the schema of a parameter.
func schema(n node) Schema {
	n.object("type!", "pattern", "maxLength", "minLength", "enum", "minimum", "maximum", "description", "examples")
	s := Schema{Type: n.child("type").oneOf("string", "integer"), MaxLength: n.child("maxLength").wholeNumber(0)}
	if p := n.child("pattern"); p.exists() {
		re, err := regexp.Compile(p.text())
		if err != nil {
			p.fail("%v", err)
		}
		s.Pattern = re
	}
	for _, e := range n.child("enum").list() {
		s.Enum = append(s.Enum, e.text())
	}
	s.Min, s.Max = n.child("minimum").wholeNumber(0), n.child("maximum").wholeNumber(0)
	s.hasMax = n.child("maximum").exists()
	if least := n.child("minLength"); least.exists() && least.wholeNumber(0) != 1 {
		least.fail("only 1 is supported")
	}
	return s
}

// requestBody reads a request body of arbitrary bytes and returns its maximum size.
func requestBody(n node) int {
	n.object("content!", "required", "description")
	content := n.child("content").object("application/octet-stream!")
	media := content.child("application/octet-stream").object("schema!")
	s := media.child("schema").resolve().object("type", "maxLength!", "contentEncoding", "description")
	limit := s.child("maxLength")
	if n := limit.wholeNumber(0); n > 0 && n <= 64<<10 {
		return n
	}
	limit.fail("expected a limit of 1 to 65536")
	return 1
}
