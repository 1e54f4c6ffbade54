/**
 * The figures of the bench: their form, the results file docs/results.json, and the figure of several runs. `Figures` owns what one
 * run has measured and writes it figure by figure, so that a run that breaks off leaves what it had.
 */
import { readFileSync, writeFileSync } from 'node:fs'

/** One measured figure. */
export interface Figure {
  readonly name: string
  readonly unit: string
  /** The median of the runs, or the fitted slope. */
  readonly value: number
  readonly least?: number
  readonly most?: number
  /** Standard error of a fitted slope. */
  readonly error?: number
  /** What was measured and at which sizes. */
  readonly note: string
}

/** Where the committed results are. */
const resultsFile = new URL('../../../../docs/results.json', import.meta.url)

/** Collects figures, prints each as a line of JSON, and writes the results file with each. */
export class Figures {
  readonly #all: Figure[] = []
  readonly #writes: boolean

  /** @param writes whether the results file is written */
  constructor (writes: boolean) {
    this.#writes = writes
  }

  add (figure: Figure): void {
    this.#all.push(figure)
    process.stdout.write(`${JSON.stringify(figure)}\n`)
    if (this.#writes) this.#write()
  }

  /** Replaces the figures of the same names in the results file and keeps the others. */
  #write (): void {
    const names = new Set(this.#all.map(each => each.name))
    const kept = readResults().filter(each => !names.has(each.name))
    const all = [...kept, ...this.#all].sort((a, b) => a.name < b.name ? -1 : 1)
    writeFileSync(resultsFile, `${JSON.stringify(all, null, 2)}\n`)
  }
}

/** The committed figures. */
export function readResults (): Figure[] {
  return JSON.parse(readFileSync(resultsFile, 'utf8')) as Figure[]
}

/** Digits of a figure that count: the noise of the runs is far above a thousandth. */
const digits = 3

/** A number with the digits that count. */
export function rounded (value: number): number {
  return Number(value.toPrecision(digits))
}

/** The figure of several runs: median, least and most. */
export function ofRuns (name: string, unit: string, values: readonly number[], note: string): Figure {
  const sorted = [...values].sort((a, b) => a - b)
  return {
    name,
    unit,
    value: rounded(sorted[Math.floor(sorted.length / 2)]),
    least: rounded(sorted[0]),
    most: rounded(sorted[sorted.length - 1]),
    note
  }
}
