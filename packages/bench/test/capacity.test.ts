import { readFileSync } from 'node:fs'
import test from 'ava'
import { fit } from '../src/fit.js'
import { readResults } from '../src/figures.js'
import { filled, pageFile } from '../src/page.js'

test('the tables of the capacity page are those of the results file', t => {
  const page = readFileSync(pageFile, 'utf8')
  t.is(filled(page, readResults()), page)
})

test('a line is fitted by least squares, with the error of its slope', t => {
  const exact = fit([1, 2, 3, 4].map(size => ({ size, value: 5 + 2 * size })))
  t.deepEqual([exact.slope, exact.start, exact.error], [2, 5, 0])
  const rough = fit([{ size: 0, value: 1 }, { size: 1, value: 1 }, { size: 2, value: 4 }])
  t.is(rough.slope, 1.5)
  t.true(Math.abs(rough.error - Math.sqrt(1.5 / 2)) < 1e-9)
})
