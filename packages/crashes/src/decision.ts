/**
 * Decides after a crash which sets of names to block. Pure; the records are in `history.ts`.
 *
 * A crash interrupts about 20 requests, and all but one of them only ran beside its cause. The parts of a prompt are
 * shared as well: a harmful part always comes with the innocent first part of nearly all requests. So a name is not
 * blocked because it was in many crashes. A crash of an engine with a single suspect blocks the names of that request
 * together; a name leaves the block when a request that has it is served (`CrashHistory.clear`).
 *
 * The load that it answers: up to ten harmful parts at once, each in a new request every 200 ms at any of 3 to 300
 * gateways, beside many, few or no other requests that share the parts before it.
 */
import { suspectNames, type CrashEvent, type InterruptedRequest } from './crash.js'
import { isPartName } from './identity.js'

/** The records that a decision depends on. */
export interface CrashRecords {
  /** The crashes that a name was in, without those before a request with that name was served. */
  crashesOf (name: string): readonly CrashEvent[]
  /** Whether a name is in a block that may have expired. */
  wasBlocked (name: string): boolean
  /** Whether requests with this name were served lately. */
  wasServed (name: string): boolean
  /** Whether this set of names was blocked and the block has expired. */
  hasExpired (names: readonly string[]): boolean
}

/** A set of names to block. */
export interface Decision {
  /** Sorted. */
  readonly names: readonly string[]
  /** In ms. */
  readonly duration: number
}

/**
 * Numbers of crashes after which a request, and a part, is suspected. A crash involves few parts that nobody else is
 * served with at the same time, but many requests.
 */
const requestSuspectThreshold = 2
const partSuspectThreshold = 1

/** Whether a name is suspected after this number of crashes. */
export function isSuspicious (name: string, crashes: number): boolean {
  return crashes >= (isPartName(name) ? partSuspectThreshold : requestSuspectThreshold)
}

/**
 * Number of crashes after which a request is blocked even if each had another suspect. The limit is needed because
 * several harmful requests may meet at one upstream, and because gateways learn of each other's trials too late.
 */
const requestThreshold = 4

/**
 * Number of different explanations of a part's crashes from which on the part itself is taken for the cause. It is much
 * higher for a part that requests have been served with lately: then several harmful parts that share it are likelier.
 */
const explanationThreshold = 4
const servedExplanationThreshold = 12

/**
 * Number of crashes during trials before a part may be blocked that way. A power failure interrupts many requests with
 * the same first part at once.
 */
const trialThreshold = 2

/**
 * Number of crashes that no other part can have caused, before a part is blocked that requests have been served with
 * lately. An engine may end by itself during a trial, and the report of another request there may be lost.
 */
const eliminationThreshold = 2

/** Time after which a blocked request may run once more as a suspect, in ms. The engines may have been fixed by then. */
const blockDurationMs = 60 * 60_000

/**
 * Duration of the first block of a set with parts, in ms. An engine may crash by itself during a trial, and several
 * harmful parts may share an innocent one that nobody else uses, so a request is tried soon.
 */
const provisionalDurationMs = 60_000

/** The sets of names to block after a crash. */
export function decide (event: CrashEvent, records: CrashRecords): Decision[] {
  return [...soleSuspectBlock(event, records), ...requestBlocks(event, records), ...partBlocks(event, records)]
}

/** Whether a name was already suspected when a crash happened. */
function wasSuspected (name: string, event: CrashEvent, records: CrashRecords): boolean {
  return records.wasBlocked(name) || isSuspicious(name, records.crashesOf(name).filter(each => each.at < event.at).length)
}

/** The names of an interrupted request that are still suspected of this crash. */
function openNames (request: InterruptedRequest, event: CrashEvent, records: CrashRecords): string[] {
  return suspectNames(request).filter(each => records.crashesOf(each).includes(event))
}

/**
 * Blocks the names of the only suspect of a crash: the suspected ones, and parts that no request has been served with
 * since. Requests that had written for a while are suspects only if there is no other.
 */
function soleSuspectBlock (event: CrashEvent, records: CrashRecords): Decision[] {
  const suspects = [...event.requests.values()].filter(each => isSuspect(each, event, records))
  const beginning = suspects.filter(each => each.beginning)
  const [request, ...others] = beginning.length > 0 ? beginning : suspects
  if (request === undefined || others.length > 0) return []
  const open = openNames(request, event, records)
  const suspected = open.filter(each => wasSuspected(each, event, records))
  if (suspected.length === 0) return []
  if (!suspected.some(isPartName) && openParts(event, records).some(each => !request.parts.includes(each))) return []
  const names = open.filter(each => each !== request.request || suspected.includes(each))
  if (names.every(each => isPartName(each) && records.wasServed(each)) && !areEliminated(names, records)) return []
  return [timed([...names, ...commonTeam(request, suspected, records)].sort(), records)]
}

