package http1

import (
	"strconv"
	"strings"
)

// Response is an HTTP response.
type Response struct {
	Status int
	Close  bool // the connection closes after this response
	Body   []byte

	version   string // of the protocol
	header    []field
	headBytes int // size of the status line and the headers
}

type field struct{ name, value string }

// Header returns the value of the first header with the given name, ignoring case, or "".
func (r *Response) Header(name string) string {
	for _, f := range r.header {
		if strings.EqualFold(f.name, name) {
			return f.value
		}
	}
	return ""
}

// EachHeader calls f for every header, in order.
func (r *Response) EachHeader(f func(name, value string)) {
	for _, h := range r.header {
		f(h.name, h.value)
	}
}

// interim reports whether the final response follows this one.
func (r *Response) interim() bool { return r.Status/100 == 1 }

// parseHead parses a status line and headers, without the empty line that ends them.
func parseHead(text string) (*Response, error) {
	lines := strings.Split(text, "\r\n")
	if len(lines) > maxHeaders+1 {
		return nil, ErrTooBig
	}
	version, status, err := parseStatusLine(lines[0])
	if err != nil {
		return nil, err
	}
	r := &Response{Status: status, Close: version == version10, version: version, headBytes: len(text)}
	for _, l := range lines[1:] {
		name, value, ok := strings.Cut(l, ":")
		if !ok || name == "" || strings.ContainsAny(name, " \t") {
			return nil, ErrSyntax
		}
		r.header = append(r.header, field{name, strings.TrimSpace(value)})
	}
	for _, token := range strings.Split(r.Header("Connection"), ",") {
		switch strings.ToLower(strings.TrimSpace(token)) {
		case "close":
			r.Close = true
		case "keep-alive":
			r.Close = false
		}
	}
	return r, nil
}

// parseStatusLine returns the version and the status of a status line.
func parseStatusLine(line string) (version string, status int, err error) {
	version, rest, _ := strings.Cut(line, " ")
	code, _, _ := strings.Cut(rest, " ")
	status, err = strconv.Atoi(code)
	if err != nil || len(code) != 3 || status < 100 || version != version11 && version != version10 {
		return "", 0, ErrSyntax
	}
	return version, status, nil
}
