/** The real planner on emulated engines, and the advance of their clock. */
import { IndirectProbes, type Probes } from '@eiderwind/detect'
import { Reconciler, type Demand, type Order, type Orders, type Placements } from '@eiderwind/forming'
import { type Upstream } from '@eiderwind/roster'
import { type EmulatedEngines } from './engines.js'

/**
 * Options of a planner. By default it acts for all domains, and there are no suspects, no demand and no other planner.
 */
export interface PlannerOptions {
  readonly suspects?: ReadonlySet<string>
  readonly isActing?: () => boolean
  /**
   * When the planner's process last resumed after a pause, on the engines' clock, in ms; Infinity while it is paused.
   * Default: it was never paused.
   */
  readonly resumedAt?: () => number
  /** Whether the planner's process is paused now. Default: it is not. */
  readonly isPaused?: () => boolean
  /** Whether no caller has been served yet. */
  readonly beforeTraffic?: () => boolean
  /** Whether a gateway may still receive an answer of a head that has closed. Default: it does not. */
  readonly awaitsAnswers?: (head: Upstream) => boolean
  /** Another planner, whose loads this one takes into account. */
  readonly otherPlanner?: () => Reconciler | undefined
  readonly demand?: () => Demand
  /** Time for which engines that answer but are not listed stay in their replicas, in ms. */
  readonly keepUnlisted?: number
  /** Whether spares load weights before they are needed. */
  readonly warmSpares?: boolean
  /** Called when an order is being sent, with what speaks against the engines of its replica. */
  readonly sending?: (order: Order, evidence: string | undefined) => void
  /** How orders and probes of this planner reach the engines. Default: by whole paths. */
  readonly orders?: Orders
  readonly probes?: Probes
  /** Probes through other gateways. Default: there are no others. */
  readonly indirectProbes?: IndirectProbes
}

/** The indirect probes of a gateway that is alone. */
class NoIndirectProbes extends IndirectProbes {
  async probe (): Promise<boolean> {
    return false
  }
}

/** Time between two heartbeats of an engine to the store, in ms. */
const heartbeatInterval = 1200

/** Creates a planner on emulated engines. */
export function createPlanner (engines: EmulatedEngines, placements: Placements, options: PlannerOptions = {}): Reconciler {
  return new Reconciler({
    clock: engines.clock,
    roster: engines.roster,
    orders: options.orders ?? engines,
    probes: options.probes ?? engines.probes,
    indirectProbes: options.indirectProbes ?? new NoIndirectProbes(),
    placements,
    services: () => options.isPaused?.() === true ? [] : [engines.service],
    leads: options.isActing ?? (() => true),
    contested: () => {},
    suspects: () => options.suspects ?? new Set<string>(),
    demand: options.demand ?? (() => new Map()),
    othersLoads: () => new Map(Object.entries(options.otherPlanner?.()?.loads ?? {})),
    beforeTraffic: options.beforeTraffic ?? (() => false),
    awaitsAnswers: options.awaitsAnswers ?? (() => false),
    heartbeatInterval,
    resumedAt: options.resumedAt ?? (() => -Infinity),
    keepUnlisted: options.keepUnlisted ?? 0,
    warmSpares: options.warmSpares ?? false,
    unlisted: () => {},
    unlistedEnded: () => {},
    decided: () => {},
    surveyed: () => {},
    sending: (order, evidence) => {
      options.sending?.(order, evidence)
      return () => {}
    },
    failed: error => { throw error }
  })
}

/** Advances the clock by `time` ms in steps of 20 ms, and runs all pending work after each step. */
export async function advance ({ clock }: EmulatedEngines, time: number): Promise<void> {
  for (let elapsed = 0; elapsed < time; elapsed += 20) {
    clock.advance(20)
    for (let turn = 0; turn < 8; turn++) await Promise.resolve()
    await new Promise(resolve => setImmediate(resolve))
  }
}
