/** One queue for the room of a model's heads. */
export { Asker, type AskerOptions, type Claim, type Finding, type Wish } from './asker.js'
export { Contention, type ContentionOptions } from './contention.js'
export { Counts } from './counts.js'
export { Issuer, ownAsk, type Ask, type Head, type IssuerOptions, type Reply, type Word } from './issuer.js'
export { decodeMessage, encodeMessage, type PlaceMessage } from './messages.js'
export { roomOf, type Room } from './room.js'
