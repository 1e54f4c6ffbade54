/** Fits a straight line to measurements at several sizes by least squares. The slope is the cost of one more item. */
import { rounded, type Figure } from './figures.js'

/** One measurement at one size. */
export interface Point {
  readonly size: number
  readonly value: number
}

/** A fitted line. */
export interface Line {
  readonly slope: number
  readonly intercept: number
  /** Standard error of the slope. */
  readonly error: number
}

/** Fits a line. It needs at least three points. */
export function fit (points: readonly Point[]): Line {
  const count = points.length
  const meanSize = points.reduce((sum, each) => sum + each.size, 0) / count
  const meanValue = points.reduce((sum, each) => sum + each.value, 0) / count
  const spread = points.reduce((sum, each) => sum + (each.size - meanSize) ** 2, 0)
  const slope = points.reduce((sum, each) => sum + (each.size - meanSize) * (each.value - meanValue), 0) / spread
  const start = meanValue - slope * meanSize
  const squaredError = points.reduce((sum, each) => sum + (each.value - start - slope * each.size) ** 2, 0)
  return { slope, intercept: start, error: Math.sqrt(squaredError / (count - 2) / spread) }
}

/** The slope of a line as a figure. */
export function slopeFigure (name: string, unit: string, points: readonly Point[], note: string): Figure {
  const line = fit(points)
  const sizes = [...new Set(points.map(each => each.size))].join(', ')
  return { name, unit, value: rounded(line.slope), error: rounded(line.error), note: `${note}; sizes ${sizes}` }
}
