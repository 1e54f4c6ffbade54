/** Routes are found by host and longest prefix, teams by key, and services are picked by weight. */
import test from 'ava'
import { RouteTable, TeamTable, keyDigest, pickShare, type Route } from '../src/index.js'

function route (name: string, host: string, prefix: string): Route {
  return {
    name, host, prefix, kind: 'repeatable', resumable: false, timeout: 1000, objective: 100, gap: 100, priority: 1, attempts: 2, open: false, shares: [{ service: 's', weight: 1 }]
  }
}

const table = new RouteTable([route('root', 'a.example', '/'), route('x', 'a.example', '/x/'), route('xy', 'a.example', '/x/y/'), route('other', 'b.example', '/x/')])

for (const [host, target, expected] of [
  ['a.example', '/x/y/z', 'xy'],
  ['a.example', '/x/y/', 'xy'],
  ['a.example', '/x/y', 'x'],
  ['a.example', '/x/yy/z?to=/x/y/', 'x'],
  ['a.example', '/xx', 'root'],
  ['A.Example:8080', '/x/1', 'x'],
  ['b.example', '/x/y/z', 'other'],
  ['b.example', '/y', undefined],
  ['c.example', '/x/', undefined]
] as const) {
  test(`the route of ${host}${target} is ${expected ?? 'undefined'}`, t => {
    t.is(table.find(host, target)?.name, expected)
  })
}

test('a key belongs to the team whose configuration contains its digest', t => {
  const teams = new TeamTable([{ name: 'one', keys: [keyDigest('k1'), keyDigest('k2')] }, { name: 'two', keys: [keyDigest('k3')] }])
  t.is(teams.find('k2')?.name, 'one')
  t.is(teams.find('k3')?.name, 'two')
  t.is(teams.find(''), undefined)
  t.is(teams.find(keyDigest('k1')), undefined)
})

test('requests are split between services in proportion to their weights', t => {
  const shares = [{ service: 'a', weight: 90 }, { service: 'b', weight: 0 }, { service: 'c', weight: 10 }]
  const draws = Array.from({ length: 1000 }, (_each, index) => pickShare(shares, index / 1000))
  t.is(draws.filter(each => each === 'a').length, 900)
  t.is(draws.filter(each => each === 'b').length, 0)
  t.is(draws.filter(each => each === 'c').length, 100)
})
