package http1

import "strconv"

// Request returns an encoded request. headers alternates names and values. The headers and the
// path must not contain line breaks, which has to be checked by their source.
func Request(method, path, host string, body []byte, headers ...string) []byte {
	b := make([]byte, 0, 256+len(body))
	b = append(b, method...)
	b = append(append(append(b, ' '), path...), " "+version11+"\r\nHost: "...)
	b = append(append(b, host...), '\r', '\n')
	for i := 0; i+1 < len(headers); i += 2 {
		b = append(append(append(b, headers[i]...), ": "...), headers[i+1]...)
		b = append(b, '\r', '\n')
	}
	if method != "GET" {
		b = append(strconv.AppendInt(append(b, "Content-Length: "...), int64(len(body)), 10), '\r', '\n')
	}
	b = append(b, '\r', '\n')
	return append(b, body...)
}
