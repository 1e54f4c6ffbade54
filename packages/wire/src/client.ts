import { createTRPCClient, httpLink, type TRPCClient } from '@trpc/client'
import { Agent, fetch } from 'undici'
import { type EntryRouter, type WorkerRouter } from './calls.js'
import { callsPath } from './headers.js'

/** How long a call between processes may take, in ms, unless said otherwise. */
const callTimeout = 1500

/** Makes and keeps the clients through which a process calls others. Connections are kept open. */
export class Clients {
  readonly #agent: Agent
  readonly #timeout: number
  readonly #workers = new Map<string, TRPCClient<WorkerRouter>>()
  readonly #entries = new Map<string, TRPCClient<EntryRouter>>()

  /** @param timeout how long a call may take, in ms. Default: 1500 */
  constructor (timeout = callTimeout) {
    this.#timeout = timeout
    this.#agent = new Agent({ connections: 4, keepAliveTimeout: 30_000, connect: { timeout } })
  }

  /** The calls of the worker at `host:port`. */
  worker (address: string): TRPCClient<WorkerRouter> {
    return known(this.#workers, address, () => createTRPCClient<WorkerRouter>({ links: [httpLink(this.#link(address))] }))
  }

  /** The calls of the entry at `host:port`. */
  entry (address: string): TRPCClient<EntryRouter> {
    return known(this.#entries, address, () => createTRPCClient<EntryRouter>({ links: [httpLink(this.#link(address))] }))
  }

  /** Closes every connection. Calls under way fail. */
  async close (): Promise<void> {
    await this.#agent.destroy()
  }

  #link (address: string): { url: string, fetch: any } {
    const timed = (url: string, init: object): unknown => fetch(url, { ...init, dispatcher: this.#agent, signal: AbortSignal.timeout(this.#timeout) })
    return { url: `http://${address}${callsPath}`, fetch: timed }
  }
}

function known<Client> (clients: Map<string, Client>, address: string, make: () => Client): Client {
  const present = clients.get(address)
  if (present !== undefined) return present
  const made = make()
  clients.set(address, made)
  return made
}
