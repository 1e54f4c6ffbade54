/** How objects that cannot be used are reported. */
import test from 'ava'
import { InvalidObjects } from '../src/invalidobjects.js'

// Guards against: a line for each heartbeat of an odd entry, and memory that grows with each odd entry.
test('each reason is reported once for each kind, and the reasons that are remembered stay bounded', t => {
  const reported: string[] = []
  const invalid = new InvalidObjects((kind, reason) => reported.push(`${kind}: ${reason}`))
  const [upstreams, gateways] = ['upstreams', 'gateways'].map(kind => invalid.reporterOf(kind))
  for (let count = 0; count < 3; count++) upstreams('a')
  gateways('a')
  t.deepEqual(reported, ['upstreams: a', 'gateways: a'])
  for (let index = 0; index < 5000; index++) {
    upstreams(`r${index}`)
    gateways('a')
  }
  t.is(reported.length, 5002)
  t.is(invalid.size, 1000)
})
