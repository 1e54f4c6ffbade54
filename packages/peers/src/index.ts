/**
 * Heartbeats between gateways: which gateways are live, what each has in flight, and which configuration each has in
 * force.
 */
export { Datagrams, type Receiver } from './datagrams.js'
export { type Evacuation, type Heartbeat } from './heartbeat.js'
export { Peers, type PeerAddress, type PeersOptions } from './peers.js'
