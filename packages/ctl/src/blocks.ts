/**
 * The commands `eiderwindctl blocks` and `unblock`. They show and lift the blocks of requests that crash upstreams, at
 * the address on which a gateway serves the other gateways; the gateway tells these of a lifted block. They print the
 * result as text or JSON and return the exit status.
 */
import { type Print } from './session.js'
import { statuses } from './usage.js'

/** Arguments of these commands. */
export interface BlockOptions {
  /** `host:port` of a gateway's `[listen] peers`. */
  readonly gateway: string
  readonly json: boolean
}

/** A block as a gateway lists it. */
interface ListedBlock {
  /** Its id. */
  readonly request: string
  /** Ms since the crash that led to it. */
  readonly age: number
  readonly names: readonly string[]
  /** Ms from that crash to its end. */
  readonly duration: number
}

/** Time within which a gateway must answer, in ms. */
const answerTimeout = 3000

/** Prints the blocks that a gateway knows. Returns the exit status. */
export async function printBlocks ({ gateway, json }: BlockOptions, { out, error }: { readonly out: Print, readonly error: Print }): Promise<number> {
  const answer = await ask(gateway, 'GET', '/blocked', error)
  if (answer === undefined) return statuses.unreachable
  const { blocked } = await answer.json() as { readonly blocked: readonly ListedBlock[] }
  for (const each of blocked) out(json ? JSON.stringify(each) : textLine(each))
  return statuses.ok
}

/** Lifts a block at all gateways. Returns the exit status. @param id as `blocks` prints it */
export async function liftBlock (id: string, { gateway, json }: BlockOptions, { out, error }: { readonly out: Print, readonly error: Print }): Promise<number> {
  const answer = await ask(gateway, 'POST', `/blocked/lift?id=${encodeURIComponent(id)}`, error)
  if (answer === undefined) return statuses.unreachable
  if (!answer.ok) {
    error(`${gateway} has no block ${id}. List them with eiderwindctl blocks ${gateway}.`)
    return statuses.failed
  }
  out(json ? JSON.stringify({ lifted: id }) : `${id} is lifted.`)
  return statuses.ok
}

async function ask (gateway: string, method: string, path: string, error: Print): Promise<Response | undefined> {
  try {
    return await fetch(`http://${gateway}${path}`, { method, signal: AbortSignal.timeout(answerTimeout) })
  } catch (failure) {
    error(`${gateway} cannot be reached (${(failure as Error).message}). Give the host:port on which a gateway serves other gateways.`)
    return undefined
  }
}

function textLine ({ request: id, age, names, duration }: ListedBlock): string {
  const remaining = Math.max(0, Math.round((duration - age) / 1000))
  return `${id} blocked ${Math.round(age / 1000)} s ago, ${remaining} s left: ${names.join(' ')}`
}
