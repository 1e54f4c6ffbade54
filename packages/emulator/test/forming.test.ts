/** Replicas are formed, opened, mended and dissolved by orders, and four rules hold whatever happens. */
import test, { type ExecutionContext } from 'ava'
import { ManualClock, seeded } from '@eiderwind/clock'
import { type Upstream } from '@eiderwind/roster'
import { type Reconciler } from '@eiderwind/forming'
import { playSchedule } from './schedules.js'
import { MemoryPlacements, World, pass, planner } from './world.js'

function world (domains: number, size = 10): World {
  const made = new World(new ManualClock())
  for (let domain = 0; domain < domains; domain++) {
    for (let index = 0; index < size; index++) made.add(`n${domain}-${index}`, `d${domain}`)
  }
  return made
}

async function formed (made: World, placements = new MemoryPlacements(), suspects = new Set<string>()): Promise<Reconciler> {
  const forming = planner(made, placements, { suspects })
  forming.start()
  await pass(made, 20_000)
  return forming
}

/** The planner's own count: every replica that is open has all its members, alive and in no other. */
function sound (t: ExecutionContext, made: World): void {
  t.deepEqual(made.broken, [])
  const members = made.open.flatMap(each => each.members)
  t.is(new Set(members).size, members.length)
}

function count (made: World, model: string): number {
  return made.open.filter(each => each.model === model).length
}

test('engines that hold nothing become replicas of each model, with a spare for each model in each domain', async t => {
  const made = world(3)
  const forming = await formed(made)
  t.is(count(made, 'large'), 3)
  t.is(count(made, 'small'), 6)
  const members = new Set(made.open.flatMap(each => each.members))
  const spares = made.roster.upstreams.filter(each => !members.has(each.id))
  t.deepEqual(spares.map(each => `${each.domain} ${each.staged}`).sort(), ['d0 large', 'd0 small', 'd1 large', 'd1 small', 'd2 large', 'd2 small'])
  sound(t, made)
  forming.stop()
})

test('each model is spread evenly over the domains', async t => {
  const made = world(3)
  const forming = await formed(made)
  const places = made.open.map(each => `${made.upstream(each.head).domain ?? ''} ${each.model}`).sort()
  t.deepEqual(places, ['d0 large', 'd0 small', 'd0 small', 'd1 large', 'd1 small', 'd1 small', 'd2 large', 'd2 small', 'd2 small'])
  forming.stop()
})

test('a system whose engines come one by one gets replicas of every model, as if they had come at once', async t => {
  const made = new World(new ManualClock())
  const forming = planner(made, new MemoryPlacements(), { unserved: () => true })
  forming.start()
  for (let index = 0; index < 18; index++) {
    for (let domain = 0; domain < 3; domain++) made.add(`n${domain}-${index}`, `d${domain}`)
    await pass(made, 160)
  }
  await pass(made, 18_000)
  const atOnce = world(3, 18)
  const other = await formed(atOnce)
  other.stop()
  for (const model of ['large', 'small']) {
    t.true(count(made, model) > 0)
    t.is(count(made, model), count(atOnce, model), model)
  }
  t.deepEqual(made.loadsAt.filter((at, index) => made.loadsAt.filter(each => each > at - 1200 && each <= at).length > 6), [])
  t.deepEqual(made.broken.filter(each => each !== 'loads'), [])
  forming.stop()
})

test('a domain that was dark and comes back engine by engine serves what it did, from what its hosts hold', async t => {
  const made = world(3)
  const forming = planner(made, new MemoryPlacements(), { demand: () => new Map([['large', 0.25], ['small', 0.75]]) })
  forming.start()
  await pass(made, 20_000)
  for (const { id } of made.roster.upstreams.filter(each => each.domain === 'd0')) made.kill(id)
  await pass(made, 8000)
  t.deepEqual([count(made, 'large'), count(made, 'small')], [2, 4])
  const needed = (): number => made.given.filter(each => each.loads && each.spare !== true).length
  const before = needed()
  for (let index = 0; index < 10; index++) {
    made.add(`back-${index}`, 'd0', index < 5 ? ['small'] : ['large'])
    await pass(made, 40)
  }
  await pass(made, 2500)
  t.deepEqual([count(made, 'large'), count(made, 'small')], [3, 6])
  t.is(needed(), before)
  sound(t, made)
  forming.stop()
})

