package scenario

import (
	"bytes"
	"fmt"
	"net"
	"slices"
	"strconv"
	"strings"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

// h2Conn is one end of an HTTP/2 connection. It uses the framing of x/net, an implementation
// independent of the courier's own. Its lines are
//
//	ADDRESS h2dial WHO, SERVER h2accept WHO
//	WHO send "STREAM METHOD PATH NAME=VALUE ... |BODY"      a request
//	WHO send "STREAM STATUS NAME=VALUE ... |BODY"           a response
//	WHO send "HEAD STREAM STATUS NAME=VALUE ..."            a response whose stream stays open
//	WHO send "RST STREAM CODE" or "GOAWAY STREAM" or "PING" or "SETTINGS STREAMS"
//	WHO expect ...                 in the same formats: the next message or frame must match, with
//	                               at least the named headers and exactly that body
//
// SETTINGS, WINDOW_UPDATE and acknowledgements are handled automatically.
type h2Conn struct {
	conn       net.Conn
	framer     *http2.Framer
	encoder    *hpack.Encoder
	block      bytes.Buffer
	incomplete map[uint32]*message
}

// message is a request or response that is being received.
type message struct {
	fields map[string]string
	body   string
}

func newH2Conn(c net.Conn, server bool) (*h2Conn, error) {
	a := &h2Conn{conn: c, framer: http2.NewFramer(c, c), incomplete: map[uint32]*message{}}
	a.framer.ReadMetaHeaders = hpack.NewDecoder(4096, nil)
	a.encoder = hpack.NewEncoder(&a.block)
	if server {
		preface := make([]byte, len(http2.ClientPreface))
		for n := 0; n < len(preface); {
			m, err := c.Read(preface[n:])
			if err != nil {
				return nil, err
			}
			n += m
		}
		if string(preface) != http2.ClientPreface {
			return nil, fmt.Errorf("got %q instead of the client preface", preface)
		}
	} else if _, err := c.Write([]byte(http2.ClientPreface)); err != nil {
		return nil, err
	}
	return a, a.framer.WriteSettings()
}

func (a *h2Conn) close() error { return a.conn.Close() }

func (a *h2Conn) send(text string) error {
	head, body, hasBody := strings.Cut(text, "|")
	words := strings.Fields(head)
	switch words[0] {
	case "PING":
		return a.framer.WritePing(false, [8]byte{})
	case "SETTINGS": // maximum number of streams that the peer may open
		n, err := strconv.ParseUint(words[1], 10, 31)
		if err != nil {
			return err
		}
		return a.framer.WriteSettings(http2.Setting{ID: http2.SettingMaxConcurrentStreams, Val: uint32(n)})
	case "GOAWAY", "RST":
		stream, err := strconv.ParseUint(words[1], 10, 31)
		if err != nil {
			return err
		}
		if words[0] == "GOAWAY" {
			return a.framer.WriteGoAway(uint32(stream), http2.ErrCodeNo, nil)
		}
		for code := http2.ErrCode(0); code < 14; code++ {
			if code.String() == words[2] {
				return a.framer.WriteRSTStream(uint32(stream), code)
			}
		}
		return fmt.Errorf("unknown error code %s", words[2])
	}
	staysOpen := words[0] == "HEAD"
	if staysOpen {
		words = words[1:]
	}
	stream, err := strconv.ParseUint(words[0], 10, 31)
	if err != nil {
		return err
	}
	fields, rest := []string{":status", words[1]}, words[2:]
	if len(words) > 2 && strings.HasPrefix(words[2], "/") {
		fields, rest = []string{":method", words[1], ":scheme", "http", ":path", words[2]}, words[3:]
	}
	for _, f := range rest {
		name, value, _ := strings.Cut(f, "=")
		fields = append(fields, name, value)
	}
	a.block.Reset()
	for i := 0; i < len(fields); i += 2 {
		if err := a.encoder.WriteField(hpack.HeaderField{Name: fields[i], Value: fields[i+1]}); err != nil {
			return err
		}
	}
	err = a.framer.WriteHeaders(http2.HeadersFrameParam{
		StreamID: uint32(stream), BlockFragment: a.block.Bytes(), EndHeaders: true, EndStream: !hasBody && !staysOpen,
	})
	if err == nil && hasBody {
		err = a.framer.WriteData(uint32(stream), true, []byte(body))
	}
	return err
}

func (a *h2Conn) expect(want string) error {
	if want == "EOF" {
		got, err := a.next()
		if err == nil {
			return fmt.Errorf("got %s instead of the end of the connection", got)
		}
		return nil
	}
	got, err := a.next()
	if err != nil {
		return err
	}
	head, body, hasBody := strings.Cut(want, "|")
	gotHead, gotBody, _ := strings.Cut(got, "|")
	gotWords := strings.Fields(gotHead)
	for i, word := range strings.Fields(head) {
		positional := i < 2 || !strings.Contains(word, "=")
		if positional && (i >= len(gotWords) || gotWords[i] != word) || !positional && !slices.Contains(gotWords, word) {
			return fmt.Errorf("got %s", got)
		}
	}
	if hasBody && body != gotBody {
		return fmt.Errorf("got %s", got)
	}
	return nil
}

// next returns the next message or frame in the format of the script lines.
func (a *h2Conn) next() (string, error) {
	for {
		f, err := a.framer.ReadFrame()
		if err != nil {
			return "", err
		}
		stream, ended := f.Header().StreamID, false
		switch f := f.(type) {
		case *http2.SettingsFrame:
			if !f.IsAck() {
				if err := a.framer.WriteSettingsAck(); err != nil {
					return "", err
				}
			}
		case *http2.PingFrame:
			return "PING", nil
		case *http2.GoAwayFrame:
			return fmt.Sprintf("GOAWAY %d %s", f.LastStreamID, f.ErrCode), nil
		case *http2.RSTStreamFrame:
			return fmt.Sprintf("RST %d %s", stream, f.ErrCode), nil
		case *http2.MetaHeadersFrame:
			m := &message{fields: map[string]string{}}
			for _, h := range f.Fields {
				m.fields[h.Name] = h.Value
			}
			a.incomplete[stream], ended = m, f.StreamEnded()
		case *http2.DataFrame:
			if m := a.incomplete[stream]; m != nil {
				m.body += string(f.Data())
			}
			ended = f.StreamEnded()
		}
		if m := a.incomplete[stream]; ended && m != nil {
			delete(a.incomplete, stream)
			return m.render(stream), nil
		}
	}
}

// render formats the message like a script line, with sorted headers.
func (m *message) render(stream uint32) string {
	words := []string{fmt.Sprint(stream)}
	for _, name := range []string{":status", ":method", ":path"} {
		if v := m.fields[name]; v != "" {
			words = append(words, v)
		}
	}
	var rest []string
	for name, v := range m.fields {
		if !strings.HasPrefix(name, ":") {
			rest = append(rest, name+"="+v)
		}
	}
	slices.Sort(rest)
	return strings.Join(append(words, rest...), " ") + "|" + m.body
}
