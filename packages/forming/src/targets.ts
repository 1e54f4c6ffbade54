/**
 * What each domain should hold: replicas of each model, from the domains' sizes and the demand. Pure. The order of the models
 * in the configuration and of the domains in the roster breaks ties, so it is part of the decision.
 */
import { type Model } from '@eiderwind/traffic'

/** Share of the work that each model has, from 0 to 1. Models that are missing count with their configured share. */
export type Demand = ReadonlyMap<string, number>

/** Replicas of each model, wanted or present. */
export type Counts = Readonly<Record<string, number>>

/**
 * Replicas of a model, over all domains, that go before more of any other. Three, so that two are left when one dies: one
 * alone cannot serve a model.
 */
const minReplicas = 3

/**
 * Engines of each domain left without a replica, so that a repair needs no load: one for each of two models
 * (`sparesPerModel` in staging.ts).
 */
const sparesPerDomain = 2

/** Need from which a replica is planned on the spares too: every model below `minReplicas` has at least this. */
const urgentNeed = 1

/** A model with no replica counts as having this many, so that its need is finite and above that with one. */
const noReplica = 0.5

/** A domain, as far as its targets depend on it. */
export interface DomainSize {
  readonly key: string
  /** Engines that can be counted on. */
  readonly nodes: number
  /** Its targets until now. */
  readonly targets: Counts
  /** Whether further engines are still appearing, so that what it has room for is not known yet. */
  readonly appearing: boolean
}

/**
 * Replicas of each model that each domain should have, by domain key. Targets last, so that what dies is repaired as it was:
 * they fall only where a domain no longer has the engines for them, and rise only where its engines suffice beside the spares and have
 * all appeared.
 */
export function retarget (models: readonly Model[], domains: readonly DomainSize[], demand: Demand): Map<string, Counts> {
  const targets = new Map(domains.map(({ key, targets }) => [key, { ...targets }]))
  const need = (model: Model, change: number): number => needOf(model, total(targets, model.name) + change, demand)
  for (const domain of domains) shrink(models, domain, targets.get(domain.key) as Record<string, number>, need)
  let added = true
  while (added) added = grow(models, domains, targets, need)
  return targets
}

/**
 * Targets by which each model has a replica, where engines allow it: a model that has none gets room in the domain where the fewest engines have to be taken, from models
 * that keep at least one. For fleets of which a part is evacuated: models that were served there alone have to be served by what is left.
 */
export function covered (models: readonly Model[], domains: readonly DomainSize[], targets: ReadonlyMap<string, Counts>, demand: Demand): Map<string, Counts> {
  const result = new Map(targets)
  for (const model of models.filter(each => total(result, each.name) === 0)) {
    const ways = domains.filter(each => !each.appearing).flatMap(({ key, nodes }) => {
      const present = result.get(key) as Counts
      const counts = withRoomFor(model, models, nodes, present, result, demand)
      return counts === undefined ? [] : [{ key, counts, taken: used(models, present) - used(models, counts) }]
    })
    const best = ways.sort((a, b) => a.taken - b.taken)[0]
    if (best !== undefined) result.set(best.key, { ...best.counts, [model.name]: 1 })
  }
  return result
}

/** Targets of a domain that leave room for one replica of a model, undefined where others would lose their last one; first those that need theirs least give. */
function withRoomFor (model: Model, models: readonly Model[], nodes: number, present: Counts, all: ReadonlyMap<string, Counts>, demand: Demand): Counts | undefined {
  const counts: Record<string, number> = { ...present }
  const left = ({ name }: Model): number => total(all, name) - (present[name] ?? 0) + (counts[name] ?? 0)
  while (used(models, counts) + model.size > nodes) {
    const givers = models.filter(each => (counts[each.name] ?? 0) > 0 && left(each) > 1)
    if (givers.length === 0) return undefined
    const giver = givers.reduce((a, b) => needOf(b, left(b) - 1, demand) < needOf(a, left(a) - 1, demand) ? b : a)
    counts[giver.name]--
  }
  return counts
}

/** How much a model needs a replica, once its number has changed by `change`. */
type Need = (model: Model, change: number) => number

/** Targets in the making, by domain key. */
type Targets = ReadonlyMap<string, Record<string, number>>

/** Drops what a domain has too few engines for; first the model that needs its replica least. */
function shrink (models: readonly Model[], { nodes }: DomainSize, targets: Record<string, number>, need: Need): void {
  while (used(models, targets) > nodes) {
    const present = models.filter(each => (targets[each.name] ?? 0) > 0)
    const dropped = present.reduce((a, b) => need(b, -1) < need(a, -1) ? b : a)
    targets[dropped.name]--
  }
}

/**
 * Adds one replica of the model that needs it most and that some domain has room for. It goes to the domain with fewest of that
 * model, then to the one with most room, so that losing a domain takes few replicas of any one model. Returns whether one fitted.
 */
function grow (models: readonly Model[], domains: readonly DomainSize[], targets: Targets, need: Need): boolean {
  for (const model of [...models].sort((a, b) => need(b, 0) - need(a, 0))) {
    const spares = need(model, 0) >= urgentNeed ? 0 : sparesPerDomain
    const room = ({ key, nodes }: DomainSize): number => nodes - used(models, targets.get(key) as Counts) - model.size - spares
    const present = ({ key }: DomainSize): number => targets.get(key)?.[model.name] ?? 0
    const best = domains.filter(each => !each.appearing && room(each) >= 0).sort((a, b) => present(a) - present(b) || room(b) - room(a))[0]
    if (best === undefined) continue
    const own = targets.get(best.key) as Record<string, number>
    own[model.name] = (own[model.name] ?? 0) + 1
    return true
  }
  return false
}

/** Work for each replica and engine, if there were `count` replicas; and one more for each replica below `minReplicas`. */
function needOf (model: Model, count: number, demand: Demand): number {
  return workOf(model, demand) / Math.max(count, noReplica) / model.size + Math.max(0, minReplicas - count)
}

/** How much each model needs one more replica: its work for each intact one. Repairs and donors are ranked by it. */
export function repairNeeds (models: readonly Model[], intact: Counts, demand: Demand): Record<string, number> {
  return Object.fromEntries(models.map(model => [model.name, workOf(model, demand) / Math.max(intact[model.name] ?? 0, noReplica)]))
}

/** A model's work on a scale common to all: measured, or else its configured share by the pace of its replicas. */
function workOf ({ name, share, pace }: Model, demand: Demand): number {
  return demand.get(name) ?? share * pace
}

/** Engines that replicas take up. */
function used (models: readonly Model[], counts: Counts): number {
  return models.reduce((sum, { name, size }) => sum + size * (counts[name] ?? 0), 0)
}

/** Replicas of a model in all domains. */
function total (targets: ReadonlyMap<string, Counts>, model: string): number {
  return [...targets.values()].reduce((sum, counts) => sum + (counts[model] ?? 0), 0)
}
