/** The real planner over emulated engines, and the passing of time. */
import { Reconciler, type Demand, type Placements } from '@eiderwind/forming'
import { type EmulatedEngines } from './engines.js'

/** What a planner of an emulation may be told; by default it leads, suspects nobody, knows no demand and no other planner. */
export interface PlannerOptions {
  readonly suspects?: ReadonlySet<string>
  readonly acts?: () => boolean
  readonly wokeAt?: () => number
  /** Whether no caller was served yet. */
  readonly unserved?: () => boolean
  /** Another planner, whose loads this one hears of. */
  readonly others?: () => Reconciler | undefined
  readonly demand?: () => Demand
  /** How long engines are kept that answer and are not listed, in ms. */
  readonly keepUnlisted?: number
  /** Whether spares load weights before they are needed. */
  readonly warmSpares?: boolean
}

/** Time between two writes of an engine to the platform's list, in ms. */
const heartbeatInterval = 1200

/** A planner over emulated engines. */
export function planner (engines: EmulatedEngines, placements: Placements, options: PlannerOptions = {}): Reconciler {
  return new Reconciler({
    clock: engines.clock,
    roster: engines.roster,
    orders: engines,
    probes: engines.probes,
    placements,
    services: () => [engines.service],
    leads: options.acts ?? (() => true),
    contested: () => {},
    suspects: () => options.suspects ?? new Set<string>(),
    demand: options.demand ?? (() => new Map()),
    othersLoads: () => new Map(Object.entries(options.others?.()?.loads ?? {})),
    beforeTraffic: options.unserved ?? (() => false),
    heartbeatInterval,
    resumedAt: options.wokeAt ?? (() => -Infinity),
    keepUnlisted: options.keepUnlisted ?? 0,
    warmSpares: options.warmSpares ?? false,
    unlisted: () => {},
    unlistedEnded: () => {},
    decided: () => {},
    surveyed: () => {},
    ordered: () => {},
    failed: error => { throw error }
  })
}

/** Lets `time` ms pass in small steps, with everything that is due done between them. */
export async function pass ({ clock }: EmulatedEngines, time: number): Promise<void> {
  for (let gone = 0; gone < time; gone += 20) {
    clock.advance(20)
    for (let turn = 0; turn < 8; turn++) await Promise.resolve()
    await new Promise(resolve => setImmediate(resolve))
  }
}
