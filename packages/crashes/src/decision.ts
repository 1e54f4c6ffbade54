/**
 * Decides after a crash which sets of names to block. Pure; the records are in `history.ts`.
 *
 * A crash interrupts about 20 requests, and all but one of them only ran beside its cause. The parts of a prompt are
 * shared as well: a harmful part always comes with the innocent first part of nearly all requests. So a name is not
 * blocked because it was in many crashes. A crash of an engine with a single suspect blocks the names of that request
 * together; a name leaves the block when a request that has it is served (`CrashHistory.clear`).
 */
import { suspectNames, type CrashEvent, type InterruptedRequest } from './crash.js'
import { isPartName } from './identity.js'

/** The records that a decision depends on. */
export interface CrashRecords {
  /** The crashes that a name was in, without those before a request with that name was served. */
  crashesOf (name: string): readonly CrashEvent[]
  /** Whether a name is in a block that may have expired. */
  wasBlocked (name: string): boolean
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
 * Numbers of crashes, and of crashes during trials, after which a part is blocked even if it always came with other
 * suspected names. Trials are required because a power failure interrupts many requests with the same first part.
 */
const partThreshold = 5
const partTrialThreshold = 2

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
  const names = open.filter(each => each !== request.request || suspected.includes(each))
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

/** Blocks requests that were in too many crashes. */
function requestBlocks (event: CrashEvent, records: CrashRecords): Decision[] {
  const requests = [...event.requests.keys()].filter(each => records.crashesOf(each).length >= requestThreshold)
  return requests.map(each => ({ names: [each], duration: blockDurationMs }))
}

/** Blocks each part that was in too many crashes, together with the names that were in all of these crashes. */
function partBlocks (event: CrashEvent, records: CrashRecords): Decision[] {
  const parts = new Set([...event.requests.values()].flatMap(each => openNames(each, event, records).filter(name => name !== each.request)))
  return [...parts].filter(each => hasCrashedTooOften(each, records)).map(each => timed(companions(each, records), records))
}

/** Blocks a set of names for a time that depends on whether it was blocked before. */
function timed (names: readonly string[], records: CrashRecords): Decision {
  const isFirst = names.some(isPartName) && !records.hasExpired(names)
  return { names, duration: isFirst ? provisionalDurationMs : blockDurationMs }
}

function hasCrashedTooOften (part: string, records: CrashRecords): boolean {
  const crashes = records.crashesOf(part)
  const trials = crashes.filter(event => requestsWith(part, event).some(each => each.trial))
  return crashes.length >= partThreshold && trials.length >= partTrialThreshold
}

/** The names that all requests with this part had in all of its crashes, sorted. */
function companions (part: string, records: CrashRecords): string[] {
  const sets = records.crashesOf(part).flatMap(event => requestsWith(part, event).map(each => [...openNames(each, event, records), ...each.team === undefined ? [] : [each.team]]))
  return sets.reduce((common, names) => common.filter(each => names.includes(each))).sort()
}
