/**
 * Which entries exchange reports, which entry acts on a subject, and which reports and beats are accepted or dropped.
 */
import test from 'ava'
import { ManualClock } from '@eiderwind/clock'
import { type EntryAddress, type Report } from '@eiderwind/schema'
import { Reports, SentReports, responsibleEntry, fromColumns, toColumns, duties, reportTargets, watchers } from '../src/index.js'

/** 390 entries in 18 data centres: the size that the users named. */
const entries: readonly EntryAddress[] = Array.from({ length: 390 }, (_each, index) => ({
  id: `e${index}`, dataCentre: `dc-${index % 18}`, region: `r-${index % 5}`, peer: `10.0.0.1:${index}`
}))

function report (worker: string, incarnation: string, sequence: number): Report {
  return { worker, incarnation, sequence, address: 'a:1', dataCentre: 'dc-1', serving: true, leaving: false, healthy: true, running: 0, queued: 0, concurrency: 1, missing: [], slots: [], revision: 0 }
}

test('no entry sends to more than its own data centre and five others', t => {
  const all = entries.map(each => duties(each, entries))
  t.true(all.every(({ near }) => near.length <= 21))
  t.true(Math.max(...all.map(({ far }) => far.length)) <= 5)
})

test('every data centre sends to every other one through one entry, and through another entry if that one fails', t => {
  const senders = new Map<string, number>()
  for (const each of entries) {
    for (const { dataCentre } of duties(each, entries).far) {
      const pair = `${each.dataCentre}>${dataCentre}`
      senders.set(pair, (senders.get(pair) ?? 0) + 1)
    }
  }
  t.is(senders.size, 18 * 17)
  t.true([...senders.values()].every(count => count === 1))
  const failed = entries.find(each => duties(each, entries).far.length > 0) as EntryAddress
  const remaining = entries.filter(each => each.id !== failed.id)
  const takenOver = remaining.flatMap(each => duties(each, remaining).far.filter(() => each.dataCentre === failed.dataCentre))
  t.is(new Set(takenOver.map(each => each.dataCentre)).size, 17)
})

test('a worker reports to two entries of its own data centre, and workers are spread over all entries', t => {
  const counts = new Map<string, number>()
  for (let index = 0; index < 1300; index++) {
    const targets = reportTargets(`w${index}`, `dc-${index % 18}`, entries)
    t.is(targets.length, 2)
    for (const { id, dataCentre } of targets) {
      t.is(dataCentre, `dc-${index % 18}`)
      counts.set(id, (counts.get(id) ?? 0) + 1)
    }
  }
  t.true(Math.max(...counts.values()) < 20)
})

test('one entry acts on a subject, the same for all entries with the same beliefs, and another one if it fails', t => {
  const first = responsibleEntry('domain/f1', entries)
  t.is(responsibleEntry('domain/f1', [...entries].reverse())?.id, first?.id)
  t.not(responsibleEntry('domain/f1', entries.filter(each => each.id !== first?.id))?.id, first?.id)
  t.is(watchers('configuration', entries).length, 2)
})

test('older reports and those of earlier incarnations are dropped, in whatever order they arrive', t => {
  const clock = new ManualClock()
  const reports = new Reports(clock)
  const taken = [report('w', '0190-b', 5), report('w', '0190-b', 4), report('w', '0190-a', 9), report('w', '0190-b', 5), report('w', '0190-c', 1)]
  t.deepEqual(taken.map(each => reports.accept({ report: each, age: 0 }, 'worker')), [true, false, false, false, true])
})

test('the age of a report includes its earlier hops, and only reports received since a time are selected', t => {
  const clock = new ManualClock()
  const reports = new Reports(clock)
  reports.accept({ report: report('w', 'a', 1), age: 300 }, 'near')
  clock.advance(200)
  t.is(reports.age('w'), 500)
  t.is(reports.age('x'), undefined)
  t.deepEqual(reports.receivedSince(0, () => true).map(each => each.madeAt), [-300])
  t.deepEqual(reports.receivedSince(1, () => true), [])
  clock.advance(1000)
  reports.forget(1000)
  t.is(reports.of('w'), undefined)
})

test('a peer is sent a complete report once, then beats, until the report changes or the peer restarts', t => {
  const clock = new ManualClock()
  const [here, there] = [new Reports(clock), new Reports(clock)]
  const sentReports = new SentReports(clock)
  const send = (): string => {
    clock.advance(1)
    const received = here.receivedSince(sentReports.since('p'), () => true)
    const { reports, beats } = sentReports.messageFor('p', received)
    for (const each of reports) there.accept(each, 'near')
    const lacking = fromColumns(toColumns(beats)).filter(each => there.beat(each, 'near') === 'lacking').map(each => each.worker)
    sentReports.recordArrival('p', clock.now(), received, lacking)
    clock.advance(1000)
    return `${reports.length} whole, ${beats.length} beats, ${lacking.length} lacking`
  }
  const next = (sequence: number, more: Partial<Report> = {}): void => {
    here.accept({ report: { ...report('w', 'a', sequence), ...more }, age: 0 }, 'worker')
  }
  next(1)
  t.is(send(), '1 whole, 0 beats, 0 lacking')
  next(2, { running: 9, queued: 4 })
  t.is(send(), '0 whole, 1 beats, 0 lacking')
  t.deepEqual(there.of('w')?.report, { ...report('w', 'a', 2), running: 9, queued: 4 })
  t.is(there.beat({ worker: 'w', stamp: there.of('w')?.stamp ?? 0, sequence: 1, running: 0, queued: 0, age: 0 }, 'near'), 'old')
  next(3, { serving: false })
  t.is(send(), '1 whole, 0 beats, 0 lacking')
  t.is(send(), '0 whole, 0 beats, 0 lacking')
  there.forget(0)
  next(4, { serving: false })
  t.is(send(), '0 whole, 1 beats, 1 lacking')
  next(5, { serving: false })
  t.is(send(), '1 whole, 0 beats, 0 lacking')
  sentReports.recordFailure('p')
  next(6, { serving: false })
  t.is(send(), '1 whole, 0 beats, 0 lacking')
})
