/** Who is served when not all can be. */
export { TeamUsage } from './usage.js'
export { compareWaiting, isLate, kindOf, nextServed, type Waiting } from './order.js'
export { expectedWait } from './expectation.js'
