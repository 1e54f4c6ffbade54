/**
 * How many tokens a request has: those of its prompt, and those that its answer will probably have. Pure. What callers say is a claim: a value without sense says nothing, and
 * the means of the service stand in for it.
 */
import { type Engine } from '@eiderwind/traffic'

/** Tokens of a request. */
export interface RequestTokens {
  readonly prompt: number
  /** Expected, not the most. */
  readonly answer: number
}

const usageForm = /^\s*(\d{1,9})\s*,\s*(\d{1,9})\s*$/
const hintForm = /^\s*(\d{1,9})\s*$/

/**
 * The tokens of a request. An answer is no longer than the most that its caller takes; where the caller expects a length, that is right in the median, so it goes before the mean.
 * @param usage tokens of the prompt, and the most of the answer, by the caller: `1460,80`
 * @param hint tokens of the answer that the caller expects
 */
export function requestTokens (usage: string | undefined, hint: string | undefined, { prompt, answer }: Pick<Engine, 'prompt' | 'answer'>): RequestTokens {
  const [, said, most] = usageForm.exec(usage ?? '') ?? []
  const [, expected] = hintForm.exec(hint ?? '') ?? []
  const likely = expected === undefined ? answer : Number(expected)
  return { prompt: said === undefined ? prompt : Number(said), answer: most === undefined ? likely : Math.min(likely, Number(most)) }
}
