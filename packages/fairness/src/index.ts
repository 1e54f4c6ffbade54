/** The order in which waiting requests are served when there is not enough room for all. */
export { TeamUsage } from './usage.js'
export { compareWaiting, decidingRule, isLate, kindOf, nextServed, servingOrder, type Rule, type WaitingRequest } from './order.js'
export { WaitingQueue, groupOf } from './waitingqueue.js'
export { expectedWait, servedInTime } from './expectation.js'
export { UsualMaxWaits } from './maxwaits.js'
export { PlaceRate, maxRate } from './placerate.js'
