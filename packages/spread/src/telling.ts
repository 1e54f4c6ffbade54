/**
 * What each peer has been sent, so that the parts of a report that seldom change are sent to it once. It owns a small record a
 * peer and relies on the peer to name the reports that it lacks.
 */
import { type Clock } from '@eiderwind/clock'
import { type Beat } from './beat.js'
import { type AgedReport, type Heard } from './heard.js'

/** What one message to a peer carries. */
export interface News {
  /** Reports with parts that the peer has not been sent yet. */
  readonly reports: readonly AgedReport[]
  /** Counts of reports whose other parts the peer has. */
  readonly beats: readonly Beat[]
}

/** What a peer has been sent. */
interface Told {
  /** Time of the last message that arrived, on `Clock.now`. */
  at: number
  /** The stamp of the last whole report of each worker. */
  readonly stamps: Map<string, number>
}

/** Remembers what each peer was sent, so that the parts of a report that seldom change go to it once. */
export class Telling {
  readonly #clock: Clock
  readonly #told = new Map<string, Told>()

  constructor (clock: Clock) {
    this.#clock = clock
  }

  /** When the last message to a peer that arrived was made; -Infinity before the first. */
  since (peer: string): number {
    return this.#told.get(peer)?.at ?? -Infinity
  }

  /** What to send to a peer about some reports. */
  news (peer: string, heard: readonly Heard[]): News {
    const now = this.#clock.now()
    const stamps = this.#told.get(peer)?.stamps
    const reports: AgedReport[] = []
    const beats: Beat[] = []
    for (const { report, stamp, madeAt } of heard) {
      const { worker, sequence, running, queued } = report
      const age = now - madeAt
      if (stamps?.get(worker) === stamp) beats.push({ worker, stamp, sequence, running, queued, age })
      else reports.push({ report, age })
    }
    return { reports, beats }
  }

  /** Notes that a message made at `at` arrived, and which of its beats the peer could not use. */
  arrived (peer: string, at: number, heard: readonly Heard[], lacking: readonly string[]): void {
    const told = this.#told.get(peer) ?? { at, stamps: new Map<string, number>() }
    told.at = at
    for (const { report, stamp } of heard) told.stamps.set(report.worker, stamp)
    for (const worker of lacking) told.stamps.delete(worker)
    this.#told.set(peer, told)
  }

  /** Forgets what a peer was sent, since it may have started anew. */
  failed (peer: string): void {
    this.#told.delete(peer)
  }
}
