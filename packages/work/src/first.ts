/**
 * When the first event of a request can be expected at a head. Pure. The load that it answers: heads with as many requests but other prompts before them. It is computed from the
 * configuration alone; `forecast.ts` corrects it by what came.
 */
import { type Engine } from '@eiderwind/traffic'

/** What is known of a head when a request is sent there. */
export interface HeadState {
  /** Requests in flight there, from all gateways. */
  readonly inFlight: number
  /** Prompt tokens of them that are not read yet. */
  readonly unread: number
}

/** A request for a model. */
export interface Subject {
  readonly service: string
  readonly model: string
  /** Tokens of its prompt. */
  readonly prompt: number
}

/** When the first event of a request is expected, and what that rests on. */
export interface Expectation extends Subject, HeadState {
  /** Time from its send, in ms. */
  readonly time: number
  /** Part of that time by which first events of its model usually come later than computed, in ms. */
  readonly lag: number
  /** Whether the head takes a limited number of requests a second: it is cold, or says so itself. */
  readonly limited: boolean
  /** Whether the head is in another data centre. */
  readonly remote: boolean
}

/** Figures of an engine that the time depends on. */
type Figures = Pick<Engine, 'slots' | 'step' | 'stepPerRequest' | 'readRate' | 'answer'>

/**
 * Expected time from sending a request to its first event, in ms: until a slot is free, all prompts before its own are read, and its own, and the step that writes its first token.
 * @param prompt tokens of its prompt @param pace the factor of the model on all times
 */
export function expectedFirst (prompt: number, { inFlight, unread }: HeadState, engine: Figures, pace: number): number {
  const { slots, readRate } = engine
  const waiting = Math.max(0, inFlight + 1 - slots)
  const step = stepTime(engine, Math.min(slots, inFlight + 1))
  const slotTime = waiting * engine.answer * step / slots
  return pace * (slotTime + (unread + prompt) * 1000 / readRate + step)
}

/** Time of a step that writes a token of so many requests, in ms. */
function stepTime ({ step, stepPerRequest }: Figures, requests: number): number {
  return step + stepPerRequest * requests
}
