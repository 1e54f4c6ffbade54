/**
 * Explains from gateways' logs what happened to one id: a request, an upstream, a replica, a domain, a data centre or a
 * revision. Pure functions. It relies on the names and fields of log events, which never change
 * (docs/operators/events.md), so it also reads logs of earlier builds.
 */

/** A log line: one event with its fields. */
export interface LogLine {
  readonly time: string
  readonly name: string
  /** Id of the gateway that wrote the line. */
  readonly node?: string
  readonly [field: string]: unknown
}

/** What the logs contain about one id. */
export interface Explanation {
  /**
   * Lines that contain the id, in order of time; for a request also lines about its upstreams and its gateway shortly
   * before its end.
   */
  readonly story: readonly LogLine[]
  /** What happened and why, as text. */
  readonly cause: string
}

/**
 * Maximum time between a related line and the later end of its request. 8 s is the longest deadline at both sites.
 */
const relatedTimeMs = 8000

/** Events about an upstream or about the state of a gateway. */
const relatedEvents = new Set(['upstream-suspected', 'upstream-resting', 'upstream-leaving', 'upstream-limited', 'upstream-departed', 'upstream-retained', 'upstreams-old', 'room-contended', 'evacuation-begun', 'evacuation-ended', 'retry-budget-spent', 'replica-decided', 'engine-order', 'store-lost', 'store-back', 'configuration-unconfirmed', 'configuration-confirmed', 'stopping'])

/** Outcomes of requests that found no room, as in `capacity.ts`. */
const noRoomOutcomes = new Set(['busy', 'no-replica', 'upstream-down'])

/** Decodes one line of a log file. Returns undefined if it is no event. Any text may precede the JSON. */
export function readLine (text: string): LogLine | undefined {
  const start = text.indexOf('{"time"')
  if (start < 0) return undefined
  try {
    return JSON.parse(text.slice(start)) as LogLine
  } catch {
    // Other programs may write to the same file, and the last line may be cut off. Neither is an event.
    return undefined
  }
}

/** Explains a request, an upstream, a replica, a domain, a data centre or a revision of the configuration. */
export function explain (lines: readonly LogLine[], id: string): Explanation {
  const matching = lines.filter(line => isAbout(line, id))
  const end = matching.find(line => line.request === id && (line.name === 'request-ended' || line.name === 'request-refused'))
  const related = end === undefined ? [] : lines.filter(line => !matching.includes(line) && isRelated(line, end))
  const story = [...matching, ...related].sort((a, b) => a.time < b.time ? -1 : a.time > b.time ? 1 : 0)
  return { story, cause: end === undefined ? causeOfOther(matching, id) : causeOfRequest(end, related) }
}

function isAbout (line: LogLine, id: string): boolean {
  if (line.request === id || line.upstream === id || line.replica === id || line.domain === id || line.dataCentre === id || String(line.revision) === id) return true
  return line.name === 'replica-decided' && String(line.note).split(/[ :]/).includes(id)
}

/**
 * Whether a line helps to explain the end of a request. It is about an upstream of the request's attempts or about its
 * gateway, and was written shortly before the end or describes a state that still applied then.
 */
function isRelated (line: LogLine, end: LogLine): boolean {
  if (!relatedEvents.has(line.name)) return false
  const elapsed = Date.parse(end.time) - Date.parse(line.time)
  // If a request was refused because upstreams rest or because their limits are used up, its attempts do not name these
  // upstreams.
  if (String(end.outcome).startsWith('busy') && line.node === end.node && elapsed >= 0) {
    if (line.name === 'upstream-resting') return elapsed < Number(line.rest)
    // A limit applies until the next line about the same upstream, however old it is.
    if (line.name === 'upstream-limited') return true
  }
  // An evacuation applies until the next line about the same data centre.
  if (line.name.startsWith('evacuation-') && line.node === end.node && elapsed >= 0) return noRoomOutcomes.has(String(end.outcome).split(' ')[0])
  if (elapsed < 0 || elapsed > relatedTimeMs) return false
  const upstreams = attemptedUpstreams(end)
  if (upstreams.some(each => line.upstream === each || String(line.note ?? '').includes(each))) return true
  return line.node === end.node && line.upstream === undefined && line.note === undefined
}

function attemptedUpstreams (end: LogLine): string[] {
  return String(end.attempts ?? '').split('; ').map(each => each.split(' ')[0]).filter(each => each !== '')
}

function causeOfRequest (end: LogLine, related: readonly LogLine[]): string {
  const gateway = `Gateway ${end.node ?? '?'}`
  if (end.name === 'request-refused') return `${gateway} refused it with ${String(end.status)}: ${reasons[String(end.code)] ?? String(end.code)} (its configuration was confirmed ${String(end.confirmed)} ms before).`
  const outcome = String(end.outcome)
  const attempts = String(end.attempts ?? '')
  const suspected = related.filter(each => each.name === 'upstream-suspected').map(each => String(each.upstream))
  const resting = related.filter(each => each.name === 'upstream-resting' && each.node === end.node).map(restOf)
  const dissolved = related.filter(each => each.name === 'replica-decided' && String(each.note).includes('dissolved')).map(each => String(each.note))
  const evidence = [
    ...suspected.length > 0 ? [`${[...new Set(suspected)].join(', ')} stalled`] : [],
    ...resting,
    ...limitsOf(related.filter(each => each.node === end.node)),
    ...evacuationsOf(related),
    ...end.denied === true ? budgetOf(end, related) : [],
    ...related.filter(each => each.name === 'engine-order' && each.kind === 'close').map(closeOf),
    ...dissolved.length > 0 ? [`the planner logged: ${dissolved.join('; ')}`] : []
  ].join('; ')
  const [code] = outcome.split(' ')
  const reason = reasons[code] ?? `it ended as "${outcome}"`
  const rule = end.rule === undefined || code !== 'busy' ? '' : ` What was ahead of it: ${shortageReasons[String(end.rule)] ?? String(end.rule)}.`
  const denied = end.denied === true ? ' It was not sent again: the retry budget of its service was used up.' : ''
  return `${gateway} had it for ${String(end.took)} ms: ${reason}.${rule}${denied} Attempts: ${attempts === '' ? 'none' : attempts}.${evidence === '' ? '' : ` Shortly before: ${evidence}.`}`
}

