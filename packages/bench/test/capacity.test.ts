/** The tables of docs/CAPACITY.md and the least-squares fit behind the figures. */
import { readFileSync } from 'node:fs'
import test from 'ava'
import { fit } from '../src/fit.js'
import { readResults } from '../src/figures.js'
import { fillPage, pageFile } from '../src/page.js'

test('the tables in docs/CAPACITY.md equal those computed from docs/results.json', t => {
  const page = readFileSync(pageFile, 'utf8')
  t.is(fillPage(page, readResults()), page)
})

test('fit returns slope, intercept and standard error of the least-squares line', t => {
  const exact = fit([1, 2, 3, 4].map(size => ({ size, value: 5 + 2 * size })))
  t.deepEqual([exact.slope, exact.intercept, exact.error], [2, 5, 0])
  const rough = fit([{ size: 0, value: 1 }, { size: 1, value: 1 }, { size: 2, value: 4 }])
  t.is(rough.slope, 1.5)
  t.true(Math.abs(rough.error - Math.sqrt(1.5 / 2)) < 1e-9)
})
