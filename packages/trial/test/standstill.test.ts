/**
 * Guards against homes that forget what ran while nobody else held their slots. Worker processes stand still for longer
 * than their leases last, at random moments before, during and after a planned stop of one of them.
 */
import test, { type ExecutionContext } from 'ava'
import { seeded, type Random } from '@eiderwind/clock'
import { Fleet } from '../src/index.js'
import { KeyedLoad, type KeyedRequest } from './keyedload.js'

const period = 1000

/** Seeds of the plays. The environment can name others for a long run, separated by blanks. */
const seeds = (process.env.STANDSTILL_SEEDS ?? '1 2 3 4').split(' ').map(Number)

/** How long after the end of a pause a claim of another worker can still win that was sent before, in ms. */
const claimTime = 300

type Change = 'nothing' | 'stopped' | 'ordered to leave'

/** What happens in one play. Times are in ms from the start of the load. */
interface Play {
  readonly paused: readonly string[]
  /** Whether all entries are paused with the workers. */
  readonly withEntries: boolean
  readonly pauseAt: number
  readonly resumeAt: number
  readonly change: Change
  readonly changeAt: number
}

/** A worker that became the home of a slot. */
interface Opening {
  readonly at: number
  readonly worker: string
  readonly slot: number
  readonly book: unknown
}

function draw (random: Random): Play {
  const from = (min: number, max: number): number => Math.round(min + random() * (max - min))
  const pick = <Value>(values: readonly Value[]): Value => values[Math.floor(random() * values.length)]
  const pauseAt = from(200, 800)
  const duration = from(1100, 3000)
  return {
    paused: pick([['plain-1'], ['plain-3'], ['plain-1', 'plain-2'], ['plain-2', 'plain-3'], ['plain-1', 'plain-2', 'plain-3'], ['plain-1', 'plain-2', 'plain-3']]),
    pauseAt,
    resumeAt: pauseAt + duration,
    change: pick<Change>(['nothing', 'stopped', 'ordered to leave']),
    changeAt: from(0, pauseAt + duration + 800),
    withEntries: random() < 0.3
  }
}

async function wait (ms: number): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, ms))
}

async function pause (fleet: Fleet, { paused, withEntries, pauseAt, resumeAt }: Play): Promise<void> {
  const processes = [...paused.map(id => fleet.worker(id)), ...(withEntries ? fleet.entries : [])]
  await wait(pauseAt)
  for (const { child } of processes) child.signal('SIGSTOP')
  await wait(resumeAt - pauseAt)
  for (const { child } of processes) child.signal('SIGCONT')
}

async function change (fleet: Fleet, play: Play): Promise<void> {
  await wait(play.changeAt)
  if (play.change === 'nothing') return
  const leaving = play.change === 'stopped' ? 'plain-1' : 'plain-2'
  if (play.change === 'stopped') {
    fleet.worker(leaving).child.signal('SIGTERM')
    await fleet.worker(leaving).child.ended()
  } else {
    await fleet.operators().leave({ id: leaving })
  }
  for (const entry of fleet.entries) {
    await fleet.waitForStatus(({ nodes }) => new Set(nodes.filter(node => node.id !== leaving).flatMap(each => each.slots)).size === 12, entry)
  }
}

/** All times at which a worker became the home of a slot, in their order. */
function openings (fleet: Fleet): Opening[] {
  const all = fleet.workers.flatMap(({ id, child }) => child.lines
    .filter(line => line.event === 303)
    .map(line => ({ at: Date.parse(String(line.time)), worker: id, slot: Number(line.slot), book: line.book })))
  return all.sort((a, b) => a.at - b.at)
}

/**
 * The new books since `startedAt` whose worker could have continued or inherited a book: the worker itself was the home
 * before, or the home before did not stand still when another worker took the slot.
 */
function needlessBooks (all: readonly Opening[], startedAt: number, play: Play): Opening[] {
  return all.filter((opening, index) => {
    if (opening.book !== 'new' || opening.at < startedAt) return false
    const before = all.slice(0, index).reverse().find(each => each.slot === opening.slot)
    const tookOver = before !== undefined && before.worker !== opening.worker && play.paused.includes(before.worker) &&
      opening.at > startedAt + play.pauseAt + period && opening.at < startedAt + play.resumeAt + claimTime
    return !tookOver
  })
}

function logPlay (t: ExecutionContext, play: Play, requests: readonly KeyedRequest[], books: readonly unknown[], startedAt: number): void {
  const refusals = requests.flatMap(each => each.refusals).filter(({ at }) => at > startedAt + play.resumeAt)
  const codes = new Map<string, number>()
  for (const { status, code, retryAfter } of refusals) {
    const text = `${status} ${code} retry-after ${String(retryAfter)}`
    codes.set(text, (codes.get(text) ?? 0) + 1)
  }
  t.log(`${JSON.stringify(play)}: ${requests.length} requests, ${requests.filter(each => each.ending === 'unknown').length} ended unknown; books: ${books.join(' ')}`)
  t.log(`after the pause, refusals up to ${Math.max(0, ...refusals.map(each => each.at - startedAt - play.resumeAt))} ms: ${JSON.stringify(Object.fromEntries(codes))}`)
}

for (const seed of seeds) {
  test.serial(`workers that stand still for longer than a lease forget no key unless another home took over (seed ${seed})`, async t => {
    const play = draw(seeded(seed))
    const fleet = new Fleet({ engines: 0, plain: 3, replicas: 0, period, interval: 250, skew: 200 })
    try {
      await fleet.start()
      await fleet.waitUntilKeysAccepted()
      const startedAt = Date.now()
      const load = new KeyedLoad(fleet)
      await Promise.all([pause(fleet, play), change(fleet, play)])
      await wait(1500)
      await load.stop()
      const all = openings(fleet)
      const since = all.filter(each => each.at >= startedAt)
      logPlay(t, play, load.requests, since.map(each => String(each.book)), startedAt)
      const executions = await load.executions()
      t.deepEqual(load.requests.filter(each => (executions.get(each.body) ?? 0) > 1), [])
      t.deepEqual(load.requests.filter(each => each.ending === 'answered' && executions.get(each.body) !== 1), [])
      t.deepEqual(load.requests.filter(each => each.ending === 'not answered'), [])
      t.deepEqual(needlessBooks(all, startedAt, play), [])
      const taken = new Set(since.filter(each => each.book === 'new').map(each => each.slot))
      t.deepEqual(load.requests.filter(each => each.ending === 'unknown' && !taken.has(each.slot)), [])
    } finally {
      await fleet.stop()
    }
  })
}
