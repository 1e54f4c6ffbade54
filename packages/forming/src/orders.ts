/**
 * Orders to engines: what they hold, how each is made, and the interface by which they are given. The forms in which they are
 * sent are elsewhere: to engines in the adapter of the platform, between gateways in gateway/src/messages.ts.
 */
import { type Upstream } from '@eiderwind/roster'
import { type Model } from '@eiderwind/traffic'
import { holds } from './engines.js'
import { type PlannedReplica } from './placement.js'

/**
 * `join`: enter a replica and load its model. `open`, `close`: to a head, start or stop serving. `stage`: load weights into
 * the host's memory, beside the engine's other work. `leave`: to a head that does not serve, be in no replica, at once.
 */
export type OrderKind = 'join' | 'open' | 'close' | 'stage' | 'leave'

/** An order to one engine. */
export interface Order {
  readonly kind: OrderKind
  /** Id and address of the engine. */
  readonly node: string
  readonly address: string
  /** The replica and its epoch; empty and 0 for `stage`. */
  readonly replica: string
  readonly epoch: number
  /** For `join` and `stage`. */
  readonly model?: string
  /** For `join`: ids, the head first. */
  readonly members?: readonly string[]
  /** For `close`: complete the requests in flight, or cut them off. */
  readonly manner?: 'finish' | 'cut'
  /** Whether it makes the engine load weights from the weight store. */
  readonly loads: boolean
  /** For `stage`: whether nothing waits for it, so that repairs go first. */
  readonly spare?: boolean
  /** The fencing token: the highest epoch of the domain when the order was given. Engines may refuse lower ones. */
  readonly fence: number
}

/** An order before its fencing token is added; all orders of one step have the same. */
export type UnfencedOrder = Omit<Order, 'fence'>

/**
 * How an order ended. `taken`: accepted. `refused`: it does not fit the engine's state. `stale`: the engine has seen a higher
 * epoch. `closed`: nothing listens at the engine's address. `unanswered`: unknown; it may be carried out seconds later.
 */
export type OrderResult = 'taken' | 'refused' | 'stale' | 'closed' | 'unanswered'

/** Gives orders to engines. */
export abstract class Orders {
  /** Gives one order. Resolves also where the engine does not answer, to `unanswered`. */
  abstract give (order: Order): Promise<OrderResult>
}

/** Weights that an engine should load into its host's memory. */
export interface Staging {
  readonly upstream: Upstream
  readonly model: Model
  /** Whether nothing waits for it. */
  readonly spare: boolean
}

/** Has an engine enter a replica. It loads from the weight store only what its host does not hold. */
export function joinOrder ({ name, epoch, model, ...replica }: PlannedReplica, upstream: Upstream): UnfencedOrder {
  const { id, address } = upstream
  const members = replica.members.map(each => each.id)
  return { kind: 'join', node: id, address, replica: name, epoch, model, members, loads: !holds(upstream, model) }
}

/** Has the head of a replica serve. */
export function openOrder ({ name, epoch, members: [head] }: PlannedReplica): UnfencedOrder {
  return { kind: 'open', node: head.id, address: head.address, replica: name, epoch, loads: false }
}

/** Has the head of a replica stop serving. */
export function closeOrder ({ name, epoch, members: [head] }: PlannedReplica, manner: 'finish' | 'cut'): UnfencedOrder {
  return { kind: 'close', node: head.id, address: head.address, replica: name, epoch, manner, loads: false }
}

/** Has the head of a replica that does not serve leave it, so that an order to open it can have no effect any more. */
export function leaveOrder ({ name, epoch, members: [head] }: PlannedReplica): UnfencedOrder {
  return { kind: 'leave', node: head.id, address: head.address, replica: name, epoch, loads: false }
}

/** Has an engine load weights into its host's memory. */
export function stageOrder ({ upstream: { id, address }, model, spare }: Staging): UnfencedOrder {
  return { kind: 'stage', node: id, address, replica: '', epoch: 0, model: model.name, loads: true, spare }
}