/**
 * Whether a request was suspected when it was sent. A request is at one upstream at a time, so its crashes follow each
 * other; a part may be in several crashes at once, so only a trial shows that it was suspected before.
 */
function isSuspect (request: InterruptedRequest, event: CrashEvent, records: CrashRecords): boolean {
  const open = openNames(request, event, records)
  const candidates = request.trial ? open : open.filter(each => each === request.request)
  return candidates.some(each => wasSuspected(each, event, records))
}

/**
 * The team, if all crashes with the suspected parts came from requests of one team. The block then binds only that
 * team, so nobody can have a part blocked for others by naming it in requests that crash for another reason.
 */
function commonTeam ({ request, team }: InterruptedRequest, suspected: readonly string[], records: CrashRecords): string[] {
  if (team === undefined || suspected.includes(request)) return []
  const others = suspected.flatMap(name => records.crashesOf(name).flatMap(event => requestsWith(name, event)))
  return others.every(each => each.team === team) ? [team] : []
}

function requestsWith (name: string, event: CrashEvent): InterruptedRequest[] {
  return [...event.requests.values()].filter(each => suspectNames(each).includes(name))
}

/** Blocks requests that were in too many crashes. Crashes with a part that returns do not count. */
function requestBlocks (event: CrashEvent, records: CrashRecords): Decision[] {
  const counted = (each: CrashEvent): boolean => !openParts(each, records).some(part => records.crashesOf(part).length > 1)
  const requests = [...event.requests.keys()].filter(each => records.crashesOf(each).filter(counted).length >= requestThreshold)
  return requests.map(each => ({ names: [each], duration: blockDurationMs }))
}

/** The parts that are still suspected of a crash. */
export function openParts (event: CrashEvent, records: CrashRecords): string[] {
  return [...event.requests.values()].flatMap(each => openNames(each, event, records)).filter(isPartName)
}

/** Blocks each part that is taken for the cause of its crashes, together with the names that were in all of them. */
function partBlocks (event: CrashEvent, records: CrashRecords): Decision[] {
  return [...new Set(openParts(event, records))].filter(each => isLikelyCause(each, records)).map(each => timed(companions(each, records), records))
}

/** Blocks a set of names for a time that depends on whether it was blocked before. */
function timed (names: readonly string[], records: CrashRecords): Decision {
  const isFirst = names.some(isPartName) && !records.hasExpired(names)
  return { names, duration: isFirst ? provisionalDurationMs : blockDurationMs }
}

function isLikelyCause (part: string, records: CrashRecords): boolean {
  const threshold = records.wasServed(part) ? servedExplanationThreshold : explanationThreshold
  return trialCrashes(part, records) >= trialThreshold && explanations(part, records).size >= threshold
}

/** Whether enough crashes during trials leave nothing but these parts as their cause. */
function areEliminated (parts: readonly string[], records: CrashRecords): boolean {
  const crashes = records.crashesOf(parts[0]).filter(event => isCausedByOneOf(parts, event, records))
  return crashes.length >= eliminationThreshold
}

/** Whether a trial crashed and every request that was beginning had no other suspected parts. */
function isCausedByOneOf (parts: readonly string[], event: CrashEvent, records: CrashRecords): boolean {
  const beginning = [...event.requests.values()].filter(each => each.beginning)
  return beginning.some(each => each.trial) && beginning.every(each => openNames(each, event, records).every(name => !isPartName(name) || parts.includes(name)))
}

/** Number of crashes during trials of requests with this part. */
function trialCrashes (part: string, records: CrashRecords): number {
  return records.crashesOf(part).filter(event => requestsWith(part, event).some(each => each.trial)).length
}

/**
 * What would explain the crashes of a part if it is innocent: in each crash the other part that was in the fewest
 * crashes, or the crash itself if there is no other part. The fewer there are, the likelier they are the causes.
 */
function explanations (part: string, records: CrashRecords): Set<string | CrashEvent> {
  return new Set(records.crashesOf(part).map(event => explanation(part, event, records)))
}

function explanation (part: string, event: CrashEvent, records: CrashRecords): string | CrashEvent {
  const count = (name: string): number => records.crashesOf(name).length
  const [rarest] = openParts(event, records).filter(each => count(each) < count(part)).sort((one, other) => count(one) - count(other))
  return rarest ?? event
}

/** The names that all requests with this part had in all of its crashes, sorted. */
function companions (part: string, records: CrashRecords): string[] {
  const sets = records.crashesOf(part).flatMap(event => requestsWith(part, event).map(each => [...openNames(each, event, records), ...each.team === undefined ? [] : [each.team]]))
  return sets.reduce((common, names) => common.filter(each => names.includes(each))).sort()
}
