// Package administration checks configuration changes made by operators: who
// may change what, how a change affects traffic, which changes require force,
// and how two concurrent changes merge. It defines the messages of the
// administration API, which the server and the command line share.
//
// Authorization compares the documents before and after a change instead of
// looking at the API call, so that no call can change more than its token
// allows. The package works on the configuration only and has no access to a
// clock, the network or a store.
package administration
