/**
 * The plan that the planner makes for one domain: repairs, upgrades, retirements, and the rules that hold for every
 * plan.
 */
import test from 'ava'
import fc from 'fast-check'
import { type ModelService, type Node, type Placement } from '@eiderwind/schema'
import { RepairingPlanner, emptyPlacement, type Facts, type Health, type NodeFact } from '../src/index.js'
import { disjoint } from './disjoint.js'

const seed = 20261205
const restartTime = 30_000

function service (more: Partial<ModelService> = {}): ModelService {
  return { kind: 'model', name: 'm', replicas: 1, members: 2, version: 'v1', adapters: [], checksOrders: true, concurrency: 1, queue: 1, ...more }
}

function fact (id: string, health: Health = 'live', more: Partial<NodeFact> = {}): NodeFact {
  const node: Node = { id, domain: 'd', dataCentre: 'dc', region: 'r', address: 'a:1', accelerators: 4, state: 'live' }
  return { node, health, lostFor: 0, loaded: undefined, ...more }
}

function facts (nodes: readonly NodeFact[], placement: Placement, more: Partial<Facts> = {}): Facts {
  return { services: [service()], nodes, placements: [placement], serving: new Set(placement.replicas.map(each => each.id)), ...more }
}

/** The placement after a planner has formed the wanted replicas on live nodes. */
function formed (ids: readonly string[], more: Partial<ModelService> = {}): Placement {
  return new RepairingPlanner({ restartTime }).plan('d', facts(ids.map(id => fact(id)), emptyPlacement('d'), { services: [service(more)] })).placement
}

test('a lost node is replaced by a spare, and the other members stay, under a new generation', t => {
  const before = formed(['a', 'b', 'c', 'e'])
  const [lost, remaining] = before.replicas[0].members
  const nodes = ['a', 'b', 'c', 'e'].map(id => fact(id, id === lost ? 'lost' : 'live'))
  const { placement, steps } = new RepairingPlanner({ restartTime }).plan('d', facts(nodes, before))
  t.is(steps[0].action, 'repair')
  t.is(placement.replicas[0].members[0], remaining)
  t.false(placement.replicas[0].members.includes(lost))
  t.true(placement.replicas[0].generation > before.replicas[0].generation)
  t.is(placement.revision, before.revision + 1)
})

test('a spare that has loaded the version is preferred to other spares', t => {
  const before = formed(['a', 'b'])
  const nodes = [fact('a', 'lost'), fact('b'), fact('c'), fact('e', 'live', { loaded: 'v1' }), fact('f')]
  t.true(new RepairingPlanner({ restartTime }).plan('d', facts(nodes, before)).placement.replicas[0].members.includes('e'))
})

test('without a spare, a broken replica whose own node is lost for longer than a restart is dissolved to repair another', t => {
  const before = formed(['a', 'b', 'c', 'e'], { replicas: 2 })
  const lost = new Set(before.replicas.map(each => each.members[0]))
  const plan = (lostFor: number) => {
    const nodes = ['a', 'b', 'c', 'e'].map(id => fact(id, lost.has(id) ? 'lost' : 'live', { lostFor }))
    return new RepairingPlanner({ restartTime }).plan('d', facts(nodes, before, { services: [service({ replicas: 2 })], serving: new Set() }))
  }
  t.deepEqual(plan(restartTime - 1).steps, [])
  t.deepEqual(plan(restartTime + 1).steps.map(each => each.action), ['dissolve', 'repair'])
})

test('a new version is rolled out to one replica at a time, and only while the others serve', t => {
  const before = formed(['a', 'b', 'c', 'e'], { replicas: 2 })
  const nodes = ['a', 'b', 'c', 'e'].map(id => fact(id))
  const wanted = { services: [service({ replicas: 2, version: 'v2' })] }
  const first = new RepairingPlanner({ restartTime }).plan('d', facts(nodes, before, wanted))
  t.deepEqual(first.steps.map(each => each.action), ['upgrade'])
  const upgraded = first.steps[0].replica
  const waiting = new Set(before.replicas.map(each => each.id).filter(id => id !== upgraded))
  t.deepEqual(new RepairingPlanner({ restartTime }).plan('d', facts(nodes, first.placement, { ...wanted, serving: waiting })).steps, [])
  t.deepEqual(new RepairingPlanner({ restartTime }).plan('d', facts(nodes, first.placement, wanted)).steps.map(each => each.action), ['upgrade'])
})

test('replicas above the wanted number are retired, and so are those of a dropped service', t => {
  const before = formed(['a', 'b', 'c', 'e'], { replicas: 2 })
  const nodes = ['a', 'b', 'c', 'e'].map(id => fact(id))
  t.is(new RepairingPlanner({ restartTime }).plan('d', facts(nodes, before)).placement.replicas.length, 1)
  t.is(new RepairingPlanner({ restartTime }).plan('d', facts(nodes, before, { services: [] })).placement.replicas.length, 0)
})

test('two planners with the same facts make the same plan', t => {
  const nodes = ['a', 'b', 'c', 'e', 'f'].map(id => fact(id))
  const plan = (order: readonly NodeFact[]) => new RepairingPlanner({ restartTime }).plan('d', facts(order, emptyPlacement('d')))
  t.deepEqual(plan(nodes), plan([...nodes].reverse()))
})

test('over random histories, no node is in two replicas and the generation never falls', t => {
  const planner = new RepairingPlanner({ restartTime })
  const health = fc.constantFrom<Health>('live', 'live', 'live', 'leaving', 'lost', 'unheard')
  const round = fc.record({ healths: fc.array(health, { minLength: 9, maxLength: 9 }), replicas: fc.nat(5), version: fc.constantFrom('v1', 'v2'), lostFor: fc.constantFrom(0, 2 * restartTime) })
  fc.assert(fc.property(fc.array(round, { maxLength: 12 }), rounds => {
    let placement = emptyPlacement('d')
    for (const { healths, replicas, version, lostFor } of rounds) {
      const nodes = healths.map((each, index) => fact(`n${index}`, each, { lostFor }))
      const after = planner.plan('d', facts(nodes, placement, { services: [service({ replicas, version })] })).placement
      if (!disjoint(after) || after.generation < placement.generation) return false
      placement = after
    }
    return true
  }), { seed, numRuns: 300 })
  t.pass()
})
