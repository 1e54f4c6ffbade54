/**
 * Computes when the first event of a request can be expected at a head. Pure. Heads with equally many requests may have
 * different amounts of prompt tokens to read first. The time is computed from the configuration and the state of the
 * head alone; `forecast.ts` corrects it by measured times.
 */
import { type Engine } from '@eiderwind/traffic'

/** What is known of a head when a request is sent there. */
export interface HeadState {
  /** Requests in flight there, from all gateways. */
  readonly inFlight: number
  /** Prompt tokens of these requests that are not read yet. */
  readonly unread: number
}

/** A request for a model. */
export interface ModelRequest {
  readonly service: string
  readonly model: string
  /** Tokens of its prompt. */
  readonly prompt: number
}

/** The expected time of the first event of a request, and what it was computed from. */
export interface Expectation extends ModelRequest, HeadState {
  /** Time from the sending of the request, in ms. */
  readonly time: number
  /** The part of `time` by which first events of this model usually come later than computed, in ms. */
  readonly lag: number
  /** Whether the head takes a limited number of requests per second, because it is cold or has announced a limit. */
  readonly limited: boolean
  /** Whether the head is in another data centre. */
  readonly remote: boolean
}

/** The parameters of an engine that the time depends on. */
type EngineParameters = Pick<Engine, 'slots' | 'step' | 'stepPerRequest' | 'readRate' | 'answer'>

/**
 * Expected time from sending a request to its first event, in ms. It is the sum of three parts: the wait for a free
 * slot, the reading of all prompts ahead and of its own, and the step that writes its first token.
 * @param prompt tokens of its prompt
 * @param pace the model's factor on all times
 */
export function expectedFirstEventTime (prompt: number, { inFlight, unread }: HeadState, engine: EngineParameters, pace: number): number {
  const { slots, readRate } = engine
  const waiting = Math.max(0, inFlight + 1 - slots)
  const step = stepTime(engine, Math.min(slots, inFlight + 1))
  const slotTime = waiting * engine.answer * step / slots
  return pace * (slotTime + (unread + prompt) * 1000 / readRate + step)
}

/** Time of a step that writes one token for each of `requests` requests, in ms. */
function stepTime ({ step, stepPerRequest }: EngineParameters, requests: number): number {
  return step + stepPerRequest * requests
}
