import { type Model } from '@eiderwind/traffic'

/** How much of each model is asked for: replicas' worth of work, on any scale that is the same for all models. */
export type Demand = ReadonlyMap<string, number>

/** How many replicas of each model there are, or should be. */
export type Counts = Readonly<Record<string, number>>

/** Replicas of a model that are wanted before any model gets more than these, so that the loss of one leaves some. */
const least = 3

/** Spares that a domain keeps where its size allows. */
const reserve = 2

/** What is known of a domain when its targets are set. */
export interface DomainSize {
  readonly key: string
  /** Engines that are there and stay. */
  readonly nodes: number
  /** Its targets until now. */
  readonly targets: Counts
}

/**
 * How many replicas of each model each domain should have. Targets stay as they are while the domain has the engines for
 * them, so that repairs find what was there before; what no longer fits goes, least needed first, and what fits beside
 * the reserve is added where it helps most: the work for each replica of a model, by the nodes that one more takes. It goes to
 * the domain with fewest of the model, so that a domain that is lost takes few replicas of any one model with it.
 */
export function retarget (models: readonly Model[], domains: readonly DomainSize[], demand: Demand): Map<string, Counts> {
  const targets = new Map(domains.map(({ key, targets }) => [key, { ...targets }]))
  const need = (model: Model, change: number): number => needOf(model, total(targets, model.name) + change, demand)
  for (const { key, nodes } of domains) {
    const own = targets.get(key) as Record<string, number>
    while (used(models, own) > nodes) {
      const present = models.filter(each => (own[each.name] ?? 0) > 0)
      const dropped = present.reduce((a, b) => need(b, -1) < need(a, -1) ? b : a)
      own[dropped.name]--
    }
  }
  for (let added = true; added;) {
    added = false
    for (const model of [...models].sort((a, b) => need(b, 0) - need(a, 0))) {
      const kept = need(model, 0) >= 1 ? 0 : reserve
      const room = ({ key, nodes }: DomainSize): number => nodes - used(models, targets.get(key) as Counts) - model.size - kept
      const has = ({ key }: DomainSize): number => targets.get(key)?.[model.name] ?? 0
      const best = domains.filter(each => room(each) >= 0).sort((a, b) => has(a) - has(b) || room(b) - room(a))[0]
      if (best === undefined) continue
      const own = targets.get(best.key) as Record<string, number>
      own[model.name] = (own[model.name] ?? 0) + 1
      added = true
      break
    }
  }
  return targets
}

function needOf (model: Model, count: number, demand: Demand): number {
  return workOf(model, demand) / Math.max(count, 0.5) / model.size + Math.max(0, least - count)
}

/** How much each model needs one more replica: its work for each whole one that it has. */
export function needs (models: readonly Model[], whole: Counts, demand: Demand): Record<string, number> {
  return Object.fromEntries(models.map(model => [model.name, workOf(model, demand) / Math.max(whole[model.name] ?? 0, 0.5)]))
}

function workOf ({ name, share, pace }: Model, demand: Demand): number {
  return demand.get(name) ?? share * pace
}

function used (models: readonly Model[], counts: Counts): number {
  return models.reduce((sum, { name, size }) => sum + size * (counts[name] ?? 0), 0)
}

function total (targets: ReadonlyMap<string, Counts>, model: string): number {
  return [...targets.values()].reduce((sum, counts) => sum + (counts[model] ?? 0), 0)
}
