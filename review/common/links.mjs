/**
 * The links of a small deployment: each gateway has an own path to the store, to each worker and to each other gateway,
 * and each path can be cut alone. A gateway learns the addresses of these paths through its path to the store, which
 * puts them in place of the real ones and back; so do the paths between gateways in what they carry. All addresses have
 * the same length, so the lengths of messages stay as they are.
 */
import { createSocket } from 'node:dgram'
import { createServer as createHttpServer, request as httpRequest } from 'node:http'
import { connect, createServer } from 'node:net'
import { freePorts } from '../../platform/dist/test/standins/ports.js'

const quoted = /"127\.0\.0\.1:\d{5}"/g

/** A path of one gateway to one address. */
class Path {
  #sockets = new Set()

  constructor (port, target) {
    this.port = port
    this.target = target
    this.isCut = false
    this.rewrite = undefined
  }

  get address () {
    return `127.0.0.1:${this.port}`
  }

  async start () {
    this.server = createServer(near => {
      // A connection through a cut hangs.
      const far = connect(Number(this.target.split(':')[1]), '127.0.0.1')
      this.#pump(near, far, this.rewrite?.there)
      this.#pump(far, near, this.rewrite?.back)
    })
    await new Promise(resolve => this.server.listen(this.port, '127.0.0.1', resolve))
  }

  #pump (from, to, rewrite) {
    this.#sockets.add(from)
    from.on('error', () => {})
    from.on('data', chunk => {
      if (this.isCut) return
      to.write(rewrite === undefined ? chunk : Buffer.from(rewrite(chunk.toString('latin1')), 'latin1'))
    })
    from.on('end', () => { if (!this.isCut) to.end() })
    from.on('close', () => {
      this.#sockets.delete(from)
      if (!this.isCut) to.destroy()
    })
  }

  /** Cuts the path silently, or ends that: bytes that the cut has dropped are missing in the open connections. */
  cut (isCut) {
    if (this.isCut && !isCut) for (const each of this.#sockets) each.resetAndDestroy()
    this.isCut = isCut
  }

  stop () {
    this.server.close()
    this.datagrams?.close()
    for (const each of this.#sockets) each.destroy()
  }
}

/** All links of a deployment. */
export class Links {
  #paths = new Map()
  #targets = new Map()
  #gateways = new Map()
  #servers = []
  /** Ids of the gateways whose path to the store is cut. */
  storeCuts = new Set()

  /** Adds a gateway. Returns the address at which it reaches the store. */
  async add (id, peerPort, storePort) {
    const own = `127.0.0.1:${peerPort}`
    for (const [other, otherAddress] of this.#gateways) {
      const there = await this.#path(id, otherAddress)
      const back = await this.#path(other, own)
      for (const [path, opposite, from, to] of [[there, back, id, other], [back, there, other, id]]) {
        path.rewrite = { there: text => this.#translate(from, to, text), back: text => this.#translate(to, from, text) }
        path.datagrams = createSocket('udp4')
        path.datagrams.on('error', () => {})
        const port = Number(path.target.split(':')[1])
        path.datagrams.on('message', message => { if (!path.isCut) opposite.datagrams.send(message, port, '127.0.0.1', () => {}) })
        await new Promise(resolve => path.datagrams.bind(path.port, '127.0.0.1', resolve))
      }
    }
    this.#gateways.set(id, own)
    return await this.#startStorePath(id, own, storePort)
  }

  /** Cuts the path from a gateway to a worker's address, or ends that. */
  async cutWorker (id, address, isCut) {
    (await this.#path(id, address)).cut(isCut)
  }

  /** Cuts a gateway off from another one in both directions, or ends that. */
  async cutPeer (id, other, isCut) {
    for (const [from, to] of [[id, other], [other, id]]) (await this.#path(from, this.#gateways.get(to))).cut(isCut)
  }

  stop () {
    for (const each of this.#paths.values()) each.stop()
    for (const each of this.#servers) {
      each.close()
      each.closeAllConnections()
    }
  }

  async #path (id, target) {
    const key = `${id} ${target}`
    const known = this.#paths.get(key)
    if (known !== undefined) return await known.started
    const path = new Path((await freePorts(1))[0], target)
    const again = this.#paths.get(key)
    if (again !== undefined) return await again.started
    this.#paths.set(key, path)
    this.#targets.set(path.address, target)
    path.started = path.start().then(() => path)
    return await path.started
  }

  /** Puts the addresses that a gateway has in place of the real ones. */
  async #toOwn (id, own, text) {
    for (const each of new Set(text.match(quoted) ?? [])) {
      const address = each.slice(1, -1)
      if (address !== own) text = text.replaceAll(each, `"${(await this.#path(id, address)).address}"`)
    }
    return text
  }

  /** Puts the real addresses in place of those of any gateway. */
  #toReal (text) {
    return text.replace(quoted, each => `"${this.#targets.get(each.slice(1, -1)) ?? each.slice(1, -1)}"`)
  }

  #translate (from, to, text) {
    return text.replace(quoted, each => {
      const target = this.#targets.get(each.slice(1, -1))
      const path = target === undefined ? undefined : this.#paths.get(`${to} ${target}`)
      return path === undefined ? each : `"${path.address}"`
    })
  }

  async #startStorePath (id, own, storePort) {
    const server = createHttpServer((incoming, response) => {
      if (this.storeCuts.has(id)) return
      const chunks = []
      incoming.on('data', chunk => chunks.push(chunk))
      incoming.on('end', () => {
        const outgoing = httpRequest({ host: '127.0.0.1', port: storePort, method: incoming.method, path: incoming.url, headers: incoming.headers }, answer => {
          const parts = []
          answer.on('data', part => parts.push(part))
          answer.on('error', () => response.destroy())
          answer.on('end', async () => {
            const body = await this.#toOwn(id, own, Buffer.concat(parts).toString())
            if (this.storeCuts.has(id)) return
            response.writeHead(answer.statusCode, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body) })
            response.end(body)
          })
        })
        outgoing.on('error', () => response.destroy())
        response.on('close', () => outgoing.destroy())
        outgoing.end(this.#toReal(Buffer.concat(chunks).toString()))
      })
    })
    server.keepAliveTimeout = 20_000
    this.#servers.push(server)
    await new Promise(resolve => server.listen(0, '127.0.0.1', resolve))
    return `127.0.0.1:${server.address().port}`
  }
}
