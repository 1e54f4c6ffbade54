/**
 * Computes the targets of each domain, which are its numbers of replicas of each model, from the sizes of the domains
 * and the demand. Pure. Ties are broken by the order of the models in the configuration and of the domains in the
 * roster, so these orders are part of the decision.
 */
import { type Model } from '@eiderwind/traffic'

/** Share of the work that each model has, from 0 to 1. A model that is missing counts with its configured share. */
export type Demand = ReadonlyMap<string, number>

/** Replicas of each model, wanted or present. */
export type Counts = Readonly<Record<string, number>>

/**
 * Number of replicas that each model should have in all domains together, before any model gets more. With three, two
 * are left when one dies. A single replica does not suffice for a model.
 */
const minReplicas = 3

/**
 * Engines of each domain that are left without a replica, so that a repair needs no load: one for each of two models
 * (`sparesPerModel` in staging.ts).
 */
const sparesPerDomain = 2

/**
 * At this need or above, a replica may be planned on the spares too. Every model below `minReplicas` needs at least
 * this much.
 */
const urgentNeed = 1

/**
 * Number of replicas assumed for a model that has none. It keeps the need finite, and above the need of a model with
 * one.
 */
const replicasIfNone = 0.5

/** The properties of a domain on which its targets depend. */
export interface DomainSize {
  readonly key: string
  /** Engines that are available. */
  readonly nodes: number
  /** Its current targets. */
  readonly targets: Counts
  /** Whether further engines are still appearing, so that the capacity of the domain is not known yet. */
  readonly appearing: boolean
}

/**
 * Replicas of each model that each domain should have, by domain key. Targets persist, so that a replica that dies is
 * replaced by the same kind. They fall only in a domain that no longer has enough engines for them. They rise only in a
 * domain whose engines have all appeared and suffice for the spares too.
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
 * Targets with at least one replica of each model, if the engines allow it. A model without a replica is placed in the
 * domain in which the fewest engines have to be taken. These come from models that keep at least one replica. This is
 * for fleets that are partly evacuated: the remaining domains have to serve the models that were served only in the
 * evacuated part.
 */
export function coverModels (models: readonly Model[], domains: readonly DomainSize[], targets: ReadonlyMap<string, Counts>, demand: Demand): Map<string, Counts> {
  const result = new Map(targets)
  for (const model of models.filter(each => total(result, each.name) === 0)) {
    const candidates = domains.filter(each => !each.appearing).flatMap(({ key, nodes }) => {
      const present = result.get(key) as Counts
      const counts = makeRoomFor(model, models, nodes, present, result, demand)
      return counts === undefined ? [] : [{ key, counts, taken: enginesUsed(models, present) - enginesUsed(models, counts) }]
    })
    const best = candidates.sort((a, b) => a.taken - b.taken)[0]
    if (best !== undefined) result.set(best.key, { ...best.counts, [model.name]: 1 })
  }
  return result
}

/**
 * Targets of a domain that leave room for one replica of `model`. The models with the lowest need give up replicas
 * first. Undefined if a model would lose its last replica.
 */
function makeRoomFor (model: Model, models: readonly Model[], nodes: number, present: Counts, all: ReadonlyMap<string, Counts>, demand: Demand): Counts | undefined {
  const counts: Record<string, number> = { ...present }
  const left = ({ name }: Model): number => total(all, name) - countOf(present, name) + countOf(counts, name)
  while (enginesUsed(models, counts) + model.size > nodes) {
    const donors = models.filter(each => countOf(counts, each.name) > 0 && left(each) > 1)
    if (donors.length === 0) return undefined
    const donor = donors.reduce((a, b) => needOf(b, left(b) - 1, demand) < needOf(a, left(a) - 1, demand) ? b : a)
    counts[donor.name]--
  }
  return counts
}

/** How much a model needs a replica after its number of replicas has changed by `change`. */
type Need = (model: Model, change: number) => number

/** Targets that are being computed, by domain key. */
type Targets = ReadonlyMap<string, Record<string, number>>

/** Drops replicas for which a domain has too few engines. The model with the lowest need loses a replica first. */
function shrink (models: readonly Model[], { nodes }: DomainSize, targets: Record<string, number>, need: Need): void {
  while (enginesUsed(models, targets) > nodes) {
    const present = models.filter(each => (targets[each.name] ?? 0) > 0)
    const dropped = present.reduce((a, b) => need(b, -1) < need(a, -1) ? b : a)
    targets[dropped.name]--
  }
}

/**
 * Adds one replica of the model with the highest need that fits in some domain. It goes to the domain with the fewest
 * replicas of that model, then to the one with the most room, so that the loss of a domain takes few replicas of any
 * one model. Returns whether one fitted.
 */
function grow (models: readonly Model[], domains: readonly DomainSize[], targets: Targets, need: Need): boolean {
  for (const model of [...models].sort((a, b) => need(b, 0) - need(a, 0))) {
    const spares = need(model, 0) >= urgentNeed ? 0 : sparesPerDomain
    const room = ({ key, nodes }: DomainSize): number => nodes - enginesUsed(models, targets.get(key) as Counts) - model.size - spares
    const present = ({ key }: DomainSize): number => targets.get(key)?.[model.name] ?? 0
    const best = domains.filter(each => !each.appearing && room(each) >= 0).sort((a, b) => present(a) - present(b) || room(b) - room(a))[0]
    if (best === undefined) continue
    const domainTargets = targets.get(best.key) as Record<string, number>
    domainTargets[model.name] = (domainTargets[model.name] ?? 0) + 1
    return true
  }
  return false
}

/** Work per engine if a model had `count` replicas, plus 1 for each replica by which `count` is below `minReplicas`. */
function needOf (model: Model, count: number, demand: Demand): number {
  return workOf(model, demand) / Math.max(count, replicasIfNone) / model.size + Math.max(0, minReplicas - count)
}

/**
 * How much each model needs one more replica: its work divided by its intact replicas. Repairs and donors are ranked by
 * it.
 */
export function repairNeeds (models: readonly Model[], intact: Counts, demand: Demand): Record<string, number> {
  return Object.fromEntries(models.map(model => [model.name, workOf(model, demand) / Math.max(intact[model.name] ?? 0, replicasIfNone)]))
}

/**
 * A model's work on a scale that all models share: the measured work, or else the configured share times the pace of
 * its replicas.
 */
function workOf ({ name, share, pace }: Model, demand: Demand): number {
  return demand.get(name) ?? share * pace
}

/** Engines that the replicas occupy. */
function enginesUsed (models: readonly Model[], counts: Counts): number {
  return models.reduce((sum, { name, size }) => sum + size * countOf(counts, name), 0)
}

/** Replicas of a model in all domains. */
function total (targets: ReadonlyMap<string, Counts>, model: string): number {
  return [...targets.values()].reduce((sum, counts) => sum + countOf(counts, model), 0)
}

/** A model may have the name of a property that every object has. */
function countOf (counts: Counts, model: string): number {
  return Object.hasOwn(counts, model) ? counts[model] : 0
}
