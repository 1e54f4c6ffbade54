/**
 * Maintains the list of voters of each plain service. The voters are the workers whose majority decides which of them
 * is the home of a slot of keys. The list is an object of the store. A new list differs from the last one by one voter.
 * It is written only when no lease that a majority of an older list granted can still be held.
 */
import { Controller } from '@eiderwind/board'
import { type Clock } from '@eiderwind/clock'
import { type CurrentConfiguration } from '@eiderwind/config'
import { VoterList, type EntryAddress } from '@eiderwind/schema'
import { type Store } from '@eiderwind/store'
import { responsibleEntry, type Reports } from '@eiderwind/spread'
import { mergeVoters, type EntryBoard } from './facts.js'

/** Time for which a majority must have used a list before the next one is written, in ms. Longer than any lease. */
const settleTime = 10_000

/** Silence after which a voter is removed from the list, in ms. Longer than a voter takes to restart. */
const removeAfter = 60_000

/** Dependencies of the voting controller. */
export interface VotingOptions {
  readonly board: EntryBoard
  readonly clock: Clock
  readonly current: CurrentConfiguration
  readonly reports: Reports
  readonly store: Store
  readonly self: EntryAddress
}

/**
 * Maintains the lists of voters. Each list differs from the previous one by one voter. The next list is written only
 * after a majority of the current voters has used the current list for longer than any lease. Then no lease that a
 * majority of an older list granted can still be held.
 */
export class Voting extends Controller {
  readonly name = 'voting'
  readonly interval = 1000
  readonly #options: VotingOptions
  /** When a majority of the voters began to use a list, on `Clock.now`, by service and revision. */
  readonly #adoptedAt = new Map<string, number>()

  constructor (options: VotingOptions) {
    super()
    this.#options = options
  }

  async update (): Promise<void> {
    const { board, current, self } = this.#options
    for (const service of current.configuration.services) {
      if (service.kind !== 'plain') continue
      if (responsibleEntry(`homes/${service.name}`, board.read('live'))?.id !== self.id) continue
      await this.#updateList(service.name)
    }
  }

  async #updateList (service: string): Promise<void> {
    const { board, store } = this.#options
    const known = board.read('homes').get(service)
    const next = known === undefined ? this.#firstList(service) : this.#nextList(known)
    if (next === undefined) return
    const written = await store.write(`homes/${service}`, next, next.revision - 1)
    if (written.isOk()) return mergeVoters(board, next)
    const found = await store.read(`homes/${service}`)
    if (found.isOk() && found.value.version > 0) mergeVoters(board, VoterList.parse(found.value.value))
  }

  #firstList (service: string): VoterList | undefined {
    const voters = this.#liveWorkers(service)
    return voters.length === 0 ? undefined : { service, revision: 1, voters }
  }

  /** The next list, if a voter must be added or removed and the current list has settled. */
  #nextList (known: VoterList): VoterList | undefined {
    const { service, revision, voters } = known
    const candidates = this.#liveWorkers(service)
    const added = candidates.find(id => !voters.includes(id) && this.#silence(id) < removeAfter)
    const gone = voters.find(id => !candidates.includes(id) || this.#silence(id) > removeAfter)
    if (added === undefined && (gone === undefined || voters.length === 1)) return undefined
    if (!this.#isSettled(known)) return undefined
    if (added !== undefined) return { service, revision: revision + 1, voters: [...voters, added] }
    return { service, revision: revision + 1, voters: voters.filter(id => id !== gone) }
  }

  /** Whether a majority of the voters has reported this list's revision for `settleTime`. */
  #isSettled ({ service, revision, voters }: VoterList): boolean {
    const { reports, clock } = this.#options
    const listKey = `${service}@${revision}`
    const adopted = voters.filter(id => reports.of(id)?.report.votersRevision === revision)
    if (adopted.length <= voters.length / 2) this.#adoptedAt.delete(listKey)
    else if (!this.#adoptedAt.has(listKey)) this.#adoptedAt.set(listKey, clock.now())
    const since = this.#adoptedAt.get(listKey)
    return since !== undefined && clock.now() - since >= settleTime
  }

  #liveWorkers (service: string): string[] {
    const nodes = this.#options.board.read('nodes')?.nodes ?? []
    return nodes.filter(each => each.service === service && each.state === 'live').map(each => each.id).sort()
  }

  #silence (id: string): number {
    return this.#options.reports.age(id) ?? Infinity
  }
}
