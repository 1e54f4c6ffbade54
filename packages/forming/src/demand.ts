import { type Model } from '@eiderwind/traffic'
import { type Placement } from './placement.js'

/** How much of each model is asked for: replicas' worth of work, on any scale that is the same for all models. */
export type Demand = ReadonlyMap<string, number>

/** Replicas of a model that are wanted before any model gets more than these, so that the loss of one leaves some. */
const least = 3

/**
 * The models in the order in which one more replica of them helps most: the work for each replica that is placed.
 * A model below the least number goes before the others.
 */
export function wanted (models: readonly Model[], placements: readonly Placement[], demand: Demand): Array<{ model: string, need: number }> {
  const counts = new Map<string, number>()
  for (const { replicas } of placements) {
    for (const { model } of replicas) counts.set(model, (counts.get(model) ?? 0) + 1)
  }
  const needs = models.map(model => {
    const count = counts.get(model.name) ?? 0
    const work = demand.get(model.name) ?? model.share * model.pace
    const lacking = Math.max(0, least - count)
    return { model: model.name, need: work / Math.max(count, 0.5) + lacking }
  })
  return needs.sort((a, b) => b.need - a.need)
}
