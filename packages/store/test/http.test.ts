/** What a failed write to the object API means: not done, or perhaps done. */
import test from 'ava'
import { MockAgent } from 'undici'
import { ManualClock } from '@eiderwind/clock'
import { EntryList } from '@eiderwind/schema'
import { HttpStore } from '../src/index.js'

const url = 'http://platform.example'

/** Writes an object while the connection fails with an error. Returns the code of the fault. */
async function codeAfter (failure: object): Promise<string | undefined> {
  const dispatcher = new MockAgent()
  dispatcher.disableNetConnect()
  dispatcher.get(url).intercept({ path: '/objects/a', method: 'PUT' }).replyWithError(Object.assign(new Error('failed'), failure))
  const store = new HttpStore({ clock: new ManualClock(), url, dispatcher })
  const result = await store.write('a', {}, 1)
  await dispatcher.close()
  return result.isErr() ? result.error.code : undefined
}

// Guards against a write that was done and is reported as not done, after a route is lost on an established connection.
for (const code of ['EHOSTUNREACH', 'ENETUNREACH', 'ECONNREFUSED']) {
  test(`a write whose established connection fails with ${code} may have been done`, async t => {
    t.is(await codeAfter({ code, syscall: 'read' }), 'store-unknown')
    t.is(await codeAfter({ code, syscall: 'write' }), 'store-unknown')
  })

  test(`a write whose connection cannot be established because of ${code} was not done`, async t => {
    t.is(await codeAfter({ code, syscall: 'connect' }), 'store-down')
  })
}

test('a write whose connection is not established in time was not done', async t => {
  t.is(await codeAfter({ code: 'UND_ERR_CONNECT_TIMEOUT' }), 'store-down')
})

test('a write to a host of which no address can be reached was not done', async t => {
  const errors = ['192.0.2.1', '192.0.2.2'].map(address => Object.assign(new Error(address), { code: 'ECONNREFUSED', syscall: 'connect' }))
  t.is(await codeAfter({ code: 'ECONNREFUSED', errors }), 'store-down')
})

function node (id: string, address: string): object {
  return { id, domain: 'd', dataCentre: 'dc', region: 'r', address, accelerators: 1, state: 'live' }
}

// Guards against: one odd node costs all others of the list, or is called at an address that is none.
test('a node that is not valid is left out of the list and reported once, and the others are read', async t => {
  for (const odd of [node('odd', 'host:99999'), { ...node('odd', 'a:1'), accelerators: 'many' }, null]) {
    const dispatcher = new MockAgent()
    dispatcher.disableNetConnect()
    const list = [node('a', 'a:1'), odd, node('b', 'b:1')]
    dispatcher.get(url).intercept({ path: '/nodes', method: 'GET' }).reply(200, JSON.stringify(list)).times(2)
    const reasons: string[] = []
    const store = new HttpStore({ clock: new ManualClock(), url, dispatcher, invalid: reason => reasons.push(reason) })
    for (let count = 0; count < 2; count++) t.deepEqual((await store.nodes()).unwrap().map(each => each.id), ['a', 'b'])
    t.is(reasons.length, 1)
    await dispatcher.close()
  }
})

// Guards against: one odd entry in the stored list keeps the other entries of its data centre from registering.
test('an entry whose address is none is left out of the stored list', t => {
  const entry = (id: string, peer: string): object => ({ id, dataCentre: 'dc', region: 'r', peer })
  const { entries } = EntryList.parse({ dataCentre: 'dc', entries: [entry('a', 'a:1'), entry('odd', 'x y'), 4, entry('b', 'b:1')] })
  t.deepEqual(entries.map(each => each.id), ['a', 'b'])
})
