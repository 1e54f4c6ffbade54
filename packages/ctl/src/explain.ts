/**
 * Finds out from gateways' logs what happened to one id: a request, an upstream, a replica, a domain, or a revision. Pure:
 * lines in, an explanation out. Relies on the names and fields of log events, which never change (docs/operators/events.md),
 * so logs of earlier builds are read as well.
 */

/** A log line: one numbered event with its fields. */
export interface LogLine {
  readonly time: string
  readonly name: string
  readonly node?: string
  readonly [field: string]: unknown
}

/** What the logs say about one id. */
export interface Explanation {
  /** Lines that name it and, for a request, lines about its upstreams and its gateway shortly before its end; by time. */
  readonly story: readonly LogLine[]
  /** What happened and why, in one sentence. */
  readonly cause: string
}

/** Lines are related to a request for this long before its end, in ms: the longest deadline of both sites (8 s). */
const relatedTime = 8000

/** Events about an upstream, or about what a gateway believed. */
const relatedEvents = new Set(['upstream-suspected', 'upstream-resting', 'upstream-leaving', 'upstream-limited', 'room-contended', 'evacuation-begun', 'evacuation-ended', 'replica-decided', 'engine-order', 'store-lost', 'store-back', 'configuration-unconfirmed', 'configuration-confirmed', 'stopping'])

/** Outcomes of requests for which no upstream was found. */
const roomless = new Set(['busy', 'no-replica', 'upstream-down'])

/** Decodes one line of a log file; undefined where it is no event. Anything may stand before the JSON. */
export function readLine (text: string): LogLine | undefined {
  const start = text.indexOf('{"time"')
  if (start < 0) return undefined
  try {
    return JSON.parse(text.slice(start)) as LogLine
  } catch {
    // Other programs may write to the same file, and a line may be cut at its end: neither says anything of the id.
    return undefined
  }
}

/** Explains a request, an upstream, a replica, a domain, a data centre or a revision of the configuration. */
export function explain (lines: readonly LogLine[], id: string): Explanation {
  const own = lines.filter(line => names(line, id))
  const end = own.find(line => line.request === id && (line.name === 'request-ended' || line.name === 'request-refused'))
  const around = end === undefined ? [] : lines.filter(line => !own.includes(line) && isRelated(line, end))
  const story = [...own, ...around].sort((a, b) => a.time < b.time ? -1 : a.time > b.time ? 1 : 0)
  return { story, cause: end === undefined ? causeOfOther(own, id) : causeOfRequest(end, around) }
}

function names (line: LogLine, id: string): boolean {
  if (line.request === id || line.upstream === id || line.replica === id || line.domain === id || line.dataCentre === id || String(line.revision) === id) return true
  return line.name === 'replica-decided' && String(line.note).split(/[ :]/).includes(id)
}

/** Whether a line shortly before a request's end is about an upstream of its attempts, or about the gateway that had it. */
function isRelated (line: LogLine, end: LogLine): boolean {
  if (!relatedEvents.has(line.name)) return false
  const apart = Date.parse(end.time) - Date.parse(line.time)
  // A request that was refused since upstreams rest, or their limits are used up, has no attempt that would name them.
  if (String(end.outcome).startsWith('busy') && line.node === end.node && apart >= 0) {
    if (line.name === 'upstream-resting') return apart < Number(line.rest)
    // A limit holds until the next line about it.
    if (line.name === 'upstream-limited') return true
  }
  // So does an evacuation.
  if (line.name.startsWith('evacuation-') && line.node === end.node && apart >= 0) return roomless.has(String(end.outcome).split(' ')[0])
  if (apart < 0 || apart > relatedTime) return false
  const upstreams = attemptedUpstreams(end)
  if (upstreams.some(each => line.upstream === each || String(line.note ?? '').includes(each))) return true
  return line.node === end.node && line.upstream === undefined && line.note === undefined
}

function attemptedUpstreams (end: LogLine): string[] {
  return String(end.attempts ?? '').split('; ').map(each => each.split(' ')[0]).filter(each => each !== '')
}

