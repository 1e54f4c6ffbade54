/** Which entries exchange reports, and the latest report of each worker. */
export { actor, duties, reportTargets, watchers, type Duties, type FarDuty } from './topology.js'
export { beatsOf, columns, type Beat, type Beats } from './beat.js'
export { Reports, type AgedReport, type BeatResult, type Heard, type Source } from './reports.js'
export { Telling, type ReportMessage } from './sentreports.js'
