/** Heartbeats between gateways: who is alive, what each has in flight, and which configuration is in force there. */
export { Datagrams, type Receiver } from './datagrams.js'
export { type Evacuation, type Heartbeat } from './heartbeat.js'
export { Peers, type PeerAddress, type PeersOptions } from './peers.js'
