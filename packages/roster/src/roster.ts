/**
 * The gateway's view of the upstreams that the store lists: which take new requests, which lead open replicas, and when
 * each departed. `Roster` owns this view and every rule on it. It relies on the adapter for lists and changes in their
 * order, and on `Outage` to tell whether a missing record may only have lapsed. The README describes the states of a
 * record.
 */
import { isDeepStrictEqual } from 'node:util'
import { type Clock } from '@eiderwind/clock'
import { evacuatedUpstreams } from './evacuation.js'
import { type Outage } from './outage.js'
import { listedName, withWeightsInUse, type Upstream } from './upstream.js'

/**
 * A change of one upstream's record: its new content, or the name of a record that is no longer listed. `certain` means
 * that the entry of this name now holds something else. Then the record is not missing because of an outage.
 */
export type RosterChange = { readonly upstream: Upstream } | { readonly gone: string, readonly certain?: boolean | undefined }

/**
 * How the absence of a record is treated. `judged`: an outage of the store may be the reason, and `Outage` decides
 * whether the upstream is retained for a while. `certain`: the upstream is gone.
 */
export type Absence = 'judged' | 'certain'

/** The departure of an upstream that is leaving or gone. */
export interface Departure {
  /** Its last record. */
  readonly upstream: Upstream
  /** When it was first seen to be leaving or gone, on `Clock.now`. */
  readonly at: number
}

/**
 * How long the departure of an upstream that is gone is retained, in ms. This is many times the longest deadline of a
 * request (8 s), so that the end of a call to the upstream can still be evaluated with its record.
 */
const departureRetention = 60_000

/** Looks up upstreams by id, service and model, and notifies listeners after each change. */
export class Roster {
  readonly #clock: Clock
  readonly #outage: Outage | undefined
  /** Ids of upstreams whose records lapsed during an outage and may be listed again. */
  readonly #lapsed = new Set<string>()
  readonly #upstreams = new Map<string, Upstream>()
  /**
   * The current incarnation of each upstream, by its listed name. An incarnation is the time from one start of an
   * upstream to its end.
   */
  readonly #incarnations = new Map<string, Upstream>()
  /**
   * Ids of incarnations that ended because a later one of the same name began, and when this was seen, on `Clock.now`.
   */
  readonly #ended = new Map<string, number>()
  readonly #departures = new Map<string, Departure>()
  readonly #listeners = new Set<(changes: readonly RosterChange[]) => void>()
  readonly #endListeners = new Set<(upstream: Upstream) => void>()
  readonly #departureListeners = new Set<(departure: Departure) => void>()
  readonly #lapseListeners = new Set<(upstream: Upstream, grace: number) => void>()
  /** Ended incarnations of which the listeners are not notified yet. */
  #pendingEnds: Upstream[] = []
  /** Departures of which the listeners are not notified yet. */
  #pendingDepartures: Departure[] = []
  /** Data centres whose upstreams take no new requests. */
  #evacuatedDataCentres: ReadonlySet<string> = new Set()
  /** Indexes for `available`, `heads` and `isEvacuated`, built on first use after a change. */
  #byService: Map<string, Upstream[]> | undefined
  #heads: Map<string, Upstream[]> | undefined
  #evacuatedIds: ReadonlySet<string> | undefined
  #hasList = false

  /** @param outage if omitted, an upstream that is not listed is gone at once */
  constructor (clock: Clock, outage?: Outage) {
    this.#clock = clock
    this.#outage = outage
  }

  /** Whether a list was ever received. Until then the roster is empty because nothing was read yet. */
  get hasList (): boolean {
    return this.#hasList
  }

