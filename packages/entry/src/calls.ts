/**
 * Answers the calls of workers and other entries: reports of workers, exchanges between entries, and reads of the
 * configuration. Owns no state. It reads and writes the board.
 */
import { type CurrentConfiguration } from '@eiderwind/config'
import { type Configuration, type Peer, type Report, type ReportAnswer } from '@eiderwind/schema'
import { fromColumns, reportTargets, type Reports } from '@eiderwind/spread'
import { EntryCalls, type ExchangeMessage, type ExchangeAnswer, type KnownState } from '@eiderwind/wire'
import { assignment } from './assignment.js'
import { knownDigest, updateSender, type EntryBoard } from './facts.js'
import { type Peers } from './peers.js'

/** Dependencies of the calls of an entry. */
export interface CallsOptions {
  readonly board: EntryBoard
  readonly current: CurrentConfiguration
  readonly reports: Reports
  readonly peers: Peers
  /** Data centre of this entry. */
  readonly dataCentre: string
  /** The heads that serve a model service in this entry's region. */
  readonly heads: (service: string) => Peer[]
  /** Fetches from another entry the state that this entry lacks (`Spreader.fetchMissing`). */
  readonly fetchMissing: (address: string, revision: number, peerDigest: number) => Promise<void>
}

/** Answers the calls of workers and other entries. */
export class Calls extends EntryCalls {
  readonly #options: CallsOptions

  constructor (options: CallsOptions) {
    super()
    this.#options = options
  }

  async report (report: Report): Promise<ReportAnswer> {
    const { board, current, reports } = this.#options
    reports.accept({ report, age: 0 }, 'worker')
    const { configuration } = current
    const nodes = board.read('nodes')?.nodes ?? []
    const node = nodes.find(each => each.id === report.worker)
    return {
      revision: configuration.revision,
      assignment: assignment(report.worker, { configuration, nodes, placements: board.read('placements'), homes: board.read('homes') }),
      leaving: configuration.leaving.includes(report.worker) || node?.state === 'leaving',
      teams: report.revision === configuration.revision ? undefined : configuration.teams.map(({ name, priority }) => ({ name, priority })),
      entries: reportTargets(report.worker, report.dataCentre, board.read('live')).map(each => each.peer)
    }
  }

  async exchange ({ from, revision, known, reports, beats }: ExchangeMessage): Promise<ExchangeAnswer> {
    const { board, current, peers, fetchMissing } = this.#options
    updateSender(board, from)
    peers.recordContact(from.id)
    const source = from.dataCentre === this.#options.dataCentre ? 'near' : 'far'
    for (const aged of reports) this.#options.reports.accept(aged, source)
    const lacking = fromColumns(beats).filter(beat => this.#options.reports.beat(beat, source) === 'lacking').map(each => each.worker)
    const local = { revision: current.revision, known: knownDigest(board), lacking }
    // A failed fetch is not repeated here. The next exchange finds the same difference and fetches again.
    if (revision > local.revision || known !== local.known) fetchMissing(from.peer, revision, known).catch(() => {})
    return local
  }

  async configuration (): Promise<Configuration> {
    return this.#options.current.configuration
  }

  async heads ({ service }: { readonly service: string }): Promise<Peer[]> {
    return this.#options.heads(service)
  }

  async known (): Promise<KnownState> {
    const { board } = this.#options
    const nodes = board.read('nodes')
    return {
      placements: [...board.read('placements').values()],
      homes: [...board.read('homes').values()],
      entries: board.read('entries'),
      nodes: nodes?.nodes ?? [],
      nodesSeen: nodes?.seen ?? 0
    }
  }

  async offer (configuration: Configuration): Promise<number> {
    this.#options.current.accept(configuration)
    return this.#options.current.revision
  }
}