function causeOfRequest (end: LogLine, around: readonly LogLine[]): string {
  const gateway = `Gateway ${end.node ?? '?'}`
  if (end.name === 'request-refused') return `${gateway} refused it with ${String(end.status)}: ${reasons[String(end.code)] ?? String(end.code)} (its configuration was confirmed ${String(end.confirmed)} ms before).`
  const outcome = String(end.outcome)
  const attempts = String(end.attempts ?? '')
  const suspected = around.filter(each => each.name === 'upstream-suspected').map(each => String(each.upstream))
  const resting = around.filter(each => each.name === 'upstream-resting' && each.node === end.node).map(restOf)
  const dissolved = around.filter(each => each.name === 'replica-decided' && String(each.note).includes('dissolved')).map(each => String(each.note))
  const evidence = [
    ...suspected.length > 0 ? [`${[...new Set(suspected)].join(', ')} stalled`] : [],
    ...resting,
    ...limitsOf(around.filter(each => each.node === end.node)),
    ...evacuationsOf(around),
    ...dissolved.length > 0 ? [`the planner found: ${dissolved.join('; ')}`] : []
  ].join('; ')
  const [code] = outcome.split(' ')
  const reason = reasons[code] ?? `it ended as "${outcome}"`
  const rule = end.rule === undefined || code !== 'busy' ? '' : ` What went before it: ${shortages[String(end.rule)] ?? String(end.rule)}.`
  return `${gateway} had it for ${String(end.took)} ms: ${reason}.${rule} Attempts: ${attempts === '' ? 'none' : attempts}.${evidence === '' ? '' : ` Shortly before: ${evidence}.`}`
}

/** Until when an upstream had asked for rest. */
function restOf ({ upstream, time, rest }: LogLine): string {
  return `the upstream ${String(upstream)} asked for rest until ${new Date(Date.parse(time) + Number(rest)).toISOString()}`
}

/** The limits that upstreams named last, where they had not lifted them again. */
function limitsOf (lines: readonly LogLine[]): string[] {
  const inOrder = lines.filter(each => each.name === 'upstream-limited').sort((a, b) => Date.parse(a.time) - Date.parse(b.time))
  const last = new Map(inOrder.map(({ upstream, limit }) => [String(upstream), limit]))
  return [...last].flatMap(([upstream, limit]) => limit === undefined ? [] : [`${upstream} was limited by its own word to ${String(limit)} requests a second`])
}

/** The data centres that were evacuated, where that was not over. */
function evacuationsOf (lines: readonly LogLine[]): string[] {
  const inOrder = lines.filter(each => each.name.startsWith('evacuation-')).sort((a, b) => Date.parse(a.time) - Date.parse(b.time))
  const last = new Map(inOrder.map(({ dataCentre, name }) => [String(dataCentre), name]))
  return [...last].flatMap(([dataCentre, name]) => name === 'evacuation-begun' ? [`the data centre ${dataCentre} was evacuated`] : [])
}

/** What kept a request from the places that came free, by the rule in `request-ended`. */
const shortages: Readonly<Record<string, string>> = {
  'no room': 'nothing, no place came free',
  'queue too long': 'more requests than places that could come free while it would have waited, so it did not wait',
  'came back early': 'others, since its caller came back sooner than it was told',
  'team above its share': 'requests of other teams, since its own was served more than its share lately (eiderwind_teams_above_share)',
  late: 'requests that could still be in time, since it could not',
  'less urgent': 'more urgent requests',
  'came back': 'requests that came for the first time',
  'team was served more': 'requests of teams that were served less for what they usually ask for',
  'more time left': 'requests that had less time left',
  'came later': 'requests that had come before it'
}

/** What happened, by the code of a refusal or the first word of an outcome. */
const reasons: Readonly<Record<string, string>> = {
  'unknown-path': 'no route of the configuration in force fits its host and path',
  'bad-key': 'its key belongs to no team of the configuration in force',
  behind: 'the gateway had no configuration that it could trust',
  leaving: 'the gateway was about to end',
  busy: 'every replica of its model was full, had asked for rest or took no more requests a second, or (with `queue`) the queue for all gateways at that one was too long, and it was refused before it waited too long; it did not run',
  'no-replica': 'no replica of its model was open; it did not run',
  'upstream-down': 'no upstream took it; it did not run',
  lost: 'an upstream took it and its answer was lost, so it may have run and was not repeated',
  deadline: 'its time was over before it was answered',
  cut: 'its stream broke off in the middle and could not go on elsewhere',
  caller: 'its caller left before the answer',
  stalled: 'its caller read nothing of the answer for longer than it may, and its connection was closed',
  answered: 'the answer of an upstream was passed on as it was'
}

function causeOfOther (own: readonly LogLine[], id: string): string {
  if (own.length === 0) return `No line names ${id}. Ordinary successes are sampled; look at the logs of the other gateways.`
  const last = own[own.length - 1]
  return `${own.length} lines name ${id}; the last is ${last.name} at ${last.time}${last.note === undefined ? '' : `: ${String(last.note)}`}.`
}
