/** The catalogues of events and metrics in the docs agree with the code. Also tests the form of log lines. */
import { readFileSync, readdirSync } from 'node:fs'
import test from 'ava'
import { Log, events, metrics } from '../src/index.js'

const root = new URL('../../../../', import.meta.url)
const operators = new URL('docs/operators/', root)

/** The folders with the sources of each program. `all` has the sources that are part of every program. */
const programs: Readonly<Record<string, readonly string[]>> = {
  all: ['packages/life'],
  gateway: ['platform', 'packages/gateway', 'packages/forward', 'packages/dispatch', 'packages/detect', 'packages/forming', 'packages/peers', 'packages/roster'],
  '`eiderwind entry`': ['packages/entry'],
  '`eiderwind worker`': ['packages/worker']
}

/** Matches a call that writes an event, or one of two events. */
const writeCall = /log\.write\([^'()]*'([a-z-]+)'(?:\s*:\s*'([a-z-]+)')?/g

/** Numbers of the events that the sources in these folders write. */
function eventsWrittenIn (folders: readonly string[]): Set<number> {
  const names = folders.flatMap(sources).flatMap(source => [...source.matchAll(writeCall)].flatMap(([, first, second = first]) => [first, second]))
  return new Set(Object.entries(events).filter(([name]) => names.includes(name)).map(([, { number }]) => number))
}

function sources (folder: string): string[] {
  const names = readdirSync(new URL(`${folder}/src/`, root)).filter(name => name.endsWith('.ts'))
  return names.map(name => readFileSync(new URL(`${folder}/src/${name}`, root), 'utf8'))
}

/**
 * Numbers of the events of a program in the table of events.md, which lists single numbers and ranges (`200 to 202`).
 */
function eventsListedFor (program: string): Set<number> {
  const row = readFileSync(new URL('events.md', operators), 'utf8').split('\n').find(line => line.startsWith(`| ${program} | `)) ?? ''
  const ranges = [...row.matchAll(/(\d{3})(?: to (\d{3}))?/g)].map(([, first, last = first]) => [Number(first), Number(last)])
  return new Set(Object.values(events).map(({ number }) => number).filter(number => ranges.some(([first, last]) => first <= number && number <= last)))
}

test('the catalogue of events lists every event with its number, level and text, and no other', t => {
  const rows = readFileSync(new URL('events.md', operators), 'utf8').split('\n').filter(line => /^\| \d+ /.test(line))
  const expected = Object.entries(events).map(([name, { number, level, text }]) => `| ${number} | ${name} | ${level} | ${text} |`)
  t.deepEqual(rows, expected)
})

for (const [program, folders] of Object.entries(programs)) {
  test(`the catalogue lists exactly the events that are written by ${program}`, t => {
    const found = eventsWrittenIn(folders)
    // Every program writes `controller-failed`, each in its own sources.
    const own = program === 'all' ? [...found, events['controller-failed'].number] : [...found].filter(number => number !== events['controller-failed'].number)
    t.deepEqual([...eventsListedFor(program)].sort(), own.sort())
  })
}

test('the list of metrics names every metric with its kind and text, and no other', t => {
  const rows = readFileSync(new URL('metrics.md', operators), 'utf8').split('\n').filter(line => line.startsWith('| eiderwind.'))
  const expected = Object.entries(metrics).map(([name, { kind, text }]) => `| eiderwind.${name} | ${kind} | ${text} |`)
  t.deepEqual(rows, expected)
})

test('no two events share a number', t => {
  const numbers = Object.values(events).map(each => each.number)
  t.is(new Set(numbers).size, numbers.length)
})

test('a log writes one JSON object per line, and only events of its lowest level or above', t => {
  const lines: string[] = []
  const log = new Log({ level: 'warn', sink: line => lines.push(line), fields: { role: 'entry' } })
  log.write('started', { callers: 'a:1' })
  log.write('store-lost', { cause: 'x' })
  t.is(lines.length, 1)
  const { time, ...rest } = JSON.parse(lines[0]) as Record<string, unknown>
  t.regex(String(time), /^\d{4}-\d\d-\d\dT/)
  t.deepEqual(rest, { event: 200, name: 'store-lost', level: 'warn', role: 'entry', cause: 'x' })
})
