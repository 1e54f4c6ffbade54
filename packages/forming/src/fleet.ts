/** What all domains of a service show together. Owns one rule: when all engines of a first start have appeared. */
import { type Clock } from '@eiderwind/clock'
import { type Domain } from './domains.js'
import { isStaying } from './engines.js'
import { type Counts, type DomainSize } from './targets.js'

/**
 * All engines of a first start have appeared once no further one has for this long, in ms. Grown sites showed the need: their
 * engines list themselves over 3.5 s (docs/INCIDENTS.md). The time itself was chosen, not measured.
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

/** What the targets of a domain depend on. */
export function domainSize ({ key, placement, upstreams }: Domain, unreachable: ReadonlySet<string>): DomainSize {
  return { key, nodes: upstreams.filter(each => isStaying(each, unreachable)).length, targets: placement.targets }
}

/** Replicas of each model that have all their members. */
export function intactReplicas (domains: readonly Domain[], unreachable: ReadonlySet<string>): Counts {
  const counts: Record<string, number> = {}
  for (const { placement, upstreams } of domains) {
    const staying = new Set(upstreams.filter(each => isStaying(each, unreachable)).map(each => each.id))
    for (const { model, members } of placement.replicas) {
      if (members.every(({ id }) => staying.has(id))) counts[model] = (counts[model] ?? 0) + 1
    }
  }
  return counts
}

/** Whether every domain has targets, and as many open replicas as they ask for. */
export function targetsMet (domains: readonly Domain[]): boolean {
  return domains.every(({ placement: { targets, replicas }, upstreams }) => {
    const open = new Set(upstreams.filter(each => each.membership?.state === 'open').map(each => each.membership?.replica))
    const wanted = Object.values(targets).reduce((sum, each) => sum + each, 0)
    return wanted > 0 && replicas.filter(each => open.has(each.name)).length >= wanted
  })
}
