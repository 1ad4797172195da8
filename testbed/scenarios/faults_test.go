package scenarios

import (
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/pointpass/pointpass/testbed/engine"
	"github.com/pointpass/pointpass/testbed/platform"
	"github.com/pointpass/pointpass/testbed/world"
)

// victim finds a daemon, or the stand-in of a VM.
func (s *session) victim(ts *testscript.TestScript, name string) (*world.Daemon, *engine.Engine) {
	if e := s.world.Fabric.Engine(name); e != nil {
		return nil, e
	}
	return s.daemon(ts, name), nil
}

// run DAEMON starts a daemon that was not started or has ended.
func cmdRun(ts *testscript.TestScript, _ bool, args []string) {
	failOn(ts, of(ts).daemon(ts, args[0]).Start())
}

// crash ends daemons and VMs at once, without a word.
func cmdCrash(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		d, e := of(ts).victim(ts, name)
		if e != nil {
			e.Kill()
			continue
		}
		d.Kill()
	}
}

// restart VM lets a killed VM come back without its memory.
func cmdRestart(ts *testscript.TestScript, _ bool, args []string) {
	_, e := of(ts).victim(ts, args[0])
	failOn(ts, e.Restart())
}

func cmdFreeze(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		d, e := of(ts).victim(ts, name)
		if e != nil {
			e.Freeze()
			continue
		}
		failOn(ts, d.Freeze())
	}
}

func cmdThaw(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		d, e := of(ts).victim(ts, name)
		if e != nil {
			e.Thaw()
			continue
		}
		failOn(ts, d.Thaw())
	}
}

func link(ts *testscript.TestScript, name string) world.Link {
	switch name {
	case "platform":
		return world.PlatformLink
	case "control":
		return world.ControlLink
	}
	ts.Fatalf("want platform or control, found %q", name)
	return 0
}

// cut DAEMON platform|control makes a link swallow everything.
func cmdCut(ts *testscript.TestScript, _ bool, args []string) {
	s := of(ts)
	failOn(ts, s.world.Cut(s.daemon(ts, args[0]), link(ts, args[1])))
}

// delay DAEMON platform|control DURATION makes what goes over a link arrive
// late.
func cmdDelay(ts *testscript.TestScript, _ bool, args []string) {
	s := of(ts)
	failOn(ts, s.world.Delay(s.daemon(ts, args[0]), link(ts, args[1]), duration(ts, args[2])))
}

func cmdHeal(ts *testscript.TestScript, _ bool, args []string) {
	s := of(ts)
	failOn(ts, s.world.Heal(s.daemon(ts, args[0]), link(ts, args[1])))
}

// terminate DAEMON sends SIGTERM and waits for the exit code 0.
func cmdTerminate(ts *testscript.TestScript, _ bool, args []string) {
	failOn(ts, of(ts).daemon(ts, args[0]).Terminate())
}

func cmdOutage(ts *testscript.TestScript, _ bool, args []string) {
	of(ts).world.Platform.SetOutage(args[0] == "on")
}

func cmdSlow(ts *testscript.TestScript, _ bool, args []string) {
	of(ts).world.Platform.SetSlow(duration(ts, args[0]))
}

// lose N makes the next N commits take effect without an answer.
func cmdLose(ts *testscript.TestScript, _ bool, args []string) {
	of(ts).world.Platform.LoseAnswers(number(ts, args[0], 0))
}

// leaving VM marks a VM as leaving in the platform's list.
func cmdLeaving(ts *testscript.TestScript, _ bool, args []string) {
	s := of(ts)
	vm := s.world.Platform.VM(args[0])
	vm.State = "leaving"
	s.world.Platform.SetVM(platform.VM(vm))
	s.world.Fabric.MarkLeaving(args[0])
}

// announced VM tells the stand-ins that an operator has announced the VM's
// stop.
func cmdAnnounced(ts *testscript.TestScript, _ bool, args []string) {
	of(ts).world.Fabric.MarkLeaving(args[0])
}
