package serving

// spillThreshold is the ratio of the work per group in the local hall to that in the others
// above which requests go to other halls too. Below it, traffic between halls gains nothing.
const spillThreshold = 1.1

// spill returns the probability of sending a request without preference for the local hall, by
// the demand and the number of groups there and in the other halls. Requests in flight alone
// don't show how full a hall is: a process with one request every two seconds has none in
// flight when it sends the next. With only the hall preference all of a hall's requests would
// stay local, however many of its groups are lost. A request sent without preference leaves
// the hall with the probability that the remote groups have among all groups. This probability
// therefore equalizes the load of halls that lost some of their groups with the others.
func spill(localWork, remoteWork float64, localGroups, remoteGroups int) float64 {
	if localGroups == 0 || remoteGroups == 0 || localWork <= 0 {
		return 0 // there is no choice
	}
	local := localWork / float64(localGroups)
	remote := remoteWork / float64(remoteGroups)
	if local <= spillThreshold*remote {
		return 0
	}
	return 1 - remote/local
}

// spillChance returns spill for a model's targets. It returns 0 if some are in another region,
// since their events would arrive later.
func (s *Server) spillChance(service, model string, targets []Target) float64 {
	if s.opts.HallDemand == nil {
		return 0
	}
	localWork, remoteWork, known := s.opts.HallDemand(service, model)
	if !known {
		return 0
	}
	local, remote := 0, 0
	for _, t := range targets {
		switch {
		case t.Worker.Hall == s.opts.Balancer.hall:
			local++
		case s.opts.SameRegion != nil && !s.opts.SameRegion(t.Worker.Hall):
			return 0
		default:
			remote++
		}
	}
	return spill(localWork, remoteWork, local, remote)
}
