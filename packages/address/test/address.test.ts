/** Which texts are addresses. Each of the others made a URL, a socket or a datagram throw, or named another host. */
import { createSocket } from 'node:dgram'
import { connect } from 'node:net'
import test from 'ava'
import * as fc from 'fast-check'
import { Address, ListenAddress, splitAddress } from '../src/index.js'

const valid = ['127.0.0.1:7000', '10.0.0.1:1', 'worker-1.site:65535', 'a:1', 'A.Example:80', 'host_1:80', `${'a'.repeat(63)}.b:80`]

const invalid = ['127.0.0.1:99999', '127.0.0.1:65536', 'host:0', 'host', ':80', 'host:', 'host:80a', 'host:-1', 'host:8 0', 'a%zz<>:8080', '\\\\:80', '[::1:80:8080', '[::1]:80', 'ho?st#x:80', 'x y:80', '[::', 'a/b:80', 'a@b:80', '1.2.3.4.5:80', '999.1.1.1:80', '1.2:80', '0x7f.0.0.1:80', '01.2.3.4:80', 'host:80\n', '\nhost:80', 'h\u0000st:80', 'höst:80', `${'a'.repeat(254)}:80`, '-a:80', 'a-:80', '.:80', '']

for (const text of valid) test(`an address: ${text}`, t => t.true(Address.safeParse(text).success && ListenAddress.safeParse(text).success))

for (const text of invalid) test(`no address: ${JSON.stringify(text)}`, t => t.false(Address.safeParse(text).success))

test('a process may listen on port 0', t => {
  t.true(ListenAddress.safeParse('127.0.0.1:0').success)
  t.false(ListenAddress.safeParse('127.0.0.1:65536').success)
})

test('an address has a host and a port', t => t.deepEqual(splitAddress('worker-1.site:80'), { host: 'worker-1.site', port: 80 }))

// Guards against: a text that is taken for an address and ends the process where it is called.
test('whatever is an address, a URL and sockets accept', t => {
  const socket = createSocket('udp4').on('error', () => {})
  const host = fc.oneof(fc.domain(), fc.ipV4(), fc.ipV6(), fc.string({ maxLength: 20 }), fc.constantFrom(...invalid))
  const port = fc.oneof(fc.integer({ min: -1, max: 70_000 }).map(String), fc.string({ maxLength: 6 }))
  t.notThrows(() => fc.assert(fc.property(host, port, (host, port) => {
    const text = `${host}:${port}`
    if (!Address.safeParse(text).success) return
    const parts = splitAddress(text)
    if (new URL(`http://${text}`).hostname !== parts.host.toLowerCase()) throw new Error(text)
    // Without a name to look up: only the checks of the port and the host run.
    connect({ ...parts, host: '127.0.0.1' }).on('error', () => {}).destroy()
    socket.send('', parts.port, '127.0.0.1', () => {})
  }), { numRuns: 300, seed: 74 }))
  socket.close()
})
