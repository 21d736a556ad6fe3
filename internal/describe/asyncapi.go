package describe

import (
	"slices"
	"strings"
)

// Lifecycle describes the notices about a message.
type Lifecycle struct {
	Accepted Notice // message "taken": the message was accepted
	Final    Notice // message "ended": the message has reached its final state
}

// Notice is a message of the AsyncAPI document: the fields of its payload in document
// order, and the message states that it can report.
type Notice struct {
	Fields []string
	States []string
}

// AsyncAPI reads an AsyncAPI 3.0 document. The document must have a channel with the
// messages "taken" and "ended", and an operation that sends them.
func AsyncAPI(name string, b []byte) (*Lifecycle, error) {
	root, err := parse(name, b)
	if err != nil {
		return nil, err
	}
	root.object("asyncapi!", "info!", "channels!", "operations!", "components", "defaultContentType")
	if v := root.child("asyncapi"); !strings.HasPrefix(v.text(), "3.0.") {
		v.fail("version %q is not supported, only 3.0", v.text())
	}
	if v := root.child("defaultContentType"); v.exists() {
		v.oneOf("application/json")
	}
	root.child("info").object("title!", "version!", "description", "license", "contact")
	lifecycle := &Lifecycle{}
	found := map[string]bool{}
	channels := root.child("channels")
	channels.object(channels.keys()...)
	for _, name := range channels.keys() {
		ch := channels.child(name).resolve()
		ch.object("address", "messages!", "title", "summary", "description")
		messages := ch.child("messages")
		for _, word := range messages.keys() {
			m := messages.child(word)
			switch {
			case found[word]:
				m.fail("duplicate message %q", word)
			case word == "taken":
				lifecycle.Accepted = notice(m.resolve(), []string{"taken"})
			case word == "ended":
				lifecycle.Final = notice(m.resolve(), []string{"delivered", "failed", "returned"})
			default:
				m.fail("not supported: the only messages are taken and ended")
			}
			found[word] = true
		}
	}
	for _, want := range []string{"taken", "ended"} {
		if !found[want] {
			channels.fail("no message %q", want)
		}
	}
	operations := root.child("operations")
	operations.object(operations.keys()...)
	for _, name := range operations.keys() {
		op := operations.child(name).resolve()
		op.object("action!", "channel!", "messages", "title", "summary", "description")
		op.child("action").oneOf("send")
		op.child("channel").resolve()
		for _, m := range op.child("messages").list() {
			m.resolve()
		}
	}
	if len(operations.keys()) == 0 {
		operations.fail("no operation sends the messages")
	}
	if err := root.doc.error(); err != nil {
		return nil, err
	}
	return lifecycle, nil
}

// StateWithdrawn is the state of a message that its client has deleted.
const StateWithdrawn = "withdrawn"

// notice reads a message. Its payload must be an object with fields that the front supports.
func notice(n node, states []string) Notice {
	n.object("payload!", "name", "title", "summary", "description", "contentType")
	if v := n.child("contentType"); v.exists() {
		v.oneOf("application/json")
	}
	p := n.child("payload").resolve()
	p.object("type!", "properties!", "required", "description", "additionalProperties")
	p.child("type").oneOf("object")
	var out Notice
	properties := p.child("properties")
	types := map[string]string{"id": "string", "state": "string", "at": "string", "after_ms": "integer"}
	for _, name := range properties.keys() {
		f := properties.child(name).resolve()
		f.object("type!", "const", "enum", "format", "minimum", "description")
		if types[name] == "" {
			properties.child(name).fail("not supported: unknown field")
			continue
		}
		f.child("type").oneOf(types[name])
		if v := f.child("format"); v.exists() {
			v.oneOf("date-time")
		}
		out.Fields = append(out.Fields, name)
	}
	state := properties.child("state").resolve()
	for _, e := range state.child("enum").list() {
		out.States = append(out.States, e.text())
	}
	if c := state.child("const"); c.exists() {
		out.States = append(out.States, c.text())
	}
	// The state "withdrawn" is optional: it occurs only if the front serves deleteMessage.
	got := slices.DeleteFunc(slices.Sorted(slices.Values(out.States)), func(s string) bool { return s == StateWithdrawn })
	if !slices.Equal(got, states) {
		properties.child("state").fail("expected the states %s", strings.Join(states, ", "))
	}
	for _, r := range p.child("required").list() {
		if !slices.Contains(out.Fields, r.text()) {
			r.fail("%q is not a property", r.text())
		}
		if r.text() == "after_ms" {
			r.fail("after_ms cannot be required: only returned messages have it")
		}
	}
	return out
}
