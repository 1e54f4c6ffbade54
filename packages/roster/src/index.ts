/** The upstream nodes that the platform lists, what their engines say of their replicas, and who has gone when. */
export { Membership, Upstream, type State } from './upstream.js'
export { Roster, type Departure, type RosterChange } from './roster.js'
export { Outage } from './outage.js'
