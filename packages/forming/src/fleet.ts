/**
 * Facts about all domains of a service together. Owns the rules for when engines are still appearing, at a first start
 * and in a single domain.
 */
import { type Clock } from '@eiderwind/clock'
import { type Upstream } from '@eiderwind/roster'
import { type Domain } from './domains.js'
import { isStaying } from './engines.js'
import { type Counts, type DomainSize } from './targets.js'

/**
 * All engines of a first start count as present when no further engine has appeared for this long, in ms. The engines
 * of a large site register over several seconds.
 */
const settleTime = 600

/**
 * Detects when all engines of a first start have appeared. Targets that are set for the first few engines would be
 * wrong and would persist.
 */
export class Arrivals {
  readonly #clock: Clock
  /** The highest number of engines listed so far, and since when, on `Clock.now`. */
  #maxCount = 0
  #maxSince = -Infinity

  constructor (clock: Clock) {
    this.#clock = clock
  }

  /** Whether engines are still appearing. False as soon as any domain has been planned. */
  isUnderWay (domains: readonly Domain[]): boolean {
    const count = domains.reduce((sum, each) => sum + each.upstreams.length, 0)
    if (count > this.#maxCount) {
      this.#maxCount = count
      this.#maxSince = this.#clock.now()
    }
    return domains.every(each => each.placement.epoch === 0) && this.#clock.now() - this.#maxSince < settleTime
  }
}

/**
 * Upper bound on how long a domain's targets wait while its engines appear one after the other, in ms. Without it, an
 * engine that is added each second would keep the others idle.
 */
const maxSettleTime = 2000

/** The engines that a domain had in the last pass. */
interface AppearanceState {
  readonly ids: ReadonlySet<string>
  /**
   * When the first and the latest engine of the current series appeared, on `Clock.now`. The engines of a series appear
   * shortly after each other.
   */
  readonly begunAt: number
  readonly newestAt: number
}

/**
 * Detects domains whose engines are still appearing after a dark time. A domain is dark while it has fewer engines than
 * a replica of the largest model needs. Its targets must not rise yet: targets for the first few engines would be
 * replicas of the smaller models, and targets persist, so the engines for a large replica would stay idle. A domain
 * that is not dark does not wait for single new engines, because each would keep the others idle for a while.
 */
export class Appearances {
  readonly #clock: Clock
  readonly #domains = new Map<string, AppearanceState>()

  constructor (clock: Clock) {
    this.#clock = clock
  }

  /**
   * Whether engines are still appearing in a domain that was dark. A domain that is seen for the first time counts as
   * complete.
   * @param maxReplicaSize engines in a replica of the largest model
   */
  isUnderWay ({ key, upstreams }: Pick<Domain, 'key' | 'upstreams'>, maxReplicaSize: number): boolean {
    const now = this.#clock.now()
    const state = this.#nextState(this.#domains.get(key), new Set(upstreams.map(each => each.id)), maxReplicaSize, now)
    this.#domains.set(key, state)
    return now - state.newestAt < settleTime && now - state.begunAt < maxSettleTime
  }

  #nextState (before: AppearanceState | undefined, ids: ReadonlySet<string>, maxReplicaSize: number, now: number): AppearanceState {
    if (before === undefined) return { ids, begunAt: -Infinity, newestAt: -Infinity }
    if ([...ids].every(id => before.ids.has(id))) return { ...before, ids }
    if (now - before.newestAt < settleTime) return { ids, begunAt: before.begunAt, newestAt: now }
    return before.ids.size < maxReplicaSize ? { ids, begunAt: now, newestAt: now } : { ...before, ids }
  }
}

/** Engines that are not counted now: those that certainly cannot go on, and those in evacuated data centres. */
export interface Exclusions {
  readonly lost: ReadonlySet<string>
  readonly evacuated: ReadonlySet<string>
}

/** Whether all engines of a domain are evacuated. */
export function isEvacuated ({ upstreams }: Pick<Domain, 'upstreams'>, evacuated: ReadonlySet<string>): boolean {
  return upstreams.length > 0 && upstreams.every(({ id }) => evacuated.has(id))
}

/**
 * The properties of a domain on which its targets depend.
 * @param appearing whether further engines are still appearing there
 */
export function domainSize ({ key, placement, upstreams }: Domain, exclusions: Exclusions, appearing: boolean): DomainSize {
  return { key, nodes: upstreams.filter(each => isCounted(each, exclusions)).length, targets: placement.targets, appearing }
}

function isCounted (upstream: Upstream, { lost, evacuated }: Exclusions): boolean {
  return isStaying(upstream, lost) && !evacuated.has(upstream.id)
}

/** Replicas of each model whose members are all available. */
export function intactReplicas (domains: readonly Domain[], exclusions: Exclusions): Counts {
  const intact = new Map<string, number>()
  for (const { placement, upstreams } of domains) {
    const staying = new Set(upstreams.filter(each => isCounted(each, exclusions)).map(each => each.id))
    for (const { model, members } of placement.replicas) {
      if (members.every(({ id }) => staying.has(id))) intact.set(model, (intact.get(model) ?? 0) + 1)
    }
  }
  return Object.fromEntries(intact)
}

/** Whether every domain has targets, and at least as many open replicas as they require. */
export function targetsMet (domains: readonly Domain[]): boolean {
  return domains.every(({ placement: { targets, replicas }, upstreams }) => {
    const open = new Set(upstreams.filter(each => each.membership?.state === 'open').map(each => each.membership?.replica))
    const wanted = Object.values(targets).reduce((sum, each) => sum + each, 0)
    return wanted > 0 && replicas.filter(each => open.has(each.name)).length >= wanted
  })
}
