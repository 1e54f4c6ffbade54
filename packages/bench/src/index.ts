/** Measurements: one JSON line a figure. */
export { readResults, type Figure } from './figures.js'
export { fit, type Line, type Point } from './fit.js'
