package main

import (
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["half-commands"] = halfCommands }

// Limits of the courier, and the clients that stop in the middle of a command.
const (
	memoryMB       = 64
	descriptors    = 1024
	stoppedClients = 600
	bodyBytes      = 64 << 10
	leftOut        = 512 // bytes of the body that do not come
	rounds         = 4
)

// anonymousKB returns the anonymous resident memory of a process: without the program's own pages
// and without files.
func anonymousKB(pid int) int {
	b, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for _, line := range strings.Split(string(b), "\n") {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			n, _ := strconv.Atoi(strings.Fields(rest)[0])
			return n
		}
	}
	return 0
}

// halfCommands: clients send all but the last bytes of a long command and stay. Once the courier has
// ended them they come again. Without trouble they send a short command as a whole.
func halfCommands(g *rig) {
	p := g.newPartners()
	d := g.newDiscovery("first", 41, []instance{ready("s-one", p.endpoint(g, "s-one"), 1)})
	listen, cfg := g.freeAddr(), filepath.Join(g.tmp, "config.json")
	c := config(listen, d.addr, d.whole())
	c["limits"] = map[string]any{"cores": 1, "memory_mb": memoryMB, "sockets": descriptors, "disk_mb": 3}
	g.writeJSON(cfg, c)
	courier := g.start("courier", "GW_CONFIG="+cfg, "GW_STATE="+filepath.Join(g.tmp, "state"), "GW_NAME=n0")
	g.need(g.waitReady(listen, 30*time.Second), "the courier is not ready")
	pid := courier.cmd.Process.Pid
	g.need(anonymousKB(pid) > 0, "no RssAnon here")
	g.rec.f("limit %d MB; the courier has %d KB", memoryMB, anonymousKB(pid))

	var peak atomic.Int64
	done, sampled := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(sampled)
		for {
			peak.Store(max(peak.Load(), int64(anonymousKB(pid))))
			select {
			case <-done:
				return
			case <-time.After(5 * time.Millisecond):
			}
		}
	}()
	most := int64(0)
	for round := range rounds {
		var clients sync.WaitGroup
		var mu sync.Mutex
		ends := map[string]int{}
		longest := time.Duration(0)
		for i := range stoppedClients {
			clients.Add(1)
			go func() {
				defer clients.Done()
				names := "c=status,t=city-takeaway,d=4000,dest=1"
				body := bodyBytes
				if !g.trouble {
					body = 200
				}
				text := fmt.Sprintf("*5\r\n$7\r\nOUT.ADD\r\n$16\r\n%016x\r\n$16\r\nb%04d%011d\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n", 0, round, i, len(names), names, body, strings.Repeat("x", body))
				if g.trouble {
					text = text[:len(text)-leftOut-2]
				}
				began := time.Now()
				conn, err := net.DialTimeout("tcp", listen, time.Second)
				if err != nil {
					return
				}
				defer conn.Close()
				_ = conn.SetDeadline(time.Now().Add(6 * time.Second))
				_, _ = io.WriteString(conn, text)
				b := make([]byte, 64)
				n, _ := conn.Read(b)
				answer, _, _ := strings.Cut(strings.TrimSpace(string(b[:n])), " ")
				if answer == "" {
					answer = "closed"
				}
				mu.Lock()
				ends[answer]++
				longest = max(longest, time.Since(began))
				mu.Unlock()
				if r := time.Until(began.Add(2 * time.Second)); r > 0 && answer != "closed" { // as long as a stopped one
					time.Sleep(r)
				}
			}()
		}
		clients.Wait()
		top := peak.Swap(0)
		most = max(most, top)
		g.rec.f("round %d: %d clients, ended by %v within %v; the courier had %d KB at most", round, stoppedClients, ends, longest.Round(time.Millisecond), top)
	}
	close(done)
	<-sampled
	g.need(!courier.ended() || most > memoryMB<<10, "the courier has ended")
	if most > memoryMB<<10 {
		g.breakRule("crash: the courier had %d KB of anonymous memory, over its limit of %d MB, at which it is killed", most, memoryMB)
	}
}
