/**
 * Determines how many tokens a request has in its prompt, and how many its answer will probably have. Pure. The
 * caller's numbers are only claims: a malformed value is ignored, and the means of the service are used instead.
 */
import { type Engine } from '@eiderwind/traffic'

/** Tokens of a request. */
export interface RequestTokens {
  readonly prompt: number
  /** The expected number of tokens, not the maximum. */
  readonly answer: number
}

const usagePattern = /^\s*(\d{1,9})\s*,\s*(\d{1,9})\s*$/
const hintPattern = /^\s*(\d{1,9})\s*$/

/**
 * The tokens of a request. An answer is no longer than the maximum that its caller accepts. A length expected by the
 * caller is right in the median, so it takes precedence over the mean.
 * @param usage tokens of the prompt and maximum tokens of the answer, from the caller: `1460,80`
 * @param hint tokens of the answer that the caller expects
 */
export function requestTokens (usage: string | undefined, hint: string | undefined, { prompt, answer }: Pick<Engine, 'prompt' | 'answer'>): RequestTokens {
  const [, promptTokens, maxAnswerTokens] = usagePattern.exec(usage ?? '') ?? []
  const [, hintedTokens] = hintPattern.exec(hint ?? '') ?? []
  const expectedTokens = hintedTokens === undefined ? answer : Number(hintedTokens)
  return { prompt: promptTokens === undefined ? prompt : Number(promptTokens), answer: maxAnswerTokens === undefined ? expectedTokens : Math.min(expectedTokens, Number(maxAnswerTokens)) }
}
