/**
 * Reports the state of this worker to a few entries. Owns the sequence number of the reports. The entries' answers name
 * the entries to report to next, and bring the worker's assignment, the teams and the configuration revision.
 */
import { Controller } from '@eiderwind/board'
import { type Queue } from '@eiderwind/admit'
import { type Metric } from '@eiderwind/log'
import { type Assignment, type Report, type ReportAnswer } from '@eiderwind/schema'
import { type Clients } from '@eiderwind/wire'
import { type WorkerBoard } from './facts.js'

/** What a reporter depends on. */
export interface ReporterOptions {
  readonly board: WorkerBoard
  readonly queue: Queue
  readonly clients: Clients
  readonly metric: Metric
  readonly worker: string
  readonly incarnation: string
  readonly address: string
  readonly dataCentre: string
  /** Entries to report to until an entry has named others, or while none of those answers. */
  readonly seeds: readonly string[]
}

/** Reports to a few entries of this data centre, and writes their answers to the board. */
export class Reporter extends Controller {
  readonly name = 'reporter'
  readonly interval = 1000
  readonly #options: ReporterOptions
  #sequence = 0

  constructor (options: ReporterOptions) {
    super()
    this.#options = options
  }

  async update (): Promise<void> {
    const { board, clients, seeds, metric, queue } = this.#options
    const known = board.read('entries')
    const report = this.#makeReport()
    metric.gauge('admission.running', queue.running)
    metric.gauge('admission.queued', queue.waiting)
    const reportTo = async (address: string): Promise<boolean> => {
      // A failure is not logged, since this runs at each interval. The next report follows, and the seeds are tried if
      // no entry answers.
      return await clients.entry(address).report(report).then(answer => this.#applyAnswer(answer), () => false)
    }
    const answered = await Promise.all(known.map(reportTo))
    if (answered.includes(true)) return
    for (const seed of seeds) if (await reportTo(seed)) return
  }

  #makeReport (): Report {
    const { board, queue, worker, incarnation, address, dataCentre } = this.#options
    const assignment = board.read('assignment')
    const { healthy, loaded } = board.read('upstream')
    const model = assignment?.kind === 'model' ? assignment : undefined
    return {
      worker,
      incarnation,
      address,
      dataCentre,
      sequence: ++this.#sequence,
      service: assignment === undefined || assignment.kind === 'spare' ? undefined : assignment.service,
      replica: model?.replica,
      generation: model?.generation,
      members: model?.head === worker ? model.members.length : undefined,
      serving: board.read('serving'),
      leaving: board.read('stopping') || board.read('mustLeave'),
      healthy,
      running: queue.running,
      queued: queue.waiting,
      concurrency: model?.concurrency ?? (assignment?.kind === 'plain' ? assignment.concurrency : 1),
      missing: [...board.read('missing')],
      slots: [...board.read('slots')],
      loaded: loaded === undefined ? undefined : { version: loaded.version, generation: loaded.generation },
      votersRevision: assignment?.kind === 'plain' ? assignment.revision : undefined,
      revision: board.read('revision')
    }
  }

  /**
   * Writes an answer to the board, unless its configuration is older than the known one. Returns true in both cases,
   * since the entry has answered.
   */
  #applyAnswer (answer: ReportAnswer): boolean {
    const { board } = this.#options
    if (answer.revision < board.read('revision')) return true
    if (answer.revision > board.read('revision')) board.write('revision', answer.revision)
    board.write('mustLeave', answer.leaving)
    if (answer.entries.join() !== board.read('entries').join()) board.write('entries', answer.entries)
    if (answer.teams !== undefined) board.write('teams', answer.teams)
    this.#applyAssignment(answer.assignment)
    return true
  }

  #applyAssignment (assignment: Assignment | undefined): void {
    const { board, queue } = this.#options
    const present = board.read('assignment')
    if (assignment === undefined || assignment.revision < (present?.revision ?? 0)) return
    if (JSON.stringify(assignment) !== JSON.stringify(present)) board.write('assignment', assignment)
    if (assignment.kind === 'spare') return
    const priorities = new Map(board.read('teams').map(({ name, priority }) => [name, priority]))
    queue.configure({ concurrency: assignment.concurrency, queue: assignment.queue }, priorities)
  }
}
