package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"
)

func init() { cases["push-full"] = pushFull }

// pushClient is a client of the push front: HTTP/2 with prior knowledge.
type pushClient struct {
	http *http.Client
	base string
}

func newPushClient(addr string) *pushClient {
	t := &http.Transport{Protocols: &http.Protocols{}}
	t.Protocols.SetUnencryptedHTTP2(true)
	return &pushClient{&http.Client{Transport: t, Timeout: 5 * time.Second}, "http://" + addr}
}

// submit hands a message in and returns the status, or 0 and the error.
func (c *pushClient) submit(m message) (int, error) {
	r, err := http.NewRequestWithContext(context.Background(), http.MethodPost, fmt.Sprintf("%s/push/%d", c.base, m.dest), strings.NewReader(m.body))
	if err != nil {
		return 0, err
	}
	r.Header.Set("TTL", fmt.Sprint(int(m.time.Seconds())))
	r.Header.Set("Message-Id", m.id)
	r.Header.Set("Message-Class", m.class)
	r.Header.Set("Tenant", "town")
	if m.token != "" {
		r.Header.Set("Idempotency-Key", m.token)
	}
	return c.do(r)
}

func (c *pushClient) do(r *http.Request) (int, error) {
	a, err := c.http.Do(r)
	if err != nil {
		return 0, err
	}
	defer a.Body.Close()
	_, _ = io.Copy(io.Discard, a.Body)
	return a.StatusCode, nil
}

// pushFile writes the push front's file, with the descriptions of the project.
func (p *play) pushFile(listen string, retain int) string {
	deploy, err := filepath.Abs("deploy")
	p.must(err)
	for _, name := range []string{"openapi.json", "asyncapi.json"} {
		_, err := os.Stat(filepath.Join(deploy, name))
		p.must(err)
	}
	return p.writeJSON("push.json", object{
		"listen": listen, "retain_s": retain, "openapi": filepath.Join(deploy, "openapi.json"),
		"asyncapi": filepath.Join(deploy, "asyncapi.json"), "targets": []object{},
	})
}

// pushFull hands in messages at the push front, 20 a second: first such with bodies of 16 KB, then small ones,
// until some in a row are refused. All are delivered at once. When no end is kept any more, further small
// messages are handed in over both fronts.
func pushFull(p *play) {
	const retain = 15
	size := 200
	if p.trouble {
		size = 16 << 10
	}
	partner := p.newEndpoint("partner", 1, after(20*time.Millisecond))
	f := p.newPlatform([]instance{partner.entry()})
	listen := p.freeAddr()
	c := p.newCourier("n0", f.addr, settings(1, 0), "SNOWJUNCTION_PUSH="+p.pushFile(listen, retain))
	c.start()
	push := newPushClient(listen)
	number := 0
	submit := func(size int) bool {
		number++
		status, err := push.submit(message{id: fmt.Sprintf("p%d", number), class: "status", dest: 1, time: 8 * time.Second, body: strings.Repeat("x", size)})
		p.note("push client hands in p%d (%d bytes): %d %v", number, size, status, err)
		time.Sleep(50 * time.Millisecond)
		return status == 201
	}
	taken := 0
	for _, size := range []int{size, 100} {
		for n, refused := 0, 0; n < 120 && refused < 5; n++ {
			if submit(size) {
				taken, refused = taken+1, 0
			} else {
				refused++
			}
		}
	}
	time.Sleep(time.Second)
	p.note("%d were taken on and %d delivered", taken, len(partner.received()))
	if taken != len(partner.received()) {
		p.cannotRun("not all were delivered")
	}
	time.Sleep((retain + 10) * time.Second)
	p.note("nothing is held, and the time for which ends are kept is over")
	more := func(name string) int {
		taken := 0
		for n := range 20 {
			id := fmt.Sprintf("%s%d", name, n)
			if submit(100) {
				taken++
			}
			if p.handIn(c, message{id: id, class: "status", dest: 1, time: 8 * time.Second, body: strings.Repeat("x", 100)}) == "+OK" {
				taken++
			}
			time.Sleep(250 * time.Millisecond)
		}
		p.note("%d of 40 messages of 100 bytes were taken on", taken)
		return taken
	}
	if more("late") == 0 {
		p.breach("a courier that held nothing rejected all of 40 messages for 6 s on end, with no attempt in between")
	}
	if p.trouble { // for the record
		c.kill()
		time.Sleep(600 * time.Millisecond)
		c.start()
		more("restarted")
	}
}
