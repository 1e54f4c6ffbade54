/**
 * Remembers which reports each peer has received, so that the parts of a report that seldom change are sent to it once.
 * Owns a small record per peer. Relies on the peer to name the reports that it lacks.
 */
import { type Clock } from '@eiderwind/clock'
import { type Beat } from './beat.js'
import { type AgedReport, type ReceivedReport } from './reports.js'

/** The content of one message to a peer. */
export interface ReportMessage {
  /** Reports with parts that the peer has not received yet. */
  readonly reports: readonly AgedReport[]
  /** Counts of reports whose other parts the peer has received. */
  readonly beats: readonly Beat[]
}

/** What one peer has received. */
interface SentRecord {
  /** When the last message that arrived was made, on `Clock.now`. */
  at: number
  /** The stamp of the last report or beat of each worker. */
  readonly stamps: Map<string, number>
}

/** Chooses what to send to each peer by what the peer has received before. */
export class SentReports {
  readonly #clock: Clock
  readonly #peers = new Map<string, SentRecord>()

  constructor (clock: Clock) {
    this.#clock = clock
  }

  /** When the last message that arrived at a peer was made; -Infinity before the first. */
  since (peer: string): number {
    return this.#peers.get(peer)?.at ?? -Infinity
  }

  /** The message to a peer about these reports. */
  messageFor (peer: string, received: readonly ReceivedReport[]): ReportMessage {
    const now = this.#clock.now()
    const stamps = this.#peers.get(peer)?.stamps
    const reports: AgedReport[] = []
    const beats: Beat[] = []
    for (const { report, stamp, madeAt } of received) {
      const { worker, sequence, running, queued } = report
      const age = now - madeAt
      if (stamps?.get(worker) === stamp) beats.push({ worker, stamp, sequence, running, queued, age })
      else reports.push({ report, age })
    }
    return { reports, beats }
  }

  /** Records that a message made at `at` arrived. `lacking` names the workers whose beats the peer could not use. */
  recordArrival (peer: string, at: number, received: readonly ReceivedReport[], lacking: readonly string[]): void {
    const record = this.#peers.get(peer) ?? { at, stamps: new Map<string, number>() }
    record.at = at
    for (const { report, stamp } of received) record.stamps.set(report.worker, stamp)
    for (const worker of lacking) record.stamps.delete(worker)
    this.#peers.set(peer, record)
  }

  /** Records that a message failed. The peer may have restarted, so it is sent complete reports again. */
  recordFailure (peer: string): void {
    this.#peers.delete(peer)
  }
}
