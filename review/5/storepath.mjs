/**
 * The path of one gateway to the store, as a process of its own that carries bytes. A partition stops the process: bytes
 * wait, and new connections get no answer, since the queue of those that wait to be accepted is full.
 * Arguments: the port to listen on, the store's port.
 */
import { connect, createServer } from 'node:net'

const [port, target] = process.argv.slice(2).map(Number)

createServer(near => {
  const far = connect(target, '127.0.0.1')
  for (const [one, other] of [[near, far], [far, near]]) {
    one.on('error', () => {})
    one.on('data', chunk => other.write(chunk))
    one.on('close', () => other.destroy())
  }
}).listen({ port, host: '127.0.0.1', backlog: 16 }, () => console.log('listening'))
