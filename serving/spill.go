package serving

// evenEnough is by how much more work for a group a data hall may have than the others before
// its requests go elsewhere too: bytes between halls buy nothing where work is as good as even.
const evenEnough = 1.1

// spill returns the chance with which a request is to be sent without regard to data halls, by
// how much callers ask for in the own hall and elsewhere and by how many groups there are in
// each. A process that has a request every two seconds has nothing under way when it sends the
// next, so that it can't see how full its hall is: with its own preference alone all of a
// hall's requests stay there, whatever happens to its groups. A request sent without regard
// goes elsewhere with the chance that the others' groups are of all; with this chance, halls
// that lost a part of their groups come out as busy as the others.
func spill(hereWork, elsewhereWork float64, hereGroups, elsewhereGroups int) float64 {
	if hereGroups == 0 || elsewhereGroups == 0 || hereWork <= 0 {
		return 0 // there is nothing to choose
	}
	here := hereWork / float64(hereGroups)
	elsewhere := elsewhereWork / float64(elsewhereGroups)
	if here <= evenEnough*elsewhere {
		return 0
	}
	return 1 - elsewhere/here
}

// spillOf returns spill for a model's targets. Where some are in another region, requests
// stay: events would come later from there.
func (s *Server) spillOf(service, model string, targets []Target) float64 {
	if s.opts.HallLoad == nil {
		return 0
	}
	hereWork, elsewhereWork, known := s.opts.HallLoad(service, model)
	if !known {
		return 0
	}
	here, elsewhere := 0, 0
	for _, t := range targets {
		switch {
		case t.Worker.Hall == s.opts.Balancer.hall:
			here++
		case s.opts.SameRegion != nil && !s.opts.SameRegion(t.Worker.Hall):
			return 0
		default:
			elsewhere++
		}
	}
	return spill(hereWork, elsewhereWork, here, elsewhere)
}
