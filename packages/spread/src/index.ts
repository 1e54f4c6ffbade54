/** Who tells whom, and what a process has heard. */
export { actor, duties, reportTargets, watchers, type Duties, type FarDuty } from './topology.js'
export { Reports, type AgedReport, type Heard } from './heard.js'