  /** Every upstream that is not gone, including those that are leaving or whose record has lapsed. */
  get upstreams (): Upstream[] {
    return [...this.#upstreams.values()]
  }

  /**
   * Ids of the upstreams whose records lapsed during an outage. Each is either listed again in time or counts as gone.
   */
  get lapsed (): ReadonlySet<string> {
    return this.#lapsed
  }

  find (id: string): Upstream | undefined {
    return this.#upstreams.get(id)
  }

  /** Whether an upstream is listed, or its departure is still retained. */
  isKnown (id: string): boolean {
    return this.find(id) !== undefined || this.departure(id) !== undefined
  }

  /** The departure of an upstream that is leaving or gone. */
  departure (id: string): Departure | undefined {
    return this.#departures.get(id)
  }

  /**
   * Departures of upstreams that are not listed and whose end is not certain, in the order in which they were first
   * seen.
   */
  get gone (): Departure[] {
    return [...this.#departures].filter(([id]) => !this.#upstreams.has(id) && !this.#ended.has(id)).map(([_id, departure]) => departure)
  }

  /** Whether an upstream has certainly ended: a later incarnation is listed under its name. */
  hasEnded (id: string): boolean {
    return this.#ended.has(id)
  }

  /** Upstreams of a service that take new requests. */
  available (service: string): readonly Upstream[] {
    this.#byService ??= groupBy(this.#notEvacuated.filter(each => !each.leaving), each => each.service)
    return this.#byService.get(service) ?? []
  }

  /** Heads of open replicas of a model that take new requests. */
  heads (service: string, model: string): readonly Upstream[] {
    this.#heads ??= groupBy(this.#notEvacuated.filter(isOpenHead), each => headKey(each.service, each.loaded[0] ?? ''))
    return this.#heads.get(headKey(service, model)) ?? []
  }

  /**
   * Whether an upstream takes no new requests because its data centre, or the data centre of a member of its replica,
   * is evacuated.
   */
  isEvacuated (id: string): boolean {
    this.#evacuatedIds ??= evacuatedUpstreams(this.upstreams, this.#evacuatedDataCentres)
    return this.#evacuatedIds.has(id)
  }

  /** The data centres that are evacuated. */
  get evacuatedDataCentres (): ReadonlySet<string> {
    return this.#evacuatedDataCentres
  }

  /** Replaces the set of evacuated data centres. */
  evacuate (dataCentres: ReadonlySet<string>): void {
    this.#evacuatedDataCentres = dataCentres
    this.#notifyChanges([])
  }

  /** Upstreams that are not closed to new requests by an evacuation. */
  get #notEvacuated (): Upstream[] {
    return this.#evacuatedDataCentres.size === 0 ? this.upstreams : this.upstreams.filter(({ id }) => !this.isEvacuated(id))
  }

  /** Applies a whole list. An upstream that is missing from it is no longer listed. */
  replace (upstreams: readonly Upstream[], absence: Absence = 'judged'): void {
    const listed = new Set(upstreams.map(listedName))
    const gone = [...this.#incarnations.keys()].filter(name => !listed.has(name)).map(name => ({ gone: name }))
    this.#hasList = true
    this.apply([...gone, ...upstreams.map(upstream => ({ upstream }))], absence)
  }

  /** Applies changes, in the order in which the store made them. */
  apply (changes: readonly RosterChange[], absence: Absence = 'judged'): void {
    this.#notifyChanges(changes.filter(change => 'gone' in change ? this.#remove(change.gone, change.certain === true ? 'certain' : absence) : this.#update(change.upstream)))
  }

  /** Discards the indexes and the departures that are too old, then notifies the listeners. */
  #notifyChanges (effective: readonly RosterChange[]): void {
    this.#byService = undefined
    this.#heads = undefined
    this.#evacuatedIds = undefined
    this.#forgetDepartures()
    this.#notifyDepartures()
    this.#notifyEnds()
    for (const listener of this.#listeners) listener(effective)
  }

  /**
   * Records that an upstream has announced that it is leaving. From now on it takes no new requests, whatever its
   * record contains, until a later incarnation begins. Returns whether that is new. Some upstreams never announce it in
   * their record.
   */
  markLeaving (id: string): boolean {
    // An upstream that is gone may be listed again after an outage.
    const latest = this.#upstreams.get(id) ?? this.#departures.get(id)?.upstream
    if (latest === undefined || latest.leaving) return false
    const upstream = { ...latest, leaving: true }
    this.#recordDeparture(upstream)
    if (!this.#upstreams.has(id)) return true
    this.#store(upstream)
    this.#notifyChanges([{ upstream }])
    return true
  }

  /** Calls `listener` after each change, with the records that changed, until the returned function is called. */
  listen (listener: (changes: readonly RosterChange[]) => void): () => void {
    this.#listeners.add(listener)
    return () => { this.#listeners.delete(listener) }
  }

  /**
   * Calls `listener` with the last record of each incarnation that ended because a later one began, until the returned
   * function is called.
   */
  listenEnds (listener: (upstream: Upstream) => void): () => void {
    this.#endListeners.add(listener)
    return () => { this.#endListeners.delete(listener) }
  }

  /**
   * Calls `listener` when an upstream is first seen to be leaving or gone, after all changes are applied, until the
   * returned function is called.
   */
  listenDepartures (listener: (departure: Departure) => void): () => void {
    this.#departureListeners.add(listener)
    return () => { this.#departureListeners.delete(listener) }
  }

  /**
   * Calls `listener` when an upstream that is no longer listed is retained, with the time until it counts as gone in
   * ms, until the returned function is called.
   */
  listenLapses (listener: (upstream: Upstream, grace: number) => void): () => void {
    this.#lapseListeners.add(listener)
    return () => { this.#lapseListeners.delete(listener) }
  }

  /**
   * Applies an upstream's record. An upstream that was ever leaving stays so: a record without that is an older one
   * that arrived late. This holds for one incarnation only. A later incarnation starts afresh, and a record of an
   * earlier incarnation is ignored. Returns whether the record changes anything.
   */
  #update (record: Upstream): boolean {
    const present = this.#incarnations.get(listedName(record))
    if (this.#ended.has(record.id) || (present !== undefined && isEarlier(record, present))) return false
    if (present !== undefined && present.id !== record.id) this.#endIncarnation(present)
    this.#lapsed.delete(record.id)
    const leaving = record.leaving || this.#departures.get(record.id)?.upstream.leaving === true
    const completed = withWeightsInUse(record, this.#upstreams.get(record.id))
    const upstream = leaving ? { ...completed, leaving } : completed
    const isNew = !isDeepStrictEqual(upstream, this.#upstreams.get(record.id))
    this.#store(upstream)
    if (leaving) this.#recordDeparture(upstream)
    else this.#departures.delete(upstream.id)
    return isNew
  }

  /**
   * Handles a record that is no longer listed. The upstream is gone, unless its record may have lapsed during an
   * outage. Returns whether it is gone now.
   */
  #remove (name: string, absence: Absence): boolean {
    const upstream = this.#incarnations.get(name)
    if (upstream === undefined) return false
    const grace = absence === 'certain' ? 0 : (this.#outage?.relistDeadline ?? -Infinity) - this.#clock.bootNow()
    if (grace > 0) {
      this.#lapse(upstream, grace)
      return false
    }
    this.#forget(upstream)
    return true
  }

  /** Records that an incarnation has ended because a later one began. */
  #endIncarnation (upstream: Upstream): void {
    this.#forget(upstream)
    this.#ended.set(upstream.id, this.#clock.now())
    this.#pendingEnds.push(upstream)
  }

  /**
   * Notifies the listeners of ended incarnations. Listeners do look-ups, so they are called after all changes are
   * applied.
   */
  #notifyEnds (): void {
    const ends = this.#pendingEnds
    this.#pendingEnds = []
    for (const upstream of ends) for (const listener of this.#endListeners) listener(upstream)
  }

  #notifyDepartures (): void {
    const departures = this.#pendingDepartures
    this.#pendingDepartures = []
    for (const departure of departures) for (const listener of this.#departureListeners) listener(departure)
  }

  #forget (upstream: Upstream): void {
    this.#lapsed.delete(upstream.id)
    this.#upstreams.delete(upstream.id)
    this.#incarnations.delete(listedName(upstream))
    this.#recordDeparture(upstream)
  }

  /** Retains an upstream for `grace` ms. If it is not listed again by then, it is gone. */
  #lapse (upstream: Upstream, grace: number): void {
    const { id } = upstream
    if (this.#lapsed.has(id)) return
    this.#lapsed.add(id)
    for (const listener of this.#lapseListeners) listener(upstream, grace)
    this.#clock.after(grace, () => {
      if (this.#lapsed.delete(id)) this.apply([{ gone: listedName(upstream) }])
    })
  }

  #store (upstream: Upstream): void {
    this.#upstreams.set(upstream.id, upstream)
    this.#incarnations.set(listedName(upstream), upstream)
  }

  #recordDeparture (upstream: Upstream): void {
    const present = this.#departures.get(upstream.id)
    const departure = { upstream, at: present?.at ?? this.#clock.now() }
    this.#departures.set(upstream.id, departure)
    if (present === undefined) this.#pendingDepartures.push(departure)
  }

  #forgetDepartures (): void {
    const before = this.#clock.now() - departureRetention
    for (const [id, { at }] of this.#departures) {
      if (at < before && !this.#upstreams.has(id)) this.#departures.delete(id)
    }
    for (const [id, at] of this.#ended) if (at < before) this.#ended.delete(id)
  }
}

/** Whether a record belongs to an earlier incarnation than another record of the same name. */
function isEarlier (record: Upstream, other: Upstream): boolean {
  return record.born !== undefined && other.born !== undefined && record.born < other.born
}

function isOpenHead ({ leaving, membership }: Upstream): boolean {
  return !leaving && membership?.state === 'open'
}

function headKey (service: string, model: string): string {
  return `${service}\n${model}`
}

function groupBy (upstreams: readonly Upstream[], key: (upstream: Upstream) => string): Map<string, Upstream[]> {
  const groups = new Map<string, Upstream[]>()
  for (const upstream of upstreams) {
    const name = key(upstream)
    const members = groups.get(name)
    if (members === undefined) groups.set(name, [upstream])
    else members.push(upstream)
  }
  return groups
}
