/** Who is served when not all can be. */
export { TeamUsage } from './usage.js'
export { compareWaiting, decidingRule, isLate, kindOf, nextServed, servingOrder, type Rule, type Waiting } from './order.js'
export { WaitingLine, groupOf } from './line.js'
export { expectedWait, servedInTime } from './expectation.js'
export { UsualPatience } from './patience.js'
export { PlaceRate, mostRate } from './placerate.js'
