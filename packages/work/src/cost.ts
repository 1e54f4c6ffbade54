/**
 * Computes how much of an engine's time a request takes. Pure. Prompts and answers of one service differ in length by
 * large factors, so the number of requests says little about how full a head is.
 */
import { type Engine } from '@eiderwind/traffic'
import { type RequestTokens } from './tokens.js'

/** The parameters of an engine that work depends on. */
type EngineParameters = Pick<Engine, 'slots' | 'step' | 'stepPerRequest' | 'readRate' | 'prompt' | 'answer'>

/**
 * Work of a request in units of the service's mean request; 1 if the configuration gives no means. A token of the
 * answer counts as its share of a step in which all slots write. The pace of the model does not matter, since it scales
 * all times of all its requests alike.
 */
export function workOf (tokens: RequestTokens, engine: EngineParameters): number {
  const mean = busyTime(engine, engine)
  return mean > 0 ? busyTime(tokens, engine) / mean : 1
}

/** Time of a head that a request uses up by itself, in ms. */
function busyTime ({ prompt, answer }: RequestTokens, { slots, step, stepPerRequest, readRate }: EngineParameters): number {
  return prompt * 1000 / readRate + answer * (step / slots + stepPerRequest)
}
