// Package quota bounds what all daemons together send a worker, where no daemon asks another:
// each keeps to a part by itself, and the parts have to add up whatever each of them knows.
//
// Roster knows which daemons may send: those whose rows the lease's table lists. Bound gives
// each worker to the first few daemons of its roster, in an order that is drawn anew for each
// worker by rendezvous hashing, and says what each of them may send within a sliding window.
// Ledger keeps what this daemon sent.
//
// # Why the parts add up
//
// Let E be EvidenceAge, M the roster's margin. A view is dated by its evidence: it shows the
// table as it was at some moment between the evidence and its receipt. A row stays until its
// daemon takes it back, perhaps late; rows written anew have another version. A daemon is
// active at t if
//
//	(1) its newest view has evidence of t-E or later,
//	(2) for E+M no view came later than E after the evidence of the one before, and
//	(3) for 2E+M each of its views has shown its own row in the same version.
//
// It counts the daemons of its newest view, and for E+M those that vanished from it.
//
// Claim: of two daemons X and D, active at s and t with |s-t| <= M, each counts the other.
// By (3) and (1) X's row was there throughout a time that began at s-2E-M or before and
// ended at a moment a of s-E or later. D's newest view shows the table at t-E or later,
// which is not before that time began. If it doesn't show X, then X's row went at some
// moment after a. By (2) D's views of the last E+M show the table at moments at most E
// apart, the first of them at t-E-M or before, so not after a; and the time in which X's
// row was there is longer than E. So one of them shows X, and D learned after a that X had
// vanished, which is less than E+M before t. So D counts X.
//
// Hence all who are active within M of each other are among those that each of them
// counts. Let u of them send to a worker. Who counts n daemons sends only if it is among
// the first min(n, K) of these, and so among the first min(n, K) of the u; as that holds
// for the last of them too, u is at most each min(n, K). Each sends at most most/min(n, K)
// in a window, which is at most most/u, and all together at most most.
//
// A daemon that was started again is active only after 2E+M, when what its earlier life
// sent is past. The window is the span in which requests are counted and the time that
// may pass from Ledger.Take until a request leaves, so that the sum holds by leaving too; M is
// longer than that. What a daemon that stands still between Take and leaving sends on
// waking is the one thing not bounded: it is at most its own part, once.
package quota
