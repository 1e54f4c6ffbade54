/**
 * How much of an engine a request takes. Pure. The load that it answers: requests of one service whose prompts and answers differ many times over, so that a count of requests says
 * little of how full a head is.
 */
import { type Engine } from '@eiderwind/traffic'
import { type RequestTokens } from './tokens.js'

/** Figures of an engine that work depends on. */
type Figures = Pick<Engine, 'slots' | 'step' | 'stepPerRequest' | 'readRate' | 'prompt' | 'answer'>

/**
 * Work of a request, in mean requests of its service; 1 where the configuration gives no means. A token of the answer counts as its part of a step in which all slots write. How fast a
 * model is does not matter, since its pace is a factor on all times of all its requests.
 */
export function workOf (tokens: RequestTokens, engine: Figures): number {
  const mean = busyTime(engine, engine)
  return mean > 0 ? busyTime(tokens, engine) / mean : 1
}

/** Time of a head that a request takes for itself, in ms. */
function busyTime ({ prompt, answer }: RequestTokens, { slots, step, stepPerRequest, readRate }: Figures): number {
  return prompt * 1000 / readRate + answer * (step / slots + stepPerRequest)
}
