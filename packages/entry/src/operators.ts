/**
 * The calls of operators. Each change is checked, written to the platform's store under a new revision, and sent to a
 * few other entries before the call is answered. Relies on `config` for the changes and on the store to order them.
 */
import { create, type MessageInitShape } from '@bufbuild/protobuf'
import { Code, ConnectError, createContextKey, type ConnectRouter, type HandlerContext, type Interceptor } from '@connectrpc/connect'
import { type Result } from 'ts-results-es'
import { v7 } from 'uuid'
import { type Clock } from '@eiderwind/clock'
import { Writer, type Change, type CurrentConfiguration } from '@eiderwind/config'
import { Fault, kinds } from '@eiderwind/fault'
import { type Log } from '@eiderwind/log'
import { ChangeResponseSchema, Operators, type AuditSchema, type ChangeHeader, type ChangeResponse } from '@eiderwind/rpc'
import { Audit, type Configuration, type EntryAddress, type Operator } from '@eiderwind/schema'
import { type Reports } from '@eiderwind/spread'
import { type Store } from '@eiderwind/store'
import { type Clients } from '@eiderwind/wire'
import { checkedChange, configurationMessage, servicePart } from './convert.js'
import { type EntryBoard } from './facts.js'
import { status } from './status.js'
import { bearerKey, secretDigest } from './teams.js'

/**
 * Maximum number of entries of this data centre to which a change is sent before the operator's call is answered. The
 * same number applies to entries of other data centres.
 */
const maxOfferPeers = 2

/** Dependencies of the operators' calls. */
export interface OperatorsOptions {
  readonly board: EntryBoard
  readonly clock: Clock
  readonly current: CurrentConfiguration
  readonly reports: Reports
  readonly store: Store
  readonly clients: Clients
  readonly log: Log
  readonly self: EntryAddress
  /** An operator who may call before the configuration names any. */
  readonly firstOperator: Operator | undefined
  /** Silence after which a node counts as lost, in ms. */
  readonly lostAfter: number
}

const operatorKey = createContextKey<string>('', { description: 'name of the operator who calls' })

/** Rejects a call without the token of an operator in its Authorization header. */
export function operatorCheck ({ current, firstOperator }: Pick<OperatorsOptions, 'current' | 'firstOperator'>): Interceptor {
  return next => async request => {
    const token = bearerKey(request.header.get('authorization') ?? undefined)
    const digest = token === undefined ? '' : secretDigest(token)
    const known = [...current.configuration.operators, ...(firstOperator === undefined ? [] : [firstOperator])]
    const operator = known.find(each => each.token === digest)
    if (operator === undefined) throw connectError(new Fault('bad-operator'))
    request.contextValues.set(operatorKey, operator.name)
    return await next(request)
  }
}

/** Answers the calls of operators. */
export class OperatorCalls {
  readonly #options: OperatorsOptions
  readonly #writer: Writer

  constructor (options: OperatorsOptions) {
    this.#options = options
    this.#writer = new Writer({ store: options.store, clock: options.clock })
  }

