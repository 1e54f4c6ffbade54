/** Which parts of prompts are suspected, blocked or cleared after crashes, and for whom. */
import { ManualClock } from '@eiderwind/clock'
import test from 'ava'
import { blockId, CrashHistory, type BlockChange, type InterruptedRequest, type RequestIdentity, type Standing } from '@eiderwind/crashes'

const first = 'model/first'
const second = 'model/second'
const bad = 'model/bad'

let requestCount = 0

/** A new request with these parts. */
function request (parts: readonly string[], team = '@one'): RequestIdentity {
  return { fingerprint: `request-${++requestCount}`, parts, team }
}

/** A new request as it was interrupted by a crash. By default its answer was just beginning, and it was no trial. */
function interrupted (parts: readonly string[], { team = '@one', beginning = true, trial = false } = {}): InterruptedRequest {
  const { fingerprint } = request(parts)
  return { request: fingerprint, parts, team, beginning, trial }
}

interface Fixture {
  readonly clock: ManualClock
  readonly history: CrashHistory
  readonly changes: BlockChange[]
  /** Crashes an upstream and waits for the decision. */
  readonly crash: (...requests: InterruptedRequest[]) => void
  readonly standing: (parts: readonly string[], team?: string) => Standing
}

function fixture (): Fixture {
  const clock = new ManualClock()
  const changes: BlockChange[] = []
  const history = new CrashHistory({ clock, changed: () => {}, blockChanged: change => { changes.push(change) } })
  let upstreams = 0
  const crash = (...requests: InterruptedRequest[]): void => {
    history.confirm({ upstream: `u${++upstreams}`, at: clock.now(), requests })
    clock.advance(200)
  }
  return { clock, history, changes, crash, standing: (parts, team) => history.standing(request(parts, team)) }
}

test('a part is suspected after one crash and blocked once a trial of it has crashed', t => {
  const { history, changes, crash, standing } = fixture()
  crash(interrupted([first, bad]), interrupted([first]))
  history.clear(first)
  t.is(standing([first, bad]), 'suspected')
  t.is(standing([first]), 'trusted')
  crash(interrupted([first, bad], { trial: true }), interrupted([first]))
  history.clear(first)
  t.is(standing([first, bad]), 'blocked')
  t.is(standing([second, bad]), 'blocked')
  t.is(standing([first]), 'trusted')
  t.deepEqual(changes.at(-1)?.names, ['@one', bad])
})

test('a part that nobody was served with since is blocked only together with the parts that came with it', t => {
  const { crash, standing } = fixture()
  crash(interrupted([first, bad]))
  crash(interrupted([first, bad], { trial: true }))
  t.is(standing([first, bad]), 'blocked')
  t.is(standing([first]), 'suspected')
  t.is(standing([first, second]), 'suspected')
  t.is(standing([second, bad]), 'suspected')
})

test('a request that is served clears its parts, and narrows a block that rests on earlier crashes', t => {
  const { clock, history, changes, crash, standing } = fixture()
  crash(interrupted([first, bad]))
  crash(interrupted([first, bad], { trial: true }))
  clock.advance(50)
  t.true(history.clear(first))
  t.is(standing([first]), 'trusted')
  t.is(standing([first, bad]), 'blocked')
  t.is(standing([second, bad]), 'blocked')
  t.is(history.blocks.length, 1)
  const [before, after] = changes
  t.deepEqual(after.names, ['@one', bad])
  t.truthy(after.replaces)
  t.notDeepEqual(before.names, after.names)
})

test('a served request lifts the block of its only part, also one that another gateway decides later', t => {
  const { clock, history, standing } = fixture()
  history.block({ names: ['@one', first], age: 100, duration: 60_000 })
  t.is(standing([first]), 'blocked')
  history.clear(first)
  t.is(standing([first]), 'trusted')
  t.deepEqual(history.blocks, [])
  clock.advance(50)
  history.block({ names: ['@one', first], age: 150, duration: 60_000 })
  t.is(standing([first]), 'trusted', 'the block rests on a crash before the request was served')
  history.block({ names: ['@one', first], age: 10, duration: 60_000 })
  t.is(standing([first]), 'blocked', 'the block rests on a later crash')
})