/** Why the planner had a replica stop serving, and what the order ended. Older lines have no reason. */
function closeOf ({ upstream, replica, manner, reason, evidence, streams, silence }: LogLine): string {
  const effect = manner === 'cut' ? `cutting ${String(streams)} requests in flight` : 'after its requests in flight'
  const why = reason === undefined ? '' : `: ${String(reason)}`
  const against = evidence === undefined ? '' : ` (${String(evidence)})`
  const last = silence === undefined ? '' : `, ${String(silence)} ms after the last data from it`
  return `the planner closed ${String(replica)} at ${String(upstream)}, ${effect}${last}${why}${against}`
}

/** Until when an upstream asked for rest. */
function restOf ({ upstream, time, rest }: LogLine): string {
  return `the upstream ${String(upstream)} asked for rest until ${new Date(Date.parse(time) + Number(rest)).toISOString()}`
}

/** The last limit of each upstream, unless the upstream lifted it. */
function limitsOf (lines: readonly LogLine[]): string[] {
  const inOrder = lines.filter(each => each.name === 'upstream-limited').sort((a, b) => Date.parse(a.time) - Date.parse(b.time))
  const last = new Map(inOrder.map(({ upstream, limit }) => [String(upstream), limit]))
  return [...last].flatMap(([upstream, limit]) => limit === undefined ? [] : [`${upstream} had announced a limit of ${String(limit)} requests per second`])
}

/** The data centres whose evacuation had not ended. */
function evacuationsOf (lines: readonly LogLine[]): string[] {
  const inOrder = lines.filter(each => each.name.startsWith('evacuation-')).sort((a, b) => Date.parse(a.time) - Date.parse(b.time))
  const last = new Map(inOrder.map(({ dataCentre, name }) => [String(dataCentre), name]))
  return [...last].flatMap(([dataCentre, name]) => name === 'evacuation-begun' ? [`the data centre ${dataCentre} was evacuated`] : [])
}

/** The state of the retry budget of a request's service when it was last logged. */
function budgetOf ({ node, service }: LogLine, lines: readonly LogLine[]): string[] {
  const line = lines.filter(each => each.name === 'retry-budget-spent' && each.node === node && each.service === service).at(-1)
  if (line === undefined) return []
  return [`${String(line.denied)} retries of ${String(service)} denied, ${String(line.used)} of ${String(line.part)} used of this gateway's part of the slack (${String(line.gateways)} gateways), ${String(line.life)} ms after its start`]
}

/** What was ahead of a request that got no place, by the field `rule` of `request-ended`. */
const shortageReasons: Readonly<Record<string, string>> = {
  'no room': 'nothing, no place became free',
  'queue too long': 'more requests than places that could become free within its wait, so it did not wait',
  'came back early': 'other requests, because its caller retried earlier than it was asked to',
  'team above its share': 'requests of other teams, because its own team was recently served more than its share (eiderwind_teams_above_share)',
  late: 'requests that could still be served in time, because it could not',
  'less urgent': 'more urgent requests',
  'came back': 'requests that were not retries',
  'team was served more': 'requests of teams that were served less in relation to their usual demand',
  'more time left': 'requests that had less time left',
  'came later': 'requests that had arrived before it'
}

/** What happened, by the code of a refusal or by the first word of an outcome. */
const reasons: Readonly<Record<string, string>> = {
  'unknown-path': 'no route of the current configuration matches its host and path',
  'bad-key': 'its key belongs to no team of the current configuration',
  behind: 'the gateway had no configuration that was confirmed recently enough',
  leaving: 'the gateway was shutting down',
  busy: 'every replica of its model was full, had asked for rest or had used up its limit of requests per second, or (with `queue`) the common queue of all gateways was too long; it was refused before it waited too long, and it did not run',
  'no-replica': 'no replica of its model was open; it did not run',
  'upstream-down': 'no upstream accepted it; it did not run',
  lost: 'an upstream accepted it and its answer was lost, so it may have run and was not repeated',
  deadline: 'its deadline passed before it was answered',
  cut: 'its stream broke off and could not be resumed on another upstream',
  caller: 'its caller closed the connection before the answer',
  stalled: 'its caller read nothing of the answer for longer than allowed, and its connection was closed',
  answered: 'the answer of an upstream was forwarded unchanged'
}

function causeOfOther (matching: readonly LogLine[], id: string): string {
  if (matching.length === 0) return `No line names ${id}. Ordinary successes are sampled; check the logs of the other gateways.`
  const last = matching[matching.length - 1]
  return `${matching.length} lines name ${id}; the last is ${last.name} at ${last.time}${last.note === undefined ? '' : `: ${String(last.note)}`}.`
}
