/** Helpers for tests of other packages. */
export { ViewClock } from './view.js'
export { block, blockLoop, loopPhases, type LoopPhase } from './blocking.js'
