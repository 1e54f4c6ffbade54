/**
 * The figures of the benchmark: their type, the results file docs/results.json, and how several runs give one figure.
 * `Figures` owns the figures of one run. It writes each figure at once, so that an interrupted run keeps its figures.
 */
import { readFileSync, writeFileSync } from 'node:fs'

/** One measured figure. */
export interface Figure {
  readonly name: string
  readonly unit: string
  /** The median of the runs, or the fitted slope. */
  readonly value: number
  /** Minimum of the runs. */
  readonly least?: number
  /** Maximum of the runs. */
  readonly most?: number
  /** Standard error of a fitted slope. */
  readonly error?: number
  /** What was measured, and at which sizes. */
  readonly note: string
}

/** The committed results. */
const resultsFile = new URL('../../../../docs/results.json', import.meta.url)

/** Collects figures, prints each as a line of JSON and, if asked to, updates the results file after each. */
export class Figures {
  readonly #all: Figure[] = []
  readonly #writes: boolean

  /** @param writes whether the results file is updated */
  constructor (writes: boolean) {
    this.#writes = writes
  }

  add (figure: Figure): void {
    this.#all.push(figure)
    process.stdout.write(`${JSON.stringify(figure)}\n`)
    if (this.#writes) this.#write()
  }

  /** Replaces the figures with the same names in the results file and keeps the others. */
  #write (): void {
    const names = new Set(this.#all.map(each => each.name))
    const others = readResults().filter(each => !names.has(each.name))
    const all = [...others, ...this.#all].sort((a, b) => a.name < b.name ? -1 : 1)
    writeFileSync(resultsFile, `${JSON.stringify(all, null, 2)}\n`)
  }
}

/** Reads the committed figures. */
export function readResults (): Figure[] {
  return JSON.parse(readFileSync(resultsFile, 'utf8')) as Figure[]
}

/** Significant digits of a figure. The noise of the runs is far above a thousandth. */
const digits = 3

/** Rounds a number to the significant digits. */
export function rounded (value: number): number {
  return Number(value.toPrecision(digits))
}

/** The figure of several runs: their median, minimum and maximum. */
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
