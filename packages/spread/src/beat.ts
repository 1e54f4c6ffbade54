/**
 * The beat: the short form of a report between entries. It has only the counts, for a receiver that has the other
 * parts of the report. A message carries many beats as columns. Pure functions; the columns' names and order are on
 * the wire.
 */

/** The counts of one report, for a receiver that has its other parts. */
export interface Beat {
  readonly worker: string
  /** Digest of the other parts. */
  readonly stamp: number
  readonly sequence: number
  readonly running: number
  readonly queued: number
  /** Time since the worker made the report, in ms. */
  readonly age: number
}

/** Many beats as columns, so that a message names each field once. All columns have the same length. */
export interface Beats {
  readonly workers: string[]
  readonly stamps: number[]
  readonly sequences: number[]
  readonly running: number[]
  readonly queued: number[]
  readonly ages: number[]
}

/** Converts beats to columns. */
export function toColumns (beats: readonly Beat[]): Beats {
  return {
    workers: beats.map(each => each.worker),
    stamps: beats.map(each => each.stamp),
    sequences: beats.map(each => each.sequence),
    running: beats.map(each => each.running),
    queued: beats.map(each => each.queued),
    ages: beats.map(each => Math.round(each.age))
  }
}

/** Converts columns to beats. The shortest column ends the list, so that a truncated message gives no wrong beat. */
export function fromColumns ({ workers, stamps, sequences, running, queued, ages }: Beats): Beat[] {
  const count = Math.min(...[workers, stamps, sequences, running, queued, ages].map(each => each.length))
  return workers.slice(0, count).map((worker, index) => ({
    worker,
    stamp: stamps[index],
    sequence: sequences[index],
    running: running[index],
    queued: queued[index],
    age: ages[index]
  }))
}