test('an engine that has taken an order to load is not told again while it loads', async t => {
  const made = world(3)
  const forming = await formed(made)
  const stages = made.given.filter(each => each.kind === 'stage').map(each => `${each.node} ${each.model ?? ''}`)
  t.true(stages.length >= 6)
  t.deepEqual(stages.filter((each, index) => stages.indexOf(each) < index), [])
  forming.stop()
})

test('a member that dies is replaced by a spare that holds the weights, and the others are kept', async t => {
  const made = world(3)
  const suspects = new Set<string>()
  const forming = await formed(made, new MemoryPlacements(), suspects)
  const victim = made.open.find(each => each.model === 'large') as World['open'][number]
  made.kill(victim.members[2])
  suspects.add(victim.head)
  await pass(made, 1500)
  const mended = made.open.find(each => each.head === victim.head && each.model === 'large')
  t.truthy(mended)
  t.deepEqual(mended?.members.filter(id => victim.members.includes(id)).length, 3)
  t.false(mended?.members.includes(victim.members[2]))
  sound(t, made)
  forming.stop()
})

test('the first loss of a domain is mended without a load, whichever model it strikes', async t => {
  for (const model of ['large', 'small']) {
    const made = world(3)
    const suspects = new Set<string>()
    const forming = await formed(made, new MemoryPlacements(), suspects)
    const wanted = count(made, model)
    const victim = made.open.find(each => each.model === model) as World['open'][number]
    const before = made.given.length
    made.kill(victim.members[1])
    suspects.add(victim.head)
    await pass(made, 1000)
    t.is(count(made, model), wanted, model)
    t.false(made.given.slice(before).some(each => each.kind === 'join' && each.loads), model)
    sound(t, made)
    forming.stop()
  }
})

test('a model that is hardly served gets engines of others before the dead head of its replica is certain', async t => {
  const made = world(3)
  const suspects = new Set<string>()
  const forming = await formed(made, new MemoryPlacements(), suspects)
  const domainOf = (id: string): string | undefined => made.upstream(id).domain
  const smallIn = (domain: string | undefined): string[] => made.open.filter(each => each.model === 'small' && domainOf(each.head) === domain).map(each => each.head)
  const large = made.open.filter(each => each.model === 'large')
  const doomed = large.find(each => smallIn(domainOf(each.head)).length > 0) as World['open'][number]
  const lost = large.find(each => domainOf(each.head) !== domainOf(doomed.head)) as World['open'][number]
  const domain = domainOf(doomed.head)
  const small = smallIn(domain)
  const spare = made.roster.upstreams.find(each => each.domain === domain && each.membership === undefined && each.staged.includes('large'))
  for (const id of [...lost.members, spare?.id as string]) made.kill(id)
  suspects.add(lost.head)
  await pass(made, 5000)
  made.kill(doomed.head)
  suspects.add(doomed.head)
  const before = made.given.length
  await pass(made, 1000)
  t.true(made.given.slice(before).some(each => each.kind === 'close' && small.includes(each.node)))
  await pass(made, 4000)
  t.true(made.open.filter(each => each.model === 'large').length >= 2)
  sound(t, made)
  forming.stop()
})

test('the pulse of a head is felt from the first suspicion on, and a suspicion alone ends nothing', async t => {
  const made = world(3)
  const suspects = new Set<string>()
  const forming = await formed(made, new MemoryPlacements(), suspects)
  const [{ head }] = made.open
  t.false(made.felt.has(head))
  suspects.add(head)
  await pass(made, 100)
  t.true(made.felt.has(head))
  const before = made.given.length
  await pass(made, 4000)
  t.deepEqual(made.given.slice(before), [])
  forming.stop()
})

