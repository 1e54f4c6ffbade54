/**
 * A network between gateways that can be cut. Each gateway reaches the store through a proxy of its own, which names
 * proxies in place of the addresses of the other gateways. The proxies carry datagrams and connections, and drop all of
 * them while a pair of gateways is cut.
 */
import { createSocket } from 'node:dgram'
import { createServer as createHttpServer, request as httpRequest } from 'node:http'
import { connect, createServer } from 'node:net'
import { freePorts } from '../../platform/dist/test/standins/ports.js'

/** One way between two gateways: the address that `from` has for `to`. */
class Way {
  constructor (port) {
    this.port = port
    this.address = `127.0.0.1:${port}`
    this.isCut = false
    this.sockets = new Set()
  }

  /** @param target the port of the gateway that is reached @param back the way in the other direction */
  async start (target, back) {
    this.datagrams = createSocket('udp4')
    this.datagrams.on('error', () => {})
    this.datagrams.on('message', message => { if (!this.isCut) back.datagrams.send(message, target, '127.0.0.1', () => {}) })
    await new Promise(resolve => this.datagrams.bind(this.port, '127.0.0.1', resolve))
    this.server = createServer(near => {
      // A connection through a cut hangs.
      const far = connect(target, '127.0.0.1')
      for (const [one, other] of [[near, far], [far, near]]) {
        this.sockets.add(one)
        one.on('error', () => {})
        one.on('data', chunk => { if (!this.isCut) other.write(chunk) })
        one.on('close', () => {
          this.sockets.delete(one)
          other.destroy()
        })
      }
    })
    await new Promise(resolve => this.server.listen(this.port, '127.0.0.1', resolve))
  }

  cut (isCut) {
    // Bytes that the cut has dropped are missing in the open connections.
    if (this.isCut && !isCut) for (const each of this.sockets) each.resetAndDestroy()
    this.isCut = isCut
  }

  stop () {
    this.datagrams?.close()
    this.server?.close()
    for (const each of this.sockets) each.destroy()
  }
}

/** The ways between gateways, by their ids, and the proxies of the store. */
export class Partition {
  #ways = new Map()
  #servers = []
  #peerPorts = new Map()

  /** Adds a gateway that listens for others on a port. Returns the address at which it reaches the store. */
  async add (id, peerPort, storePort) {
    for (const [other, otherPort] of this.#peerPorts) {
      const [there, back] = (await freePorts(2)).map(port => new Way(port))
      this.#ways.set(`${id} ${other}`, there)
      this.#ways.set(`${other} ${id}`, back)
      await there.start(otherPort, back)
      await back.start(peerPort, there)
    }
    this.#peerPorts.set(id, peerPort)
    return await this.#proxyStore(id, storePort)
  }

  /** Cuts a gateway off from all others, or ends that. */
  isolate (id, isCut) {
    for (const [pair, way] of this.#ways) if (pair.split(' ').includes(id)) way.cut(isCut)
  }

  stop () {
    for (const each of this.#ways.values()) each.stop()
    for (const each of this.#servers) {
      each.close()
      each.closeAllConnections()
    }
  }

  async #proxyStore (id, storePort) {
    const server = createHttpServer((incoming, response) => {
      const outgoing = httpRequest({ host: '127.0.0.1', port: storePort, method: incoming.method, path: incoming.url, headers: incoming.headers }, answer => {
        const chunks = []
        answer.on('data', chunk => chunks.push(chunk))
        answer.on('error', () => response.destroy())
        answer.on('end', () => {
          const body = incoming.method === 'GET' ? this.#rewrite(id, Buffer.concat(chunks).toString()) : Buffer.concat(chunks).toString()
          response.writeHead(answer.statusCode, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body) })
          response.end(body)
        })
      })
      outgoing.on('error', () => response.destroy())
      response.on('close', () => outgoing.destroy())
      incoming.pipe(outgoing)
    })
    this.#servers.push(server)
    await new Promise(resolve => server.listen(0, '127.0.0.1', resolve))
    return `127.0.0.1:${server.address().port}`
  }

  /** Names the ways of a gateway in place of the addresses of the others. */
  #rewrite (id, text) {
    for (const [other, port] of this.#peerPorts) {
      const way = this.#ways.get(`${id} ${other}`)
      if (way !== undefined) text = text.replaceAll(`"127.0.0.1:${port}"`, `"${way.address}"`)
    }
    return text
  }
}
