// Package quarantine finds parts of prompts, and whole requests, that crash upstreams and
// keeps requests with them away from all upstreams. A whole request is one more part, which
// only its copies share.
//
// A request that crashes the engine which begins to answer it is retried, crashes the
// next one, and breaks off all streams of both. The requests share no more than one
// part of their prompts, so that blocking a customer, a route or a common first part
// would harm sound callers.
//
// A crash is evidence against the parts of a request whose response had not shown yet
// that they are harmless. A response with a header and no event weighs more than one
// without a header, which most likely waited in the upstream's queue, and than one with a
// few events. Crashes of several requests at one upstream count once. Crashes that no
// request is to blame for look the same, so one is never enough; and any part that a
// response has got past is sound: it clears the evidence of earlier crashes, and for
// soundTTL more evidence is needed against it. Crashes during the loss of many upstreams
// are no evidence against a whole request.
//
// A part is blocked from a score of blockScore on, for a time that doubles with each
// relapse and is drawn anew by each daemon, so that one daemon tries the part first
// after a block. Parts with the same evidence block only requests that have all of
// them, since nothing shows yet which one is to blame; a part is not blocked if another
// one explains all crashes against it, and more.
//
// Each daemon sees few requests. Daemons therefore exchange their evidence, and their
// knowledge that a suspected part is sound, in reports of bounded size (package peers).
// A crash is identified by its upstream and time, so that it counts once however many
// daemons report it. Without peers a daemon decides on what it has seen itself; the
// platform is not involved.
package quarantine