test('an engine whose entry is missing since an outage is put into no replica', async t => {
  const made = world(3)
  const suspects = new Set<string>()
  const forming = await formed(made, new MemoryPlacements(), suspects)
  const victim = made.open.find(each => each.model === 'small') as World['open'][number]
  const wanted = count(made, 'small')
  const { domain } = made.upstream(victim.head)
  const spare = made.roster.upstreams.find(each => each.domain === domain && each.membership === undefined && each.staged.includes('small'))?.id as string
  for (let times = 0; times < 3; times++) {
    made.outage.failed(made.clock.now())
    await pass(made, 1400)
  }
  made.outage.answered()
  made.roster.apply([{ gone: spare }])
  made.kill(victim.members[1])
  suspects.add(victim.head)
  const before = made.given.length
  await pass(made, 700)
  t.is(count(made, 'small'), wanted - 1)
  t.false(made.given.slice(before).some(each => each.node === spare))
  made.roster.apply([{ upstream: made.upstream(spare) }])
  await pass(made, 1500)
  t.true(made.open.some(each => each.members.includes(spare)))
  sound(t, made)
  forming.stop()
})

test('the members of a dead head are free only once its pulse has stopped and it leaves orders unanswered', async t => {
  const made = world(3)
  const suspects = new Set<string>()
  const forming = await formed(made, new MemoryPlacements(), suspects)
  const victim = made.open.find(each => each.model === 'large') as World['open'][number]
  const before = made.given.length
  made.kill(victim.head)
  suspects.add(victim.head)
  await pass(made, 1400)
  t.false(made.given.slice(before).some(each => each.kind === 'join' && victim.members.includes(each.node)))
  await pass(made, 2600)
  t.is(count(made, 'large'), 3)
  sound(t, made)
  forming.stop()
})

test('a head that the platform no longer lists but that still answers is closed before its members are used', async t => {
  const made = world(3)
  const forming = await formed(made)
  const victim = made.open.find(each => each.model === 'large') as World['open'][number]
  made.unlist(victim.head, true)
  await pass(made, 3000)
  t.is(count(made, 'large'), 3)
  t.not(made.upstream(victim.head).membership?.state, 'open')
  sound(t, made)
  forming.stop()
})

test('an engine that says that it leaves is replaced', async t => {
  const made = world(3)
  const forming = await formed(made)
  const victim = made.open.find(each => each.model === 'small') as World['open'][number]
  made.leave(victim.members[1])
  await pass(made, 6000)
  t.false(made.open.some(each => each.members.includes(victim.members[1])))
  t.true(count(made, 'small') >= 5)
  sound(t, made)
  forming.stop()
})

test('a planner that starts anew takes over what there is and gives no order', async t => {
  const made = world(3)
  const placements = new MemoryPlacements()
  const first = await formed(made, placements)
  await pass(made, 40_000)
  first.stop()
  const before = made.given.length
  const second = planner(made, placements)
  second.start()
  await pass(made, 3000)
  t.deepEqual(made.given.slice(before), [])
  sound(t, made)
  second.stop()
})

test('a planner that dies in the middle is followed by one that finishes, with higher epochs and no engine in two replicas', async t => {
  const made = world(3)
  const placements = new MemoryPlacements()
  const first = planner(made, placements)
  first.start()
  await pass(made, 3000)
  first.stop()
  const second = planner(made, placements)
  second.start()
  await pass(made, 20_000)
  t.is(count(made, 'large'), 3)
  sound(t, made)
  second.stop()
})

