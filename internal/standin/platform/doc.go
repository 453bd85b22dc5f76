// Package platform is a stand-in for the platform: the transactional table
// service, the object store, the weight store and the VM list, in memory, with
// a switch for each fault that the system must survive.
//
// Platform serves HTTP (see docs/design.md, section 7). Platform.Client gives
// in-process access to the same store with the same faults, for tests in
// virtual time.
package platform
