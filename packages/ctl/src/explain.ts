/** A line of a log: one numbered event with its fields. */
export interface LogLine {
  readonly time: string
  readonly name: string
  readonly node?: string
  readonly [field: string]: unknown
}

/** What the logs tell of one id. */
export interface Explanation {
  /** The lines that speak of it, and those that speak of the upstreams that it met, in order of time. */
  readonly story: readonly LogLine[]
  /** What happened and why, in a sentence. */
  readonly cause: string
}

/** Lines about an upstream count as long as they are this close to the request, in ms. */
const nearTime = 8000

/** Events that say something of an upstream or of what an entry believed. */
const context = new Set(['upstream-suspected', 'replica-decided', 'engine-order', 'store-lost', 'store-back', 'configuration-unconfirmed', 'configuration-confirmed', 'stopping'])

/** The line of a log file, or undefined where it is none. */
export function readLine (text: string): LogLine | undefined {
  const start = text.indexOf('{"time"')
  if (start < 0) return undefined
  try {
    return JSON.parse(text.slice(start)) as LogLine
  } catch {
    return undefined
  }
}

/** Tells the story of a request, of an upstream, of a replica or of a revision of the configuration. */
export function explain (lines: readonly LogLine[], id: string): Explanation {
  const own = lines.filter(line => speaksOf(line, id))
  const end = own.find(line => line.request === id && (line.name === 'request-ended' || line.name === 'request-refused'))
  const around = end === undefined ? [] : lines.filter(line => !own.includes(line) && isNear(line, end))
  const story = [...own, ...around].sort((a, b) => a.time < b.time ? -1 : a.time > b.time ? 1 : 0)
  return { story, cause: end === undefined ? causeOfOther(own, id) : causeOfRequest(end, around) }
}

function speaksOf (line: LogLine, id: string): boolean {
  if (line.request === id || line.upstream === id || line.replica === id || line.domain === id || String(line.revision) === id) return true
  return line.name === 'replica-decided' && String(line.note).split(/[ :]/).includes(id)
}

/** Whether a line tells what was so around a request's end: of an upstream that it met, or of the entry that had it. */
function isNear (line: LogLine, end: LogLine): boolean {
  if (!context.has(line.name)) return false
  const apart = Date.parse(end.time) - Date.parse(line.time)
  if (apart < 0 || apart > nearTime) return false
  const upstreams = metUpstreams(end)
  if (upstreams.some(each => line.upstream === each || String(line.note ?? '').includes(each))) return true
  return line.node === end.node && line.upstream === undefined && line.note === undefined
}

function metUpstreams (end: LogLine): string[] {
  return String(end.attempts ?? '').split('; ').map(each => each.split(' ')[0]).filter(each => each !== '')
}

function causeOfRequest (end: LogLine, around: readonly LogLine[]): string {
  const entry = `Entry ${end.node ?? '?'}`
  if (end.name === 'request-refused') return `${entry} refused it with ${String(end.status)}: ${reasons[String(end.code)] ?? String(end.code)} (its configuration was confirmed ${String(end.confirmed)} ms before).`
  const outcome = String(end.outcome)
  const attempts = String(end.attempts ?? '')
  const suspected = around.filter(each => each.name === 'upstream-suspected').map(each => String(each.upstream))
  const dissolved = around.filter(each => each.name === 'replica-decided' && String(each.note).includes('dissolved')).map(each => String(each.note))
  const evidence = [
    ...suspected.length > 0 ? [`${[...new Set(suspected)].join(', ')} stood still`] : [],
    ...dissolved.length > 0 ? [`the planner found: ${dissolved.join('; ')}`] : []
  ].join('; ')
  const [code] = outcome.split(' ')
  const reason = reasons[code] ?? `it ended as "${outcome}"`
  return `${entry} had it for ${String(end.took)} ms: ${reason}. Attempts: ${attempts === '' ? 'none' : attempts}.${evidence === '' ? '' : ` Around it: ${evidence}.`}`
}

/** What the codes of refusals and outcomes mean. */
const reasons: Readonly<Record<string, string>> = {
  'unknown-path': 'no route of the configuration in force fits its host and path',
  'bad-key': 'its key belongs to no team of the configuration in force',
  behind: 'the entry had no configuration that it could trust',
  leaving: 'the entry was about to end',
  busy: 'every replica of its model was full, and it was refused before it waited too long; it did not run',
  'no-replica': 'no replica of its model was open; it did not run',
  'upstream-down': 'no upstream took it; it did not run',
  lost: 'an upstream took it and its answer was lost, so it may have run and was not repeated',
  deadline: 'its time was over before it was answered',
  cut: 'its stream broke off in the middle and could not go on elsewhere',
  caller: 'its caller left before the answer',
  answered: 'the answer of an upstream was passed on as it was'
}

function causeOfOther (own: readonly LogLine[], id: string): string {
  if (own.length === 0) return `No line speaks of ${id}. Ordinary successes are sampled; look at the entries' other files.`
  const last = own[own.length - 1]
  return `${own.length} lines speak of ${id}; the last is ${last.name} at ${last.time}${last.note === undefined ? '' : `: ${String(last.note)}`}.`
}
