// Command driver2 plays the scripts of the second review: it starts the daemons as
// separate processes, plays the store, replicas and consumers on loopback addresses, and
// judges what these have seen.
package main