  /** Adds the calls to a Connect router. */
  register (router: ConnectRouter): void {
    const { current } = this.#options
    router.service(Operators, {
      readConfiguration: () => configurationMessage(current.configuration),
      watchConfiguration: (_request, context) => this.#watch(context.signal),
      putService: (request, context) => this.#change({ type: 'put-service', service: servicePart(request.service) }, request.header, context),
      dropService: (request, context) => this.#change({ type: 'drop-service', name: request.name }, request.header, context),
      putTeam: ({ team, header }, context) => {
        const part = team === undefined ? undefined : { name: team.name, priority: team.priority, keys: team.keyDigests }
        return this.#change({ type: 'put-team', team: part }, header, context)
      },
      dropTeam: (request, context) => this.#change({ type: 'drop-team', name: request.name }, request.header, context),
      putOperator: ({ operator, header }, context) => {
        const part = operator === undefined ? undefined : { name: operator.name, token: operator.tokenDigest }
        return this.#change({ type: 'put-operator', operator: part }, header, context)
      },
      dropOperator: (request, context) => this.#change({ type: 'drop-operator', name: request.name }, request.header, context),
      leave: (request, context) => this.#change({ type: 'leave', id: request.id }, request.header, context),
      return: (request, context) => this.#change({ type: 'return', id: request.id }, request.header, context),
      readStatus: () => status(this.#options),
      readAudit: request => this.#audit(Number(request.after))
    })
  }

  async #change (parts: unknown, header: ChangeHeader | undefined, context: HandlerContext): Promise<ChangeResponse> {
    const change = unwrap(checkedChange(parts))
    const who = context.values.get(operatorKey)
    const operation = header?.operation === undefined || header.operation === '' ? v7() : header.operation
    const revision = header?.revision === undefined ? undefined : Number(header.revision)
    const configuration = unwrap(await this.#writer.change({ operation, who, change, revision }))
    this.#options.current.accept(configuration)
    this.#record(configuration, operation, change)
    const peers = await this.#offer(configuration)
    const accepted = configuration.audit.find(each => each.operation === operation)?.to ?? configuration.revision
    return create(ChangeResponseSchema, { revision: BigInt(accepted), peers })
  }

  #record ({ audit }: Configuration, operation: string, change: Change): void {
    const record = audit.find(each => each.operation === operation)
    this.#options.log.write('configuration-changed', { who: record?.who, what: record?.what, type: change.type, from: record?.from, to: record?.to, operation })
  }

  /**
   * Sends the configuration to a few other entries, so that it survives the loss of this entry and of the platform.
   * Resolves to the number of other entries that have received it.
   */
  async #offer (configuration: Configuration): Promise<number> {
    const { board, self, clients } = this.#options
    const others = board.read('live').filter(each => each.id !== self.id)
    const near = others.filter(each => each.dataCentre === self.dataCentre).slice(0, maxOfferPeers)
    const far = others.filter(each => each.dataCentre !== self.dataCentre).slice(0, maxOfferPeers)
    const results = await Promise.allSettled([...near, ...far].map(each => clients.entry(each.peer).offer(configuration)))
    return results.filter(each => each.status === 'fulfilled' && each.value >= configuration.revision).length
  }

  async * #watch (signal: AbortSignal) {
    const { current } = this.#options
    let sentRevision = -1
    while (!signal.aborted) {
      if (current.revision > sentRevision) {
        sentRevision = current.revision
        yield configurationMessage(current.configuration)
      }
      await this.#nextChange(signal)
    }
  }

  #nextChange (signal: AbortSignal): Promise<void> {
    return new Promise(resolve => {
      const stop = this.#options.current.listen(done)
      signal.addEventListener('abort', done, { once: true })
      function done (): void {
        stop()
        signal.removeEventListener('abort', done)
        resolve()
      }
    })
  }

  async #audit (after: number): Promise<MessageInitShape<typeof AuditSchema>> {
    const { store, current } = this.#options
    const archived = unwrap(await store.list('audit/')).flatMap(({ value }) => Audit.array().parse(value))
    const records = [...archived, ...current.configuration.audit].filter(each => each.to > after)
    records.sort((a, b) => a.to - b.to)
    return { records: records.map(({ from, to, ...rest }) => ({ ...rest, fromRevision: BigInt(from), toRevision: BigInt(to) })) }
  }
}

/** Converts a fault to an RPC error with the fault's code and outcome in the metadata. */
export function connectError (fault: Fault): ConnectError {
  return new ConnectError(fault.message, rpcCode(fault), { 'eiderwind-code': fault.code, 'eiderwind-outcome': fault.outcome })
}

function rpcCode (fault: Fault): Code {
  if (fault.code === 'stale-revision') return Code.Aborted
  if (fault.outcome === 'unknown') return Code.Unknown
  switch (kinds[fault.code].status) {
    case 400: return Code.InvalidArgument
    case 401: return Code.Unauthenticated
    case 404: return Code.NotFound
    case 503: return Code.Unavailable
    default: return Code.Internal
  }
}

function unwrap<Value> (result: Result<Value, Fault>): Value {
  if (result.isErr()) throw connectError(result.error)
  return result.value
}
