package scenarios

import (
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/pointpass/pointpass/testbed/engine"
	"github.com/pointpass/pointpass/testbed/platform"
	"github.com/pointpass/pointpass/testbed/world"
)

// target returns the engine of the VM with the given name, or else the daemon.
func (s *session) target(ts *testscript.TestScript, name string) (*world.Daemon, *engine.Engine) {
	if e := s.world.Fabric.Engine(name); e != nil {
		return nil, e
	}
	return s.daemon(ts, name), nil
}

// cmdRun starts a daemon that is not running: run DAEMON.
func cmdRun(ts *testscript.TestScript, _ bool, args []string) {
	failOn(ts, sessionOf(ts).daemon(ts, args[0]).Start())
}

// cmdCrash kills daemons and VMs without draining: crash NAME...
func cmdCrash(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		d, e := sessionOf(ts).target(ts, name)
		if e != nil {
			e.Kill()
			continue
		}
		d.Kill()
	}
}

// cmdRestart starts a killed VM again, which has lost its state: restart VM.
func cmdRestart(ts *testscript.TestScript, _ bool, args []string) {
	_, e := sessionOf(ts).target(ts, args[0])
	failOn(ts, e.Restart())
}

// cmdFreeze suspends daemons and VMs: freeze NAME...
func cmdFreeze(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		d, e := sessionOf(ts).target(ts, name)
		if e != nil {
			e.Freeze()
			continue
		}
		failOn(ts, d.Freeze())
	}
}

// cmdThaw continues frozen daemons and VMs: thaw NAME...
func cmdThaw(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		d, e := sessionOf(ts).target(ts, name)
		if e != nil {
			e.Thaw()
			continue
		}
		failOn(ts, d.Thaw())
	}
}

func parseLink(ts *testscript.TestScript, name string) world.Link {
	switch name {
	case "platform":
		return world.PlatformLink
	case "control":
		return world.ControlLink
	}
	ts.Fatalf("unknown link %q: want platform or control", name)
	return 0
}

// cmdCut drops all data on a link: cut DAEMON platform|control.
func cmdCut(ts *testscript.TestScript, _ bool, args []string) {
	s := sessionOf(ts)
	failOn(ts, s.world.Cut(s.daemon(ts, args[0]), parseLink(ts, args[1])))
}

// cmdDelay adds latency to a link: delay DAEMON platform|control DURATION.
func cmdDelay(ts *testscript.TestScript, _ bool, args []string) {
	s := sessionOf(ts)
	failOn(ts, s.world.Delay(s.daemon(ts, args[0]), parseLink(ts, args[1]), parseDuration(ts, args[2])))
}

// cmdHeal removes cuts and delays from a link: heal DAEMON platform|control.
func cmdHeal(ts *testscript.TestScript, _ bool, args []string) {
	s := sessionOf(ts)
	failOn(ts, s.world.Heal(s.daemon(ts, args[0]), parseLink(ts, args[1])))
}

// cmdTerminate sends SIGTERM and expects the exit code 0: terminate DAEMON.
func cmdTerminate(ts *testscript.TestScript, _ bool, args []string) {
	failOn(ts, sessionOf(ts).daemon(ts, args[0]).Terminate())
}

// cmdOutage starts or ends an outage of the platform's table: outage on|off.
func cmdOutage(ts *testscript.TestScript, _ bool, args []string) {
	sessionOf(ts).world.Platform.SetOutage(args[0] == "on")
}

// cmdSlow delays every response of the platform's table: slow DURATION.
func cmdSlow(ts *testscript.TestScript, _ bool, args []string) {
	sessionOf(ts).world.Platform.SetLatency(parseDuration(ts, args[0]))
}

// cmdLose applies the next N commits without a response: lose N.
func cmdLose(ts *testscript.TestScript, _ bool, args []string) {
	sessionOf(ts).world.Platform.DropResponses(parseInt(ts, args[0], 0))
}

// cmdLeaving marks a VM as leaving in the platform's list: leaving VM.
func cmdLeaving(ts *testscript.TestScript, _ bool, args []string) {
	s := sessionOf(ts)
	vm := s.world.Platform.VM(args[0])
	vm.State = "leaving"
	s.world.Platform.SetVM(platform.VM(vm))
	s.world.Fabric.MarkLeaving(args[0])
}

// cmdAnnounced records in the stand-ins that an operator has announced the VM's stop:
// announced VM.
func cmdAnnounced(ts *testscript.TestScript, _ bool, args []string) {
	sessionOf(ts).world.Fabric.MarkLeaving(args[0])
}
