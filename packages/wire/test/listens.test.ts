import { createServer } from 'node:net'
import { ManualClock, SystemClock } from '@eiderwind/clock'
import test from 'ava'
import { probeAddress } from '@eiderwind/wire'

test('an address is reported as listening while its server is open, and not after the server is closed', async t => {
  const server = createServer()
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  const address = `127.0.0.1:${(server.address() as { port: number }).port}`
  const clock = new SystemClock()
  t.is(await probeAddress(address, clock, 1000), 'listening')
  await new Promise(resolve => server.close(resolve))
  t.is(await probeAddress(address, clock, 1000), 'refused')
})

test('an address whose connections are not established in time is not reported as refused', async t => {
  const clock = new ManualClock()
  const state = probeAddress('127.0.0.1:9', clock, 1000)
  clock.advance(1000)
  t.is(await state, 'unknown')
})

// Guards against: the address of an upstream that is none ends the process that checks whether it still listens.
test('an address that cannot be called is not reported as refused', async t => {
  for (const address of ['127.0.0.1:99999', '[::', 'x y:80', '']) t.is(await probeAddress(address, new ManualClock(), 1000), 'unknown')
})
