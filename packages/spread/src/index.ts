/** Which entries exchange reports, and the latest report of each worker. */
export { responsibleEntry, duties, reportTargets, watchers, type Duties, type FarDuty } from './topology.js'
export { fromColumns, toColumns, type Beat, type Beats } from './beat.js'
export { Reports, type AgedReport, type BeatResult, type ReceivedReport, type Source } from './reports.js'
export { SentReports, type ReportMessage } from './sentreports.js'
