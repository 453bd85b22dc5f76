// Package peerws carries frames between daemons over WebSocket connections
// with CBOR messages.
//
// It exists so that daemons behind ordinary firewalls and with mutual TLS can
// exchange small frames over one long-lived connection for each graph edge. It
// never blocks its caller: a peer that does not drain its send queue loses its
// connection, and anti-entropy repairs what was dropped. It does harm if frames
// are large, because one connection delivers them in order.
//
// Signals: frames received, failed writes and full send queues. Silence is
// detected by mesh.Node, which orders the replacement of a connection.
//
// Runner drives a mesh.Node over any ports.PeerTransport.
package peerws
