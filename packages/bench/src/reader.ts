/**
 * A process that keeps streams open through one entry and counts tokens: `reader.js URL STREAMS TOKENS`. It prints its
 * counts every 250 ms.
 */
import { Agent } from 'undici'
import { modelName, trialKey } from '@eiderwind/trial'

const [origin, streams, tokens] = [process.argv[2], Number(process.argv[3]), Number(process.argv[4])]
const agent = new Agent({ pipelining: 1, bodyTimeout: 0, headersTimeout: 0 })
let counted = 0
let open = 0
let broken = 0

for (let index = 0; index < streams; index++) setTimeout(() => stream(index), index * 2)

setInterval(() => process.stdout.write(`${JSON.stringify({ counted, open, broken })}\n`), 250)

/** Opens a stream and, when it ends, the next one, so that the number of open streams stays constant. */
function stream (index: number): void {
  open++
  let isComplete = false
  const ended = (): void => {
    open--
    if (!isComplete) broken++
    setTimeout(() => stream(index), isComplete ? 0 : 500)
  }
  agent.dispatch({
    origin,
    path: '/v1/chat/completions',
    method: 'POST',
    headers: { authorization: `Bearer ${trialKey}` },
    body: JSON.stringify({ model: modelName, stream: true, max_tokens: tokens, messages: [{ role: 'user', content: `q${index}` }] })
  }, {
    onRequestStart () {},
    onResponseStart () {},
    onResponseData (_controller, chunk) {
      for (let at = chunk.indexOf('data: '); at >= 0; at = chunk.indexOf('data: ', at + 6)) counted++
      if (chunk.includes('[DONE]')) isComplete = true
    },
    onResponseEnd: ended,
    onResponseError: ended
  })
}
