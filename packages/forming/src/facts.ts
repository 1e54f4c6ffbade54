import { type Engine } from '@eiderwind/traffic'
import { type Upstream } from '@eiderwind/roster'
import { type Counts } from './demand.js'
import { type Placement } from './placement.js'

/** What an engine can be told. */
export type OrderKind = 'join' | 'open' | 'close' | 'stage'

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
  /** For `close`: finish what runs, or cut it off. */
  readonly manner?: 'finish' | 'cut'
  /** Whether it makes the engine load weights from the weight store. */
  readonly loads: boolean
  /** Whether it may wait until fewer loads go on. */
  readonly spare?: boolean
  /** The highest epoch of the domain when it was given, for engines that refuse old orders. */
  readonly fence: number
}

/** What is known of one fabric domain at one moment. */
export interface DomainFacts {
  readonly engine: Engine
  readonly placement: Placement
  /** The listed engines of the domain. */
  readonly upstreams: readonly Upstream[]
  /** Ids of engines that do not answer calls, listed or not. */
  readonly silent: ReadonlySet<string>
  /** Ids of engines that may be gone: they stay where they are and are put into no other replica. */
  readonly doubtful: ReadonlySet<string>
  /** Ids of former heads that certainly serve no more. */
  readonly ended: ReadonlySet<string>
  /** How many replicas of each model the domain should have now. */
  readonly targets: Counts
  /** How many replicas of each model the fleet has that lack no member. */
  readonly whole: Counts
  /** How much each model needs one more replica: the work for each whole one that it has, on any one scale. */
  readonly needs: Readonly<Record<string, number>>
  /** Whether no caller was ever served, so that loads disturb nobody and have no rate. */
  readonly unserved: boolean
  /** Whether engines still come to a system that starts, so that nobody can tell yet what its domains can hold. */
  readonly arriving: boolean
  /** Whether every domain has what it should have, open. */
  readonly complete: boolean
}

/** What to do next in a domain: first write the placement, where it changed, then give the orders. */
export interface Step {
  readonly placement: Placement
  readonly orders: readonly Order[]
  /** What was decided, in words, for the log. */
  readonly notes: readonly string[]
}