test('a head that was told to open is closed before its members are used, also where its state is listed late', async t => {
  const made = world(3)
  const suspects = new Set<string>()
  const forming = await formed(made, new MemoryPlacements(), suspects)
  const { head, members } = made.open.find(each => each.model === 'large') as World['open'][number]
  // It is closed, so that the planner opens it again; the list shows that only after a second.
  made.lag = 1000
  const replica = made.upstream(head).membership as NonNullable<Upstream['membership']>
  await made.give({ kind: 'close', node: head, address: `${head}:1`, replica: replica.replica, epoch: replica.epoch, manner: 'cut', loads: false, fence: 0 })
  await pass(made, 1040)
  t.is(made.upstream(head).membership?.state, 'open')
  made.roster.apply([{ gone: members[2] }])
  await pass(made, 4000)
  sound(t, made)
  forming.stop()
})

test('an engine that did not answer for a while is used again', async t => {
  const made = world(3)
  const suspects = new Set<string>()
  const forming = await formed(made, new MemoryPlacements(), suspects)
  const { head, members } = made.open.find(each => each.model === 'large') as World['open'][number]
  suspects.add(head)
  for (const id of members) made.mute.add(id)
  await pass(made, 1500)
  t.false(made.open.some(each => each.head === head))
  made.mute.clear()
  suspects.clear()
  await pass(made, 20_000)
  t.true(made.open.some(each => members.some(id => each.members.includes(id))))
  sound(t, made)
  forming.stop()
})

test('silence while this process stood still itself says nothing', async t => {
  const made = world(3)
  const suspects = new Set<string>()
  let wokeAt = -Infinity
  const forming = planner(made, new MemoryPlacements(), { suspects, wokeAt: () => wokeAt })
  forming.start()
  await pass(made, 20_000)
  const { head, members } = made.open.find(each => each.model === 'large') as World['open'][number]
  for (const id of members) made.mute.add(id)
  suspects.add(head)
  wokeAt = Infinity
  await pass(made, 1500)
  t.true(made.open.some(each => each.head === head))
  forming.stop()
})

test('two planners at once break no rule', async t => {
  const made = world(3)
  const placements = new MemoryPlacements()
  const both = [planner(made, placements), planner(made, placements)]
  for (const each of both) each.start()
  await pass(made, 25_000)
  t.deepEqual(made.broken.filter(each => each !== 'loads'), [])
  t.is(count(made, 'large'), 3)
  for (const each of both) each.stop()
})

for (const seed of [1, 2, 3, 4, 5, 6, 7, 8]) {
  test(`random deaths, departures, arrivals, late orders and new planners break no rule (seed ${seed})`, async t => {
    const made = world(3)
    const random = seeded(seed)
    const placements = new MemoryPlacements()
    const suspects = new Set<string>()
    made.late = order => order.kind !== 'stage' && random() < 0.1 ? 1000 + random() * 9000 : undefined
    let forming = planner(made, placements, { suspects })
    forming.start()
    await pass(made, 15_000)
    for (let step = 0; step < 25; step++) {
      const listed = made.roster.upstreams
      const chosen = listed[Math.floor(random() * listed.length)]
      const draw = random()
      if (draw < 0.35) made.kill(chosen.id)
      else if (draw < 0.45) made.leave(chosen.id)
      else if (draw < 0.55) made.unlist(chosen.id, true)
      else if (draw < 0.8) made.add(`s${seed}-${step}`, `d${step % 3}`)
      else {
        forming.stop()
        forming = planner(made, placements, { suspects })
        forming.start()
      }
      for (const { head, members } of made.open) if (members.some(id => made.roster.find(id) === undefined) || members.includes(chosen.id)) suspects.add(head)
      await pass(made, 300 + random() * 1700)
    }
    t.deepEqual(made.broken, [], `seed ${seed}`)
    forming.stop()
  })
}

test('before any caller is served loads heed the number at once and no rate, and engines of the small model hold the large one when callers come', async t => {
  const made = world(3)
  let served = false
  const forming = planner(made, new MemoryPlacements(), { unserved: () => !served })
  forming.start()
  await pass(made, 16_000)
  served = true
  const members = new Set(made.open.flatMap(each => each.members))
  t.is(count(made, 'large'), 3)
  t.is(count(made, 'small'), 6)
  const small = made.roster.upstreams.filter(each => members.has(each.id) && each.loaded[0] === 'small')
  t.true(small.every(each => each.staged.includes('large')))
  const begun = made.loadsAt.length
  for (const at of made.loadsAt) t.true(made.loadsAt.filter(each => each > at - 1200 && each <= at).length <= 6)
  await pass(made, 3000)
  t.is(made.loadsAt.length, begun)
  forming.stop()
})

