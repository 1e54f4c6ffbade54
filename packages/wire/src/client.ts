/**
 * Clients for the calls between `entry` and `worker`. There is one client for each address. Connections are kept alive,
 * and each call has a time-out.
 */
import { Agent, request, type Dispatcher } from 'undici'
import { withTimeout, type Clock } from '@eiderwind/clock'
import { type Configuration, type Handover, type Peer, type Report, type ReportAnswer } from '@eiderwind/schema'
import { EntryCalls, WorkerCalls, type ClaimAnswer, type ClaimMessage, type ExchangeMessage, type ExchangeAnswer, type KnownState, type SettleAnswer, type SettleMessage } from './calls.js'
import { callsPath } from './headers.js'
import { callStatuses } from './serve.js'

/** Default time-out of a call, in ms. */
const callTimeout = 1500

/** Maximum number of connections to one address. */
const connections = 4

/** How long an idle connection is kept open, in ms. Shorter than the servers' time of 60 s (`serve.ts`). */
const keepAliveTime = 30_000

/** The clients through which a process calls others. Each client is created once. */
export class Clients {
  readonly #clock: Clock
  readonly #agent: Agent
  readonly #timeout: number
  readonly #workers = new Map<string, RemoteWorker>()
  readonly #entries = new Map<string, RemoteEntry>()

  /** @param timeout maximum time for a call, in ms */
  constructor (clock: Clock, timeout = callTimeout) {
    this.#clock = clock
    this.#timeout = timeout
    this.#agent = new Agent({ connections, keepAliveTimeout: keepAliveTime, connect: { timeout }, headersTimeout: 0, bodyTimeout: 0 })
  }

  /** The calls of the worker at `host:port`. They reject if there is no answer in time. */
  worker (address: string): WorkerCalls {
    return cached(this.#workers, address, () => new RemoteWorker(this.#caller(address)))
  }

  /** The calls of the entry at `host:port`. They reject if there is no answer in time. */
  entry (address: string): EntryCalls {
    return cached(this.#entries, address, () => new RemoteEntry(this.#caller(address)))
  }

  /** Closes every connection. Calls in flight fail. */
  async close (): Promise<void> {
    await this.#agent.destroy()
  }

  #caller (address: string): Caller {
    return new Caller(this.#clock, this.#agent, `http://${address}${callsPath}`, this.#timeout)
  }
}

/** Calls the procedures of one process. Each call is a POST with JSON input and JSON output. */
class Caller {
  readonly #clock: Clock
  readonly #dispatcher: Dispatcher
  readonly #url: string
  readonly #timeout: number

  constructor (clock: Clock, dispatcher: Dispatcher, url: string, timeout: number) {
    this.#clock = clock
    this.#dispatcher = dispatcher
    this.#url = url
    this.#timeout = timeout
  }

  async call<Output> (name: string, input?: unknown): Promise<Output> {
    const { status, text } = await withTimeout(this.#clock, this.#timeout, signal => this.#post(name, input, signal))
    if (status !== callStatuses.ok) throw new Error(`${this.#url}/${name} answered ${status}: ${text}`)
    return (text === '' ? undefined : JSON.parse(text)) as Output
  }

  async #post (name: string, input: unknown, signal: AbortSignal): Promise<{ status: number, text: string }> {
    const response = await request(`${this.#url}/${name}`, {
      method: 'POST',
      dispatcher: this.#dispatcher,
      signal,
      body: input === undefined ? undefined : JSON.stringify(input)
    })
    return { status: response.statusCode, text: await response.body.text() }
  }
}

/** A worker in another process. */
class RemoteWorker extends WorkerCalls {
  readonly #caller: Caller

  constructor (caller: Caller) {
    super()
    this.#caller = caller
  }

  claim (message: ClaimMessage): Promise<ClaimAnswer> {
    return this.#caller.call('claim', message)
  }

  release (message: ClaimMessage): Promise<void> {
    return this.#caller.call('release', message)
  }

  settle (message: SettleMessage): Promise<SettleAnswer> {
    return this.#caller.call('settle', message)
  }

  inherit (handover: Handover): Promise<boolean> {
    return this.#caller.call('inherit', handover)
  }
}

/** An entry in another process. */
class RemoteEntry extends EntryCalls {
  readonly #caller: Caller

  constructor (caller: Caller) {
    super()
    this.#caller = caller
  }

  report (report: Report): Promise<ReportAnswer> {
    return this.#caller.call('report', report)
  }

  exchange (message: ExchangeMessage): Promise<ExchangeAnswer> {
    return this.#caller.call('exchange', message)
  }

  configuration (): Promise<Configuration> {
    return this.#caller.call('configuration')
  }

  known (): Promise<KnownState> {
    return this.#caller.call('known')
  }

  heads (message: { readonly service: string }): Promise<Peer[]> {
    return this.#caller.call('heads', message)
  }

  offer (configuration: Configuration): Promise<number> {
    return this.#caller.call('offer', configuration)
  }
}

function cached<Calls> (clients: Map<string, Calls>, address: string, make: () => Calls): Calls {
  const present = clients.get(address)
  if (present !== undefined) return present
  const made = make()
  clients.set(address, made)
  return made
}
