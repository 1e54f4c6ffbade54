/**
 * What direct probes have shown of engines that do not answer. Owns the rule that separates doubt from proof: a process
 * may be silent for a while and go on, so silence alone proves nothing until it has lasted longer than that. A refused
 * connection shows that no process listens any more. Pure; the caller passes the times.
 */
import { type ProbeResult } from './probes.js'

/** How long a sound process may be silent, in ms. */
const maxSoundSilence = 2500

/** Consecutive refused connections after which no process listens at an address. */
const refusalsLimit = 2

/** Consecutive probes of one engine that got no answer. */
interface Silence {
  /** When the first of them was sent, and when the last of them ended, on `Clock.now`. */
  readonly since: number
  readonly until: number
  readonly missed: number
  /** How many of the last ones were refused. */
  readonly refused: number
}

/** When a probe was sent and ended, and when this process last resumed after a pause, on `Clock.now`. */
export interface ProbeTimes {
  readonly sentAt: number
  readonly endedAt: number
  readonly resumedAt: number
}

/** The silences of all engines that left their last probe unanswered. */
export class Silences {
  readonly #silences = new Map<string, Silence>()

  /** Ids of the engines that left their last probe unanswered. */
  get ids (): Iterable<string> {
    return this.#silences.keys()
  }

  has (id: string): boolean {
    return this.#silences.has(id)
  }

  /** Number of consecutive probes that an engine left unanswered. */
  missed (id: string): number {
    return this.#silences.get(id)?.missed ?? 0
  }

  /** Records the result of a probe. Nothing is known of the engine from before a pause of this process. */
  record (id: string, result: ProbeResult, { sentAt, endedAt, resumedAt }: ProbeTimes): void {
    if (result === 'answered') {
      this.#silences.delete(id)
      return
    }
    const before = this.#silences.get(id)
    const since = before !== undefined && before.since > resumedAt ? before.since : sentAt
    const refused = result === 'refused' ? (before?.refused ?? 0) + 1 : 0
    this.#silences.set(id, { since, until: endedAt, missed: (before?.missed ?? 0) + 1, refused })
  }

  /** Records that other probes of an engine, which ended at `now`, went unanswered. */
  recordMissed (id: string, missed: number, now: number): void {
    this.#silences.set(id, { since: now, until: now, missed, refused: 0 })
  }

  forget (id: string): void {
    this.#silences.delete(id)
  }

  /** Whether an engine has been silent for longer than a sound process may be. */
  isLong (id: string): boolean {
    const silence = this.#silences.get(id)
    return silence !== undefined && this.isTooLong(silence.until - silence.since)
  }

  /** Whether a sound process may not be silent for this time, in ms. */
  isTooLong (time: number): boolean {
    return time > maxSoundSilence
  }

  /** Whether no process listens at an engine's address. */
  hasRefused (id: string): boolean {
    return (this.#silences.get(id)?.refused ?? 0) >= refusalsLimit
  }

  /** The unanswered probes of an engine, as text for the log. Undefined if it answered the last one. */
  describe (id: string): string | undefined {
    const silence = this.#silences.get(id)
    if (silence === undefined) return undefined
    const { since, until, missed, refused } = silence
    return `${missed} probes unanswered in ${Math.round(until - since)} ms${refused > 0 ? `, ${refused} of them refused` : ''}`
  }
}
