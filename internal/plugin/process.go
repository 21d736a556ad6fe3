package plugin

import (
	"bufio"
	"io"
	"os/exec"
	"sync"

	"snowjunction/internal/plugin/host"
)

// process is a host process with the goroutines that write to it and read from
// it. They post what happens; nothing here waits on the loop, nor the loop here.
type process struct {
	cmd   *exec.Cmd
	calls chan any
	once  sync.Once
	quit  chan struct{}
}

// callsMost bounds the calls that are on their way into a host: the courier has
// one out at a time, and one more may replace it.
const callsMost = 4

// answerMost bounds a host's frame.
const answerMost = 1 << 20

// startProcess starts a host for hello's plug-in. up is posted with an error or nil once the
// plug-in is ready or cannot be made so; answer for each answer, read and guarded
// as far as that can be done away from the loop; gone once, when the process has
// ended.
func startProcess(command []string, hello host.Hello, post func(func()),
	up func(a host.Answer, err error), answer func(*reply), gone func()) *process {
	p := &process{calls: make(chan any, callsMost), quit: make(chan struct{})}
	go func() {
		defer post(gone)
		cmd := exec.Command(command[0], command[1:]...)
		cmd.Env = []string{"SNOWJUNCTION_PLUGIN_HOST=1"} // nothing of the courier's own
		in, err := cmd.StdinPipe()
		var out io.ReadCloser
		if err == nil {
			out, err = cmd.StdoutPipe()
		}
		if err == nil {
			err = cmd.Start()
		}
		if err != nil {
			post(func() { up(host.Answer{}, err) })
			return
		}
		done := make(chan struct{})
		go func() { // ends the process when told to
			select {
			case <-p.quit:
			case <-done:
			}
			_ = cmd.Process.Kill()
			_ = in.Close()
		}()
		go func() { // writes to it
			if host.Write(in, hello) != nil {
				return
			}
			for {
				select {
				case c := <-p.calls:
					if host.Write(in, c) != nil {
						return
					}
				case <-done:
					return
				case <-p.quit:
					return
				}
			}
		}()
		r := bufio.NewReader(out)
		var a host.Answer
		if err = host.Read(r, answerMost, &a); err != nil || a.Error != "" {
			post(func() { up(a, err) })
		} else {
			post(func() { up(a, nil) })
			for {
				var a host.Answer
				if host.Read(r, answerMost, &a) != nil {
					break
				}
				x := newReply(a, hello.Manifest.Allowed())
				post(func() { answer(x) })
			}
		}
		close(done)
		_ = cmd.Wait()
	}()
	return p
}

// send hands a call to the host, or returns false where it takes none.
func (p *process) send(c host.Call) bool {
	select {
	case p.calls <- c:
		return true
	default:
		return false
	}
}

// kill ends the process. gone follows.
func (p *process) kill() { p.once.Do(func() { close(p.quit) }) }
