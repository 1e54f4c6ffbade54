/**
 * The report on forecasts, from gateways' logs: how much later than forecast the first events of answers came. Requests
 * are grouped by the inputs of the forecast. Ordinary successes are sampled in the logs: such a line counts as many
 * times as its field `sampled` states. Pure functions.
 */
import { type LogLine } from './explain.js'

/** Errors of one class of requests, in ms. A positive error means that the first event came later than expected. */
export interface ErrorRow {
  /** The attribute by which requests are grouped, such as `prompt`. */
  readonly by: string
  /** The class within `by`, such as `512 to 1023`. */
  readonly of: string
  readonly requests: number
  /** Median of the signed errors: the systematic part. */
  readonly bias: number
  /** Quantiles of the absolute errors: 0.5 (`median`), 0.9 (`nineTenths`) and 0.99 (`largest`). */
  readonly median: number
  readonly nineTenths: number
  readonly largest: number
}

/** One request with a forecast whose first event arrived. */
interface Sample {
  readonly error: number
  readonly weight: number
  readonly line: LogLine
}

/** Lower bounds of the classes by tokens, and by requests in flight at the head. */
const tokenBounds = [0, 1, 256, 512, 1024, 2048, 4096]
const loadBounds = [0, 1, 8, 16, 24, 32]

/** The attributes by which requests are grouped, with the function that gives a request's class. */
const attributes: ReadonlyArray<readonly [string, (line: LogLine) => string]> = [
  ['all', () => 'all'],
  ['route', line => String(line.route)],
  ['load', line => classLabel(Number(line.load), loadBounds)],
  ['prompt', line => classLabel(Number(line.prompt), tokenBounds)],
  ['unread', line => classLabel(Number(line.unread), tokenBounds)],
  ['limited', line => line.limited === true ? 'yes' : 'no'],
  ['remote', line => line.remote === true ? 'yes' : 'no']
]

/** One row for each class of each attribute, in the order of `attributes`. */
export function expectedErrors (lines: readonly LogLine[]): ErrorRow[] {
  const samples = lines.flatMap(sampleOf)
  return attributes.flatMap(([by, classOf]) => {
    const groups = new Map<string, Sample[]>()
    for (const each of samples) {
      const group = groups.get(classOf(each.line))
      if (group === undefined) groups.set(classOf(each.line), [each])
      else group.push(each)
    }
    return [...groups].sort(([a], [b]) => compareLabels(a, b)).map(([name, group]) => row(by, name, group))
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

/** The weighted quantile: the smallest value at which the summed weight reaches `share` of the total. */
function quantile (values: ReadonlyArray<{ readonly value: number, readonly weight: number }>, share: number): number {
  const sorted = [...values].sort((a, b) => a.value - b.value)
  let left = share * sorted.reduce((sum, { weight }) => sum + weight, 0)
  return sorted.find(({ weight }) => (left -= weight) <= 0)?.value ?? 0
}

/** The label of a number's class, such as `512 to 1023` or `4096 and more`. */
function classLabel (value: number, bounds: readonly number[]): string {
  const index = bounds.findLastIndex(bound => bound <= value)
  const next = bounds[index + 1]
  if (next === undefined) return `${bounds[index]} and more`
  return next - bounds[index] === 1 ? String(bounds[index]) : `${bounds[index]} to ${next - 1}`
}

/** Orders class labels by their first number, and other labels alphabetically. */
function compareLabels (a: string, b: string): number {
  const difference = parseInt(a) - parseInt(b)
  return Number.isNaN(difference) ? (a < b ? -1 : 1) : difference
}
