// Package quota bounds what all daemons together send to a worker without coordination
// per request: each daemon keeps to a part of the bound by itself, and the parts add up to
// at most the bound whatever each daemon knows of the others.
//
// Roster tracks which daemons may send: those whose rows the table of the lease lists.
// Bound assigns each worker to the first few daemons of its roster, in an order that
// rendezvous hashing draws for each worker, and sets what each of them may send within a
// sliding window. Ledger records what this daemon sent.
//
// # Why the parts add up
//
// Let E be the roster's maximum age of a view, M its margin. A view is dated by its evidence: it
// shows the table as it was at some time between the evidence and its receipt. A row stays
// until its daemon removes it, perhaps late; a row that is written again has another
// version. A daemon is active at t if
//
//	(1) its newest view has evidence of t-E or later,
//	(2) for E+M each view came at most E after the evidence of the one before, and
//	(3) for L each of its views has shown its own row in the same version, where L is
//	    the larger of E+M and 2E and some room.
//
// It counts the daemons of its newest view, and for E+M those that vanished from it.
//
// Claim: of two daemons X and D, active at s and t with |s-t| <= M, each counts the other.
// By (3) and (1) X's row was there throughout a period that started at s-L or before and
// ended at a time a of s-E or later. D's newest view shows the table at t-E or later, which
// is not before that period started: t-E >= s-E-M >= s-L. If it doesn't show X, then X's
// row was removed at some time after a. By (2) D's views of the last E+M show the table at
// times at most E apart, the first of them at t-E-M or before, so not after a; and the
// period in which X's row was there lasted L-E or longer, which is more than E. So one of
// them shows X, and D noticed after a that X had vanished, which is less than E+M before t.
// So D counts X.
//
// A daemon that counts n daemons may also use 1/n of a whole (Roster.Count): all that use
// their parts within M of each other are among the n of each of them, so that no more than
// n do, for the smallest n.
//
// Hence all daemons that are active within M of each other are among those that each of
// them counts. Let u of them send to a worker. A daemon that counts n daemons sends only
// if it is among the first min(n, K) of these, and so among the first min(n, K) of the u;
// as that holds for the last of them too, u is at most each min(n, K). Each sends at most
// most/min(n, K) in a window, which is at most most/u, and all together at most most. Here
// most is Bound.MaxRequests, and K is max(most/Bound.Each, 1), the number of daemons that
// may send if there are more.
//
// A daemon that restarts is active only after E+M, when the requests of its previous run
// are past. The window is the span in which requests are counted plus the time that may
// pass from Ledger.Take until a request is sent, so that the sum also holds by the time of
// sending; M is longer than that. The one exception is a daemon that stalls between Take
// and sending: what it sends when it resumes isn't bounded by the window. It is at most
// its own part, once.
package quota
