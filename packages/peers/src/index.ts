/** What entries tell each other, so that each knows who is there, who has how much, and which configuration is in force. */
export { Beat } from './beat.js'
export { Peers, type PeerAddress, type PeersOptions } from './peers.js'
