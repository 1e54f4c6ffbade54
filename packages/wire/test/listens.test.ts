import { createServer } from 'node:net'
import { SystemClock } from '@eiderwind/clock'
import test from 'ava'
import { listensAt } from '@eiderwind/wire'

test('an address is reported as listening while its server is open, and not after the server is closed', async t => {
  const server = createServer()
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  const address = `127.0.0.1:${(server.address() as { port: number }).port}`
  const clock = new SystemClock()
  t.true(await listensAt(address, clock, 1000))
  await new Promise(resolve => server.close(resolve))
  t.false(await listensAt(address, clock, 1000))
})
