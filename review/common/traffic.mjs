/** Callers that send requests at a steady pace, and note what they sent and received. */
import { call } from '../../platform/dist/test/standins/client.js'
import { keys } from './config.mjs'

/** Sends one request and notes its answer. */
export async function send (deployment, gateway, options) {
  const sentAt = performance.now()
  const answer = await call({ port: gateway.callerPort, key: keys.one, body: 'a request', ...options })
  const took = Math.round(performance.now() - sentAt)
  deployment.note(`${answer.id} sent to ${gateway.id} ${options.path}: ${answer.status === 0 ? 'no answer' : answer.status}${answer.whole ? '' : ', not whole'}, ${answer.body.length} bytes after ${took} ms`)
  return answer
}

/** Calls `begin` every `interval` ms until the returned function is called, which resolves when all have ended. */
export function steadily (interval, begin) {
  const running = []
  const timer = setInterval(() => running.push(begin()), interval)
  return async () => {
    clearInterval(timer)
    await Promise.all(running)
  }
}