for (const seed of [1, 2, 3, 4, 5, 6, 7, 8, 9, 10]) {
  test(`a random schedule with dark domains, late orders and several planners breaks no rule (seed ${seed})`, async t => {
    t.deepEqual((await playSchedule(seed)).broken, [])
  })
}

test('a head that left an order to open unanswered leaves its replica before the other members are used', async t => {
  const made = world(3)
  const suspects = new Set<string>()
  const forming = await formed(made, new MemoryPlacements(), suspects)
  const victim = made.open.find(each => each.model === 'large') as World['open'][number]
  // The replica is mended by a spare, and the first order to open that is carried out 4 s late.
  made.late = order => order.kind === 'open' ? 4000 : undefined
  made.kill(victim.members[3])
  suspects.add(victim.head)
  await pass(made, 1500)
  made.late = () => undefined
  const mended = made.upstream(victim.head).membership?.replica as string
  t.true(made.given.some(each => each.kind === 'open' && each.replica === mended))
  made.kill(victim.members[2])
  await pass(made, 8000)
  const orders = made.given.filter(each => each.replica === mended && each.node === victim.head).map(each => each.kind)
  t.true(orders.includes('leave'))
  sound(t, made)
  forming.stop()
})

test('a dead head that is not listed any more is dissolved, though other domains are looked at between two probes of it', async t => {
  const made = world(3)
  made.probeTime = 280
  const suspects = new Set<string>()
  const forming = await formed(made, new MemoryPlacements(), suspects)
  const wanted = count(made, 'small')
  const victim = made.open.filter(each => each.model === 'small').at(-1) as World['open'][number]
  made.kill(victim.head)
  made.roster.apply([{ gone: victim.head }])
  suspects.add(victim.head)
  await pass(made, 6000)
  t.is(count(made, 'small'), wanted)
  sound(t, made)
  forming.stop()
})

test('a planner that takes over lets the loads go on that the one before it has ordered', async t => {
  const made = world(3)
  const placements = new MemoryPlacements()
  const first = await formed(made, placements)
  made.add('new', 'd0')
  await pass(made, 300)
  const ordered = made.given.filter(each => each.node === 'new')
  t.deepEqual(ordered.map(each => each.kind), ['stage'])
  first.stop()
  const second = planner(made, placements, { others: () => first })
  second.start()
  await pass(made, 1000)
  t.deepEqual(made.given.filter(each => each.node === 'new'), ordered)
  second.stop()
})

test('the former head of a replica takes part in the next one of its model without a load, though its host holds the weights of another one', async t => {
  const made = new World(new ManualClock())
  for (let domain = 0; domain < 3; domain++) {
    for (let index = 0; index < 10; index++) made.add(`n${domain}-${index}`, `d${domain}`)
  }
  const suspects = new Set<string>()
  const forming = planner(made, new MemoryPlacements(), { suspects })
  forming.start()
  await pass(made, 40_000)
  const lost = made.open.filter(each => each.model === 'small' && made.upstream(each.head).domain === 'd0')
  t.is(lost.length, 2)
  for (const { head, members } of lost) {
    t.deepEqual(made.upstream(head).staged, ['large'])
    made.kill(members[1])
    suspects.add(head)
  }
  const before = made.given.length
  await pass(made, 6000)
  const heads = lost.map(each => each.head)
  t.deepEqual(made.given.slice(before).filter(each => heads.includes(each.node) && each.loads && each.model === 'small').map(each => [each.kind, each.node]), [])
  t.is(made.serving.small, 6)
  t.deepEqual(made.broken, [])
  forming.stop()
})
