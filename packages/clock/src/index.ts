/** The timer service and the seeded random source. */
export { Clock, type Subscription, type Task } from './clock.js'
export { SystemClock, type TaskErrorHandler } from './system.js'
export { ManualClock } from './manual.js'
export { type Random, seeded } from './random.js'
export { Timeout, withTimeout } from './timeout.js'
export { TurnQueue } from './turnqueue.js'
