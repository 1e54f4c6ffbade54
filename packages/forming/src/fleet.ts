/** What all domains of a service show together. Owns one rule: when all engines of a first start have appeared. */
import { type Clock } from '@eiderwind/clock'
import { type Upstream } from '@eiderwind/roster'
import { type Domain } from './domains.js'
import { isStaying } from './engines.js'
import { type Counts, type DomainSize } from './targets.js'

/**
 * All engines of a first start have appeared once no further one has for this long, in ms: those of a large site
 * list themselves over some seconds.
 */
const arrivalTime = 600

/** Notices when the engines of a first start have all appeared; targets set for the first few would last and be wrong. */
export class Arrivals {
  readonly #clock: Clock
  /** The most engines that were listed so far, and since when, on `Clock.now`. */
  #most = 0
  #since = -Infinity

  constructor (clock: Clock) {
    this.#clock = clock
  }

  /** Whether engines are still appearing, while no domain was ever planned. */
  underWay (domains: readonly Domain[]): boolean {
    const count = domains.reduce((sum, each) => sum + each.upstreams.length, 0)
    if (count > this.#most) {
      this.#most = count
      this.#since = this.#clock.now()
    }
    return domains.every(each => each.placement.epoch === 0) && this.#clock.now() - this.#since < arrivalTime
  }
}

/**
 * A domain's targets wait this long at the most while its engines appear one after the other, in ms: one that is added each second should not
 * keep the others idle.
 */
const longestArrival = 2000

/** The engines that a domain had at the last look. */
interface Appeared {
  readonly ids: ReadonlySet<string>
  /** When the first and the newest of those came that appeared shortly after each other, on `Clock.now`. */
  readonly begunAt: number
  readonly newestAt: number
}

/**
 * Notices domains that were dark and whose engines are still appearing. Their targets must not rise yet: those for the first few
 * engines are of the smaller models, and last: the engines of a large replica would stay idle. A domain that has room for any replica does not
 * wait when single engines come: each would keep the others idle for a while.
 */
export class Appearances {
  readonly #clock: Clock
  readonly #domains = new Map<string, Appeared>()

  constructor (clock: Clock) {
    this.#clock = clock
  }

  /**
   * Whether engines are still appearing in a domain that was dark. One that is seen for the first time counts as complete.
   * @param largest engines in a replica of the largest model: a domain that had as many was not dark
   */
  underWay ({ key, upstreams }: Pick<Domain, 'key' | 'upstreams'>, largest: number): boolean {
    const now = this.#clock.now()
    const appeared = this.#look(this.#domains.get(key), new Set(upstreams.map(each => each.id)), largest, now)
    this.#domains.set(key, appeared)
    return now - appeared.newestAt < arrivalTime && now - appeared.begunAt < longestArrival
  }

  #look (before: Appeared | undefined, ids: ReadonlySet<string>, largest: number, now: number): Appeared {
    if (before === undefined) return { ids, begunAt: -Infinity, newestAt: -Infinity }
    if ([...ids].every(id => before.ids.has(id))) return { ...before, ids }
    if (now - before.newestAt < arrivalTime) return { ids, begunAt: before.begunAt, newestAt: now }
    return before.ids.size < largest ? { ids, begunAt: now, newestAt: now } : { ...before, ids }
  }
}

/** Engines that do not count now: those that do not answer, and those in data centres that are evacuated. */
export interface Absent {
  readonly unreachable: ReadonlySet<string>
  readonly evacuated: ReadonlySet<string>
}

/** Whether all engines of a domain are evacuated. */
export function isEvacuated ({ upstreams }: Pick<Domain, 'upstreams'>, evacuated: ReadonlySet<string>): boolean {
  return upstreams.length > 0 && upstreams.every(({ id }) => evacuated.has(id))
}

/** What the targets of a domain depend on. @param appearing whether further engines are still appearing there */
export function domainSize ({ key, placement, upstreams }: Domain, absent: Absent, appearing: boolean): DomainSize {
  return { key, nodes: upstreams.filter(each => counts(each, absent)).length, targets: placement.targets, appearing }
}

function counts (upstream: Upstream, { unreachable, evacuated }: Absent): boolean {
  return isStaying(upstream, unreachable) && !evacuated.has(upstream.id)
}

/** Replicas of each model that have all their members. */
export function intactReplicas (domains: readonly Domain[], absent: Absent): Counts {
  const intact: Record<string, number> = {}
  for (const { placement, upstreams } of domains) {
    const staying = new Set(upstreams.filter(each => counts(each, absent)).map(each => each.id))
    for (const { model, members } of placement.replicas) {
      if (members.every(({ id }) => staying.has(id))) intact[model] = (intact[model] ?? 0) + 1
    }
  }
  return intact
}

/** Whether every domain has targets, and as many open replicas as they ask for. */
export function targetsMet (domains: readonly Domain[]): boolean {
  return domains.every(({ placement: { targets, replicas }, upstreams }) => {
    const open = new Set(upstreams.filter(each => each.membership?.state === 'open').map(each => each.membership?.replica))
    const wanted = Object.values(targets).reduce((sum, each) => sum + each, 0)
    return wanted > 0 && replicas.filter(each => open.has(each.name)).length >= wanted
  })
}
