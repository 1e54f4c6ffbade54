/** Reads from an engine's record which weights it holds, whether it is available and how soon it can serve. Pure. */
import { type Upstream } from '@eiderwind/roster'

/**
 * Whether an engine has a model's weights, in use or in its host's memory. Such an engine serves the model without a
 * load from the weight store.
 */
export function holds ({ loaded, staged }: Upstream, model: string): boolean {
  return loaded.includes(model) || staged.includes(model)
}

/** Whether an engine has no weights at all, like a new engine. */
export function isEmpty ({ loaded, staged }: Upstream): boolean {
  return loaded.length === 0 && staged.length === 0
}

/** Whether an engine counts as available: it answers and has not announced that it leaves. */
export function isStaying ({ id, leaving }: Upstream, unreachable: ReadonlySet<string>): boolean {
  return !leaving && !unreachable.has(id)
}

/**
 * How far an engine is from serving a model. 0: loaded. 1: needs a load from its host's memory. 2: needs a load from
 * the weight store.
 */
export function loadDistance ({ loaded, staged }: Upstream, model: string): number {
  if (loaded.includes(model)) return 0
  return staged.includes(model) ? 1 : 2
}
