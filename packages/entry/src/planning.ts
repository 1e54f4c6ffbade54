/**
 * Plans the replicas of the domains that this entry acts for. Owns no lasting state: placements are objects of the
 * store, and each write names the version that the plan is based on.
 */
import { Controller } from '@eiderwind/board'
import { type Clock } from '@eiderwind/clock'
import { type CurrentConfiguration } from '@eiderwind/config'
import { type Log } from '@eiderwind/log'
import { emptyPlacement, type Facts, type RepairingPlanner } from '@eiderwind/plan'
import { Placement, type EntryAddress, type ModelService } from '@eiderwind/schema'
import { type Store } from '@eiderwind/store'
import { responsibleEntry, type Reports } from '@eiderwind/spread'
import { mergePlacement, type EntryBoard } from './facts.js'
import { nodeFacts, servingReplicas } from './health.js'

/** Dependencies of the planning. */
export interface PlanningOptions {
  readonly board: EntryBoard
  readonly clock: Clock
  readonly current: CurrentConfiguration
  readonly reports: Reports
  readonly store: Store
  readonly planner: RepairingPlanner
  readonly self: EntryAddress
  readonly log: Log
  /** Silence after which a node counts as lost, in ms. */
  readonly lostAfter: number
}

/**
 * Plans the domains that this entry acts for. Two entries may act for the same domain at the same time without harm: a
 * placement is one object of the store, and of two updates that are based on the same version only the first takes
 * effect.
 */
export class Planning extends Controller {
  readonly name = 'planning'
  readonly interval = 500
  readonly #options: PlanningOptions
  readonly #startedAt: number

  constructor (options: PlanningOptions) {
    super()
    this.#options = options
    this.#startedAt = options.clock.now()
  }

  async update (): Promise<void> {
    const { board, clock, lostAfter, current } = this.#options
    const isStarting = clock.now() - this.#startedAt < lostAfter / 2
    if (isStarting || current.revision === 0 || board.read('nodes') === undefined) return
    for (const domain of this.#domains()) await this.#plan(domain)
  }

  /**
   * The domains that this entry acts for. One live entry of the domain's data centre acts for it. If that data centre
   * has no live entry, one of all live entries does.
   */
  #domains (): string[] {
    const { board, self } = this.#options
    const live = board.read('live')
    const nodes = board.read('nodes')?.nodes ?? []
    const dataCentreOf = new Map(nodes.filter(each => each.service === undefined).map(each => [each.domain, each.dataCentre]))
    return [...dataCentreOf].filter(([domain, dataCentre]) => {
      const near = live.filter(each => each.dataCentre === dataCentre)
      return responsibleEntry(`domain/${domain}`, near.length > 0 ? near : live)?.id === self.id
    }).map(([domain]) => domain)
  }

  async #plan (domain: string): Promise<void> {
    const { board, planner, store, log } = this.#options
    if (!board.read('placements').has(domain)) {
      await this.#read(domain)
      if (!board.read('placements').has(domain)) return
    }
    const { placement, steps } = planner.plan(domain, this.#facts())
    if (steps.length === 0) return
    const written = await store.write(`placement/${domain}`, placement, placement.revision - 1)
    if (written.isOk()) {
      mergePlacement(board, placement)
      for (const { action, replica, members } of steps) log.write('placement-changed', { domain, action, replica, members: members.join(','), revision: placement.revision })
      return
    }
    if (written.error.code === 'stale-revision') log.write('placement-lost-race', { domain })
    await this.#read(domain)
  }

  async #read (domain: string): Promise<void> {
    const { board, store } = this.#options
    const found = await store.read(`placement/${domain}`)
    if (found.isErr()) return
    mergePlacement(board, found.value.version === 0 ? emptyPlacement(domain) : Placement.parse(found.value.value))
  }

  #facts (): Facts {
    const { board, current, reports, lostAfter, self } = this.#options
    const { configuration } = current
    const services = configuration.services.filter((each): each is ModelService => each.kind === 'model')
    const nodes = nodeFacts({ nodes: board.read('nodes')?.nodes ?? [], configuration, reports, lostAfter, dataCentre: self.dataCentre })
    const placements = [...board.read('placements').values()]
    const serving = servingReplicas(placements.flatMap(each => each.replicas), nodes, reports)
    return { services, nodes, placements, serving }
  }
}
