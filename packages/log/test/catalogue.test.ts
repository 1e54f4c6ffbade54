/** The catalogues in docs and the code hold together. */
import { readFileSync } from 'node:fs'
import test from 'ava'
import { Log, events, metrics } from '../src/index.js'

const operators = new URL('../../../../docs/operators/', import.meta.url)

test('the catalogue of events lists every event with its number, level and text, and no other', t => {
  const rows = readFileSync(new URL('events.md', operators), 'utf8').split('\n').filter(line => /^\| \d+ /.test(line))
  const expected = Object.entries(events).map(([name, { number, level, text }]) => `| ${number} | ${name} | ${level} | ${text} |`)
  t.deepEqual(rows, expected)
})

test('the list of metrics names every metric with its kind and text, and no other', t => {
  const rows = readFileSync(new URL('metrics.md', operators), 'utf8').split('\n').filter(line => line.startsWith('| eiderwind.'))
  const expected = Object.entries(metrics).map(([name, { kind, text }]) => `| eiderwind.${name} | ${kind} | ${text} |`)
  t.deepEqual(rows, expected)
})

test('no two events share a number', t => {
  const numbers = Object.values(events).map(each => each.number)
  t.is(new Set(numbers).size, numbers.length)
})

test('a log writes one JSON object a line, from its least level on', t => {
  const lines: string[] = []
  const log = new Log({ level: 'warn', sink: line => lines.push(line), fields: { role: 'entry' } })
  log.write('started', { callers: 'a:1' })
  log.write('store-lost', { cause: 'x' })
  t.is(lines.length, 1)
  const { time, ...rest } = JSON.parse(lines[0]) as Record<string, unknown>
  t.regex(String(time), /^\d{4}-\d\d-\d\dT/)
  t.deepEqual(rest, { event: 200, name: 'store-lost', level: 'warn', role: 'entry', cause: 'x' })
})
