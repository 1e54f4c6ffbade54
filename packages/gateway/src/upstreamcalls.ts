/**
 * The call that asks another gateway for its list of upstreams, or for the changes that this gateway lacks. Relies on
 * `messages.ts` for the messages.
 * Upstreams in the answer that cannot be used are left out and reported.
 */
import { type Clock } from '@eiderwind/clock'
import { ask, type Connections } from '@eiderwind/wire'
import { decodeUpstreamChanges, upstreamsTarget, type UpstreamChanges, type UpstreamsRequest } from './messages.js'

/** Asks the gateway at an address. Rejects if it does not answer within `timeout` ms. */
export type UpstreamsCall = (address: string, request: UpstreamsRequest, timeout: number) => Promise<UpstreamChanges>

/**
 * The call over HTTP.
 * @param invalid called with the reason why an upstream in an answer is left out
 */
export function upstreamsCall (clock: Clock, connections: Pick<Connections, 'send'>, invalid: (reason: string) => void): UpstreamsCall {
  return async (address, request, timeout) => {
    const call = { origin: `http://${address}`, path: upstreamsTarget(request), method: 'GET', headers: {}, body: undefined }
    const { body } = await ask(connections, clock, call, timeout)
    return decodeUpstreamChanges(body.toString(), invalid)
  }
}
