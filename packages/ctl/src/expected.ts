/**
 * How well first events were forecast, from gateways' logs: the error of the expected time, by what it rested on. Pure: lines in, rows out. A line of an ordinary success stands for
 * as many of them as it says.
 */
import { type LogLine } from './explain.js'

/** Errors of one class of requests, in ms; above 0: the first event came later than expected. */
export interface ErrorRow {
  /** What the requests have in common, such as `prompt` and `512 to 1023`. */
  readonly by: string
  readonly of: string
  readonly requests: number
  /** Median of the errors: what all of them have in common. */
  readonly bias: number
  /** Of the errors' sizes: the median, 9 and 99 in 100. */
  readonly median: number
  readonly nineTenths: number
  readonly largest: number
}

/** One request of which a first event was expected and came. */
interface Sample {
  readonly error: number
  readonly weight: number
  readonly line: LogLine
}

/** Bounds of the classes by tokens and by requests in flight at the head. */
const tokenBounds = [0, 1, 256, 512, 1024, 2048, 4096]
const loadBounds = [0, 1, 8, 16, 24, 32]

/** The classes of requests, by what the forecast rested on. */
const classes: ReadonlyArray<readonly [string, (line: LogLine) => string]> = [
  ['all', () => 'all'],
  ['route', line => String(line.route)],
  ['load', line => band(Number(line.load), loadBounds)],
  ['prompt', line => band(Number(line.prompt), tokenBounds)],
  ['unread', line => band(Number(line.unread), tokenBounds)],
  ['limited', line => line.limited === true ? 'yes' : 'no'],
  ['remote', line => line.remote === true ? 'yes' : 'no']
]

/** The errors by each class, in the order of the classes. */
export function expectedErrors (lines: readonly LogLine[]): ErrorRow[] {
  const samples = lines.flatMap(sampleOf)
  return classes.flatMap(([by, of]) => {
    const groups = new Map<string, Sample[]>()
    for (const each of samples) {
      const group = groups.get(of(each.line))
      if (group === undefined) groups.set(of(each.line), [each])
      else group.push(each)
    }
    return [...groups].sort(([a], [b]) => byStart(a, b)).map(([name, group]) => row(by, name, group))
  })
}

function sampleOf (line: LogLine): Sample[] {
  const { name, expected, first, waited, sampled } = line
  if (name !== 'request-ended' || typeof expected !== 'number' || typeof first !== 'number' || typeof waited !== 'number') return []
  return [{ error: first - waited - expected, weight: typeof sampled === 'number' ? sampled : 1, line }]
}

function row (by: string, of: string, samples: readonly Sample[]): ErrorRow {
  const sizes = samples.map(({ error, weight }) => ({ value: Math.abs(error), weight }))
  return {
    by,
    of,
    requests: samples.reduce((sum, { weight }) => sum + weight, 0),
    bias: quantile(samples.map(({ error, weight }) => ({ value: error, weight })), 0.5),
    median: quantile(sizes, 0.5),
    nineTenths: quantile(sizes, 0.9),
    largest: quantile(sizes, 0.99)
  }
}

/** The least value that this share of the weight does not exceed. */
function quantile (values: ReadonlyArray<{ readonly value: number, readonly weight: number }>, share: number): number {
  const sorted = [...values].sort((a, b) => a.value - b.value)
  let left = share * sorted.reduce((sum, { weight }) => sum + weight, 0)
  return sorted.find(({ weight }) => (left -= weight) <= 0)?.value ?? 0
}

/** The band of a number: `512 to 1023`, or `4096 and more`. */
function band (value: number, bounds: readonly number[]): string {
  const index = bounds.findLastIndex(bound => bound <= value)
  const next = bounds[index + 1]
  if (next === undefined) return `${bounds[index]} and more`
  return next - bounds[index] === 1 ? String(bounds[index]) : `${bounds[index]} to ${next - 1}`
}

/** Bands by their first number, other names by letters. */
function byStart (a: string, b: string): number {
  const difference = parseInt(a) - parseInt(b)
  return Number.isNaN(difference) ? (a < b ? -1 : 1) : difference
}
