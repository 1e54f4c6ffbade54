import { type Clock } from '@eiderwind/clock'
import { type Outage } from './outage.js'
import { type Upstream } from './upstream.js'

/** Something that was heard of one upstream: how it is now, or that it is gone. */
export type RosterChange = { readonly upstream: Upstream } | { readonly gone: string }

/** When an upstream was first heard to leave or to be gone, on `Clock.now`. */
export interface Departure {
  readonly upstream: Upstream
  readonly at: number
}

/** Departures are remembered for this long, in ms. */
const memory = 60_000

/**
 * What the platform says of the upstreams. Answers look-ups by service and model; listeners hear of each change. Entries
 * that are missing after an outage stay until the time for their return is over.
 */
export class Roster {
  readonly #clock: Clock
  readonly #outage: Outage | undefined
  /** Upstreams whose entries may come back. */
  readonly #lapsed = new Set<string>()
  readonly #upstreams = new Map<string, Upstream>()
  readonly #departures = new Map<string, Departure>()
  readonly #listeners = new Set<() => void>()
  #services: Map<string, Upstream[]> | undefined
  #heads: Map<string, Upstream[]> | undefined
  #known = false

  /** @param outage whether the list was away; without it, who is not listed is gone */
  constructor (clock: Clock, outage?: Outage) {
    this.#clock = clock
    this.#outage = outage
  }

  /** Whether a whole list was ever taken. */
  get known (): boolean {
    return this.#known
  }

  /** Every listed upstream, leaving ones included. */
  get all (): Upstream[] {
    return [...this.#upstreams.values()]
  }

  /** Ids of upstreams whose entries are missing since an outage: they may come back or be gone. */
  get lapsed (): ReadonlySet<string> {
    return this.#lapsed
  }

  find (id: string): Upstream | undefined {
    return this.#upstreams.get(id)
  }

  /** The departure of an upstream that leaves or has gone. */
  departure (id: string): Departure | undefined {
    return this.#departures.get(id)
  }

  /** Upstreams of a service that take new work. */
  of (service: string): readonly Upstream[] {
    this.#services ??= group([...this.#upstreams.values()].filter(each => !each.leaving), each => each.service)
    return this.#services.get(service) ?? []
  }

  /** Heads of open replicas of a model that take new work. */
  heads (service: string, model: string): readonly Upstream[] {
    this.#heads ??= group([...this.#upstreams.values()].filter(serves), each => headKey(each.service, each.loaded[0] ?? ''))
    return this.#heads.get(headKey(service, model)) ?? []
  }

  /** Takes a whole list: whatever is not on it is gone. */
  replace (upstreams: readonly Upstream[]): void {
    const listed = new Set(upstreams.map(each => each.id))
    const gone = [...this.#upstreams.keys()].filter(id => !listed.has(id)).map(id => ({ gone: id }))
    this.#known = true
    this.apply([...gone, ...upstreams.map(upstream => ({ upstream }))])
  }

  /** Takes changes in the order in which they happened. */
  apply (changes: readonly RosterChange[]): void {
    for (const change of changes) {
      if ('gone' in change) this.#remove(change.gone)
      else this.#put(change.upstream)
    }
    this.#services = undefined
    this.#heads = undefined
    this.#forget()
    for (const listener of this.#listeners) listener()
  }

  /** Tells `listener` after each change until the returned function is called. */
  listen (listener: () => void): () => void {
    this.#listeners.add(listener)
    return () => { this.#listeners.delete(listener) }
  }

  /** Takes how an upstream is now. One that has said that it leaves never stays: what says otherwise is an old word that came late. */
  #put (heard: Upstream): void {
    this.#lapsed.delete(heard.id)
    const leaving = heard.leaving || this.#departures.get(heard.id)?.upstream.leaving === true
    const upstream = leaving ? { ...heard, leaving } : heard
    this.#upstreams.set(upstream.id, upstream)
    if (leaving) this.#depart(upstream)
    else this.#departures.delete(upstream.id)
  }

  #remove (id: string): void {
    const upstream = this.#upstreams.get(id)
    if (upstream === undefined || this.#mayReturn(id)) return
    this.#upstreams.delete(id)
    this.#depart(upstream)
  }

  /** Whether an entry that is missing may have lapsed in an outage. It is then gone if it stays away. */
  #mayReturn (id: string): boolean {
    const left = (this.#outage?.returnsUntil ?? -Infinity) - this.#clock.now()
    if (left <= 0) return false
    if (this.#lapsed.has(id)) return true
    this.#lapsed.add(id)
    this.#clock.after(left, () => {
      if (this.#lapsed.delete(id)) this.apply([{ gone: id }])
    })
    return true
  }

  #depart (upstream: Upstream): void {
    const at = this.#departures.get(upstream.id)?.at ?? this.#clock.now()
    this.#departures.set(upstream.id, { upstream, at })
  }

  #forget (): void {
    const before = this.#clock.now() - memory
    for (const [id, { at }] of this.#departures) {
      if (at < before && !this.#upstreams.has(id)) this.#departures.delete(id)
    }
  }
}

function serves ({ leaving, membership }: Upstream): boolean {
  return !leaving && membership?.state === 'open'
}

function headKey (service: string, model: string): string {
  return `${service}\n${model}`
}

function group (upstreams: readonly Upstream[], key: (upstream: Upstream) => string): Map<string, Upstream[]> {
  const groups = new Map<string, Upstream[]>()
  for (const upstream of upstreams) {
    const name = key(upstream)
    const members = groups.get(name)
    if (members === undefined) groups.set(name, [upstream])
    else members.push(upstream)
  }
  return groups
}
