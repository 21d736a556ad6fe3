package plugin

import (
	"bufio"
	"io"
	"os/exec"
	"runtime"
	"sync"
	"syscall"

	"snowjunction/internal/plugin/guard"
	"snowjunction/internal/plugin/host"
)

// process is a host process with the goroutines that write to it and read from it. The goroutines
// post events to the loop, which never waits for them.
type process struct {
	cmd   *exec.Cmd
	calls chan any
	once  sync.Once
	quit  chan struct{}
}

// maxPendingCalls limits the calls waiting to be written to a host. The courier sends one call at a
// time, and another one may follow a call that timed out.
const maxPendingCalls = 4

// maxAnswerFrameBytes limits a frame from the host.
const maxAnswerFrameBytes = 1 << 20

// maxPendingAnswers limits the answers that are read and not yet handled by the loop. A host owes one at a time.
const maxPendingAnswers = 4

// startProcess starts a host for the plug-in in hello. It posts onStarted once, when the plug-in is
// loaded or with the error if it cannot be loaded; onAnswer for each answer, parsed and checked as far
// as this is possible outside the loop; and onExit once, when the process has exited.
func startProcess(command []string, hello host.Hello, post func(func()),
	onStarted func(a host.Answer, err error), onAnswer func(*reply), onExit func()) *process {
	p := &process{calls: make(chan any, maxPendingCalls), quit: make(chan struct{})}
	go func() {
		defer post(onExit)
		cmd := exec.Command(command[0], command[1:]...)
		cmd.Env = []string{"SNOWJUNCTION_PLUGIN_HOST=1"} // the courier's environment is not passed on
		done, ended := make(chan struct{}), (<-chan struct{})(nil)
		in, err := cmd.StdinPipe()
		var out io.ReadCloser
		if err == nil {
			out, err = cmd.StdoutPipe()
		}
		if err == nil {
			ended, err = startBound(cmd, done)
		}
		if err != nil {
			post(func() { onStarted(host.Answer{}, err) })
			return
		}
		go func() { // kills the process on request
			select {
			case <-p.quit:
			case <-done:
			}
			_ = cmd.Process.Kill()
			_ = in.Close()
		}()
		go func() { // writes calls to the process
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
		if err = host.Read(r, maxAnswerFrameBytes, &a); err != nil || a.Error != "" {
			post(func() { onStarted(a, err) })
		} else {
			post(func() { onStarted(a, nil) })
			p.readAnswers(r, hello.Manifest.Permissions(), post, onAnswer)
		}
		close(done)
		<-ended
	}()
	return p
}

// readAnswers posts the answers of the host until it ends or is killed. It waits for the loop while too many of
// them are pending.
func (p *process) readAnswers(r *bufio.Reader, allowed guard.Permissions, post func(func()), onAnswer func(*reply)) {
	pending := make(chan struct{}, maxPendingAnswers)
	for {
		var a host.Answer
		if host.Read(r, maxAnswerFrameBytes, &a) != nil {
			return
		}
		x := newReply(a, allowed)
		select {
		case pending <- struct{}{}:
		case <-p.quit:
			return
		}
		post(func() {
			<-pending
			onAnswer(x)
		})
	}
}

// startBound starts a command that the kernel kills when this process ends, however it ends: a host that
// loops would not notice. The kernel does so at the end of the thread that started the command, so that
// thread waits for the command. ended is closed when it has ended, which is awaited once done is closed.
func startBound(cmd *exec.Cmd, done <-chan struct{}) (ended <-chan struct{}, err error) {
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started, waited := make(chan error), make(chan struct{})
	go func() {
		runtime.LockOSThread()
		err := cmd.Start()
		started <- err
		if err != nil {
			return
		}
		<-done
		_ = cmd.Wait()
		close(waited)
	}()
	return waited, <-started
}

// send queues a call for the host. It returns false if the queue is full.
func (p *process) send(c host.Call) bool {
	select {
	case p.calls <- c:
		return true
	default:
		return false
	}
}

// kill kills the process. onExit is posted afterwards.
func (p *process) kill() { p.once.Do(func() { close(p.quit) }) }
