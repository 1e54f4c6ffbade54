/** Which entry talks to which, and what a process has heard of each worker. */
export { actor, duties, reportTargets, watchers, type Duties, type FarDuty } from './topology.js'
export { beatsOf, columns, type Beat, type Beats } from './beat.js'
export { Reports, type AgedReport, type BeatResult, type Heard, type Source } from './heard.js'
export { Telling, type News } from './telling.js'