test('a report of a crash that arrives after a request was served does not count for its parts', t => {
  const { clock, history, standing } = fixture()
  clock.advance(1000)
  history.clear(first, 990)
  history.confirm({ upstream: 'late', at: 980, requests: [interrupted([first])] })
  t.is(standing([first]), 'trusted')
  history.confirm({ upstream: 'later', at: 995, requests: [interrupted([first])] })
  t.is(standing([first]), 'suspected')
})

test('a request in the middle of its answer is no suspect for its parts', t => {
  const { crash, standing } = fixture()
  crash(interrupted([first, bad], { beginning: false }), interrupted([second]))
  t.is(standing([first, bad]), 'trusted')
  t.is(standing([second]), 'suspected')
})

test('engines that end at the same time under requests with the same first part do not block it', t => {
  const { history, standing, changes } = fixture()
  for (let index = 0; index < 20; index++) history.confirm({ upstream: `lost-${index}`, at: index, requests: [interrupted([first]), interrupted([first, second])] })
  t.is(standing([first]), 'suspected')
  t.deepEqual(changes, [])
})

test('several harmful parts share an innocent first one: each is blocked with it, and it alone is not', t => {
  const { history, crash, standing } = fixture()
  const parts = ['bad-1', 'bad-2', 'bad-3'].map(each => `model/${each}`)
  for (const each of parts.slice(0, 2)) crash(interrupted([first, each], { trial: true }))
  crash(interrupted([first, parts[2]], { trial: true }))
  t.is(standing([first]), 'suspected')
  history.clear(first)
  t.is(standing([first]), 'trusted')
  for (const each of parts.slice(1)) t.is(standing([first, each]), 'blocked')
})

test('two requests that crash an upstream together: what both have in common is not blocked', t => {
  const { crash, standing } = fixture()
  crash(interrupted([first, 'model/bad-1']), interrupted([first, 'model/bad-2']))
  crash(interrupted([first, 'model/bad-1'], { trial: true }), interrupted([first, 'model/bad-2'], { trial: true }))
  t.is(standing([first]), 'suspected')
  t.is(standing([first, 'model/bad-1']), 'suspected')
})

test('a part is not blocked for a team whose requests did not crash, and is for all once two teams had crashes', t => {
  const { history, crash, standing } = fixture()
  crash(interrupted([first]))
  crash(interrupted([first], { trial: true }))
  t.is(standing([first]), 'blocked')
  t.is(standing([first], '@two'), 'suspected')
  crash(interrupted([first], { team: '@two', trial: true }))
  t.is(standing([first], '@two'), 'blocked')
  t.is(standing([first], '@three'), 'blocked')
  history.clear(first)
  for (const team of ['@one', '@two', '@three']) t.is(standing([first], team), 'trusted')
})

test('a part that was served before is blocked alone only after two crashes of trials that leave nothing else', t => {
  const { history, crash, standing } = fixture()
  history.clear(first)
  crash(interrupted([first]))
  crash(interrupted([first], { trial: true }))
  t.is(standing([first]), 'suspected')
  crash(interrupted([first], { trial: true }))
  t.is(standing([first]), 'blocked')
})

test('a block with a part first ends after a minute; the next crash in a trial blocks it for an hour', t => {
  const { clock, crash, standing } = fixture()
  crash(interrupted([bad]))
  crash(interrupted([bad], { trial: true }))
  t.is(standing([bad]), 'blocked')
  clock.advance(60_000)
  t.is(standing([bad]), 'suspected')
  crash(interrupted([bad], { trial: true }))
  clock.advance(59 * 60_000)
  t.is(standing([bad]), 'blocked')
})

test('an operator lifts a block by its id', t => {
  const { history, crash, standing } = fixture()
  crash(interrupted([bad]))
  crash(interrupted([bad], { trial: true }))
  t.false(history.lift('unknown'))
  t.true(history.lift(blockId(history.blocks[0].names)))
  t.is(standing([bad]), 'trusted')
  t.deepEqual(history.blocks, [])
})

test('many parts and crashes take bounded memory', t => {
  const { history, standing } = fixture()
  for (let index = 0; index < 2000; index++) {
    const parts = Array.from({ length: 8 }, (_each, part) => `model/${index}-${part}`)
    history.confirm({ upstream: `u${index}`, at: index, requests: [interrupted(parts)] })
  }
  t.is(standing(['model/0-0']), 'trusted')
  t.is(standing(['model/1999-7']), 'suspected')
})
