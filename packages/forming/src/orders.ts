/**
 * Orders to engines: their content, their construction, and the interface that sends them. The formats in which they
 * are sent are defined elsewhere: those for engines in the adapter of the platform, those between gateways in
 * gateway/src/messages.ts.
 */
import { type Membership, type Upstream } from '@eiderwind/roster'
import { type Model } from '@eiderwind/traffic'
import { holds } from './engines.js'
import { type Member, type PlannedReplica } from './placement.js'

/**
 * `join`: enter a replica and load its model. `open`, `close`: sent to a head, start or stop serving. `stage`: load
 * weights into the host's memory, in parallel with the engine's other work. `leave`: leave the replica at once.
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
  /** Set for `join` and `stage`. */
  readonly model?: string
  /** Set for `join`: ids, the head first. */
  readonly members?: readonly string[]
  /**
   * Set for `join` if the engine is in another replica that never serves again: its name. The engine leaves it by
   * joining.
   */
  readonly previous?: string
  /** Set for `close`: complete the requests in flight, or cut them off. */
  readonly manner?: 'finish' | 'cut'
  /** Set for `close`: why the replica stops serving, as text for the log. */
  readonly reason?: string
  /**
   * Set for `close` if it rests on nothing but the silence of these engines, by id: the order is void once they have
   * answered again.
   */
  readonly silent?: readonly string[]
  /** Whether the order makes the engine load weights from the weight store. */
  readonly loads: boolean
  /** Set for `stage`: whether nothing waits for the load, so that repairs have precedence. */
  readonly spare?: boolean
  /**
   * Set for `join` and `open` where another order may still arrive late: the number of orders that the engine has begun.
   * It refuses the order if the number differs.
   */
  readonly expectedOrderCount?: number
  /** The fencing token: the highest epoch of the domain when the order was sent. Engines may refuse lower ones. */
  readonly fence: number
}

/** An order without its fencing token. The token is added later and is the same for all orders of one step. */
export type UnfencedOrder = Omit<Order, 'fence'>

/**
 * How an order ended. `taken`: accepted. `refused`: it does not fit the engine's state. `stale`: the engine has seen a
 * higher epoch. `closed`: nothing listens at the engine's address. `unanswered`: unknown; the order may be carried out
 * seconds later.
 */
export type OrderResult = 'taken' | 'refused' | 'stale' | 'closed' | 'unanswered'

/** Sends orders to engines. */
export abstract class Orders {
  /** Sends one order. Resolves to `unanswered` if the engine does not answer. */
  abstract send (order: Order): Promise<OrderResult>
}

/** Weights that an engine should load into its host's memory. */
export interface Staging {
  readonly upstream: Upstream
  readonly model: Model
  /** Whether nothing waits for the load. */
  readonly spare: boolean
}

/**
 * Orders an engine to enter a replica. The engine loads from the weight store only if its host does not hold the
 * weights.
 */
export function joinOrder ({ name, epoch, model, ...replica }: PlannedReplica, upstream: Upstream): UnfencedOrder {
  const { id, address } = upstream
  const members = replica.members.map(each => each.id)
  return { kind: 'join', node: id, address, replica: name, epoch, model, members, loads: !holds(upstream, model) }
}

/** Orders the head of a replica to serve. */
export function openOrder ({ name, epoch, members: [head] }: PlannedReplica): UnfencedOrder {
  return { kind: 'open', node: head.id, address: head.address, replica: name, epoch, loads: false }
}

/** Orders the head of a replica to stop serving. @param reason why, as text for the log */
export function closeOrder ({ name, epoch, members: [head] }: PlannedReplica, manner: 'finish' | 'cut', reason: string): UnfencedOrder {
  return { kind: 'close', node: head.id, address: head.address, replica: name, epoch, manner, reason, loads: false }
}

/**
 * Orders the head of a replica that does not serve to leave it. After that, an order to open has no effect any more.
 */
export function leaveOrder ({ name: replica, epoch, members: [head] }: PlannedReplica): UnfencedOrder {
  return memberLeaveOrder(head, { replica, epoch })
}

/** Orders an engine to leave a replica. A replica without all of its members makes no progress. */
export function memberLeaveOrder ({ id, address }: Member, { replica, epoch }: Pick<Membership, 'replica' | 'epoch'>): UnfencedOrder {
  return { kind: 'leave', node: id, address, replica, epoch, loads: false }
}

/** Orders an engine to load weights into its host's memory. */
export function stageOrder ({ upstream: { id, address }, model, spare }: Staging): UnfencedOrder {
  return { kind: 'stage', node: id, address, replica: '', epoch: 0, model: model.name, loads: true, spare }
}
