/**
 * Decides which weights engines load into their host's memory before they are needed. Pure. Ties are broken by the
 * order of models and engines, so this order is part of the decision.
 */
import { type Upstream } from '@eiderwind/roster'
import { type Model } from '@eiderwind/traffic'
import { holds, isEmpty } from './engines.js'
import { type Staging } from './orders.js'
import { type Pool } from './pool.js'

/**
 * Spares of a domain that hold each model. With one of each, any replica can be repaired without a load
 * (docs/design/platform.md).
 */
const sparesPerModel = 1

/**
 * The weights to stage in a domain now. The first of these groups that is not empty is staged: weights that lacking
 * replicas wait for; weights for spares without any; a second model for spares and serving engines. While engines are
 * still appearing at the first start, only the empty engines are loaded.
 */
export function stagingFor (pool: Pool): Staging[] {
  const { facts } = pool.draft.snapshot
  const empty = pool.free.filter(each => isEmpty(each) && !pool.isLoading(each))
  const models = [...facts.engine.models].sort((a, b) => b.size - a.size)
  if (facts.arriving) return stagingForArrivals(empty, models, pool)
  const awaited = stagingForLacking(pool)
  if (awaited.length > 0) return awaited
  // Further spares hold the largest model, which needs the most engines.
  if (empty.length > 0) return distribute(empty, { pool, models, wanted: () => sparesPerModel, fallback: models[0] })
  const onSpares = facts.warmSpares ? stagingOnSpares(pool, models) : []
  return [...onSpares, ...stagingOnServing(pool, models[0])]
}

/**
 * Staging at the first start: enough engines for a replica and a spare of each model, the largest model first. The
 * remaining engines load the smallest model.
 */
function stagingForArrivals (empty: readonly Upstream[], models: readonly Model[], pool: Pool): Staging[] {
  const wanted = ({ size }: Model): number => size + sparesPerModel
  return distribute(empty, { pool, models, wanted, fallback: models[models.length - 1] })
}

/**
 * Staging for the replica that each lacking model waits for, on as many engines as still have to load its weights.
 * Empty engines come first.
 */
function stagingForLacking (pool: Pool): Staging[] {
  const chosen = new Set<string>()
  return pool.draft.lacking.flatMap(model => {
    const others = pool.freeFor(model).filter(each => !holds(each, model.name))
    const loading = others.filter(each => pool.isLoading(each, model)).length
    const shortfall = Math.max(0, model.size - pool.availableSoon(model).length - loading)
    const candidates = others.filter(each => !pool.isLoading(each) && !chosen.has(each.id))
    const staged = candidates.sort((a, b) => Number(isEmpty(b)) - Number(isEmpty(a))).slice(0, shortfall)
    for (const { id } of staged) chosen.add(id)
    return staged.map(upstream => ({ upstream, model, spare: false }))
  })
}

interface Distribution {
  readonly pool: Pool
  /** The models, in the order in which they get engines. */
  readonly models: readonly Model[]
  /** How many free engines should hold a model. */
  readonly wanted: (model: Model) => number
  /** The model that the remaining engines load. */
  readonly fallback: Model
}

/** Assigns to each engine the first model that too few free engines hold or load. */
function distribute (engines: readonly Upstream[], { pool, models, wanted, fallback }: Distribution): Staging[] {
  const { free } = pool
  const count = (model: Model): number => free.filter(each => holds(each, model.name) || pool.isLoading(each, model)).length
  const counts = new Map(models.map(model => [model, count(model)]))
  return engines.map(upstream => {
    const model = models.find(each => counts.get(each) as number < wanted(each)) ?? fallback
    counts.set(model, counts.get(model) as number + 1)
    return { upstream, model, spare: false }
  })
}

/** Spares that have one model's weights in use also load another, so that each can repair replicas of either. */
function stagingOnSpares ({ draft, free }: Pool, models: readonly Model[]): Staging[] {
  if (draft.lacking.length > 0) return []
  const spares = free.filter(({ loaded, staged }) => loaded.length > 0 && staged.every(each => loaded.includes(each)))
  return spares.flatMap(upstream => {
    const model = models.find(each => !holds(upstream, each.name))
    return model === undefined ? [] : [{ upstream, model, spare: true }]
  })
}

/** Engines that serve a smaller model also load the largest one, so that they can be taken for it (`donorsFor`). */
function stagingOnServing ({ draft: { placement, snapshot } }: Pool, largest: Model): Staging[] {
  const serving = placement.replicas.filter(each => each.model !== largest.name && snapshot.isServing(each))
  const engines = serving.flatMap(each => snapshot.staying(each)).filter(each => !each.staged.includes(largest.name))
  return engines.map(upstream => ({ upstream, model: largest, spare: true }))
}
