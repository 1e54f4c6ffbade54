/**
 * The parts of a gateway that take what other gateways send, on a manual clock and without a network: heartbeats, other
 * datagrams, and answers. The clock fails a test whose timer is none.
 */
import { Address } from '@eiderwind/address'
import { ManualClock, type Subscription, type Task } from '@eiderwind/clock'
import { InFlight, Suspects } from '@eiderwind/detect'
import { Availability, Choice, Queue } from '@eiderwind/dispatch'
import { Log } from '@eiderwind/log'
import { Datagrams, Peers, type Heartbeat, type Receiver } from '@eiderwind/peers'
import { Outage, Roster, type Upstream } from '@eiderwind/roster'
import { type Service } from '@eiderwind/traffic'
import { type Connections } from '@eiderwind/wire'
import { Blocks } from '../src/blocks.js'
import { Budgets } from '../src/budgets.js'
import { Conditions } from '../src/conditions.js'
import { CrashWatch } from '../src/crashwatch.js'
import { EvacuationController } from '../src/evacuationcontroller.js'
import { gatewayBoard } from '../src/facts.js'
import { Rooms } from '../src/rooms.js'
import { UpstreamLimits } from '../src/upstreamlimits.js'
import { UpstreamList } from '../src/upstreamlist.js'

/** The longest time that a timer of Node.js can wait, in ms. A timer for a longer one ends at once. */
const maxTimerDelay = 2 ** 31 - 1

/** Longest datagram that UDP over IPv4 carries, in bytes. */
export const maxDatagram = 65_507

/** A clock that records timers that no system clock could wait for. */
class CheckedClock extends ManualClock {
  readonly oddDelays: number[] = []

  override after (delay: number, task: Task): Subscription {
    if (!(delay <= maxTimerDelay)) this.oddDelays.push(delay)
    return super.after(delay, task)
  }
}

/** Datagrams in memory. */
class TestDatagrams extends Datagrams {
  readonly sent: Array<{ readonly message: string, readonly address: string }> = []
  receive: Receiver = () => {}

  async start (receive: Receiver): Promise<void> {
    this.receive = receive
  }

  send (message: string, address: string): void {
    this.sent.push({ message, address })
  }

  stop (): void {}
}

class NoBlocks extends Blocks {
  read (): void {}
  write (): void {}
  remove (): void {}
}

const engine: NonNullable<Service['engine']> = { slots: 2, models: [{ name: 'm', size: 1, share: 1, pace: 1, load: 1, warm: 1 }], step: 8, stepPerRequest: 0.1, readRate: 45_000, prompt: 900, answer: 130, loadRate: 3, loadsAtOnce: 6, formTime: 300 }
const services: Service[] = [{ name: 's', connections: 9, engine, coldRate: 9, coldTime: 1000 }, { name: 'p', connections: 9 }]

/** An engine that leads an open replica. */
export function head (id: string): Upstream {
  return { id, service: 's', address: `${id}:1`, dataCentre: 'dc', leaving: false, domain: 'd', loaded: ['m'], staged: [], membership: { replica: `r-${id}`, epoch: 1, rank: 0, state: 'open' } }
}

export function plain (id: string): Upstream {
  return { id, service: 'p', address: `${id}:1`, dataCentre: 'dc', leaving: false, loaded: [], staged: [] }
}

/** One gateway, `g-1`. */
export class OddGateway {
  readonly clock = new CheckedClock()
  readonly datagrams = new TestDatagrams()
  readonly outage = new Outage(this.clock)
  readonly roster = new Roster(this.clock, this.outage)
  readonly lines: string[] = []
  readonly invalid: string[] = []
  readonly peers: Peers
  readonly list: UpstreamList
  readonly crashWatch: CrashWatch
  readonly choice: Choice
  readonly #log = new Log({ sink: line => { this.lines.push(line) } })
  readonly #limits: UpstreamLimits
  readonly #conditions: Conditions
  readonly #evacuations: EvacuationController
  readonly #rooms: Rooms
  readonly #budgets: Budgets

  constructor () {
    const { clock, datagrams, roster, outage } = this
    const log = this.#log
    const id = 'g-1'
    const board = gatewayBoard()
    board.write('inForce', { traffic: { revision: 1, routes: [], services, limits: { header: 1, body: 1, headerTime: 1, idleTime: 1 } } } as unknown as NonNullable<ReturnType<typeof board.read<'inForce'>>>)
    const queue = new Queue(clock)
    const inFlight = new InFlight(clock, () => {})
    const suspects = new Suspects(clock, roster)
    const random = (): number => 0.5
    const peers = new Peers({ clock, id, address: 'g-1:1', datagrams, heartbeat: () => this.#heartbeat(), received: (heartbeat, { address }) => this.#receive(heartbeat, address), receivedOther: (datagram, from) => this.#receiveOther(datagram, from), interval: 250, timeout: 1000 })
    this.peers = peers
    this.list = new UpstreamList({ clock, log, board, roster, outage, maxAge: 1000 })
    const connections = { send: () => () => {} } as unknown as Connections
    this.crashWatch = new CrashWatch({ clock, log, id, roster, peers, connections, invalid: reason => { this.invalid.push(reason) }, blocks: new NoBlocks(), connectTime: 100, changed: () => {} })
    this.#limits = new UpstreamLimits({ clock, log, id, roster, peers, inFlight, queue, random, coldBound: { overshoot: 1.2, slack: 2 }, service: name => services.find(each => each.name === name) })
    this.#conditions = new Conditions({ clock, log, roster, inFlight, queue, announce: () => peers.send(), limited: (upstream, rate) => this.#limits.recordLimit(upstream, rate), cold: (upstream, remaining) => this.#limits.recordCold(upstream, remaining), rested: () => {} })
    const rests = this.#conditions.rests
    const availability = new Availability({ clock, rests, tokens: this.#limits.tokens })
    this.choice = new Choice({ roster, inFlight, peers, suspects, availability, dataCentre: 'dc', random })
    this.#evacuations = new EvacuationController({ clock, log, board, roster, inFlight, evacuationTime: 1000 })
    this.#rooms = new Rooms({ clock, log, id, dataCentre: 'dc', roster, peers, inFlight, rests, queue, choice: this.choice, availability, engine: service => service === 's' ? engine : undefined, random })
    this.#budgets = new Budgets({ clock, log, id, board, peers, random, settings: { isFirstStart: false, retryRatio: 0.1, retrySlack: 10, retryWindow: 10_000 } })
    roster.replace([head('h-1'), head('h-2'), plain('p-1')])
    peers.setAddresses([{ id: 'g-2', address: 'g-2:1' }, { id: 'g-3', address: 'g-3:1' }])
  }

  async start (): Promise<void> {
    await this.peers.start()
    this.#rooms.start()
    this.#evacuations.start()
  }

  stop (): void {
    this.peers.stop()
    this.#rooms.stop()
    this.#evacuations.stop()
  }

  /** Takes a datagram, then chooses upstreams and sends heartbeats as a gateway does. */
  receive (text: string, from: string): void {
    this.datagrams.receive(Buffer.from(text), from)
    this.choice.plain('p', new Set())
    this.choice.head('s', 'm', engine, new Set())
    this.clock.advance(300)
  }

  /** What is wrong: timers that no clock waits for, addresses that are none, and messages that cannot be sent. */
  get faults (): string[] {
    const delays = this.clock.oddDelays.map(each => `a timer of ${each} ms`)
    const addresses = this.roster.upstreams.map(each => each.address).filter(each => !Address.safeParse(each).success).map(each => `address ${each.slice(0, 99)}`)
    const long = this.datagrams.sent.filter(({ message }) => Buffer.byteLength(message) > maxDatagram).map(({ message }) => `a datagram of ${message.length} characters`)
    return [...delays, ...addresses, ...long].slice(0, 3)
  }

  #heartbeat (): Heartbeat {
    return { id: 'g-1', revision: 1, canPlan: true, inFlight: {}, suspects: [], offeredByModel: {}, served: true, loads: {}, ...this.crashWatch.heartbeatFields, ...this.#conditions.heartbeatFields, ...this.#limits.heartbeatFields, ...this.#evacuations.heartbeatFields, ...this.#rooms.heartbeatFields }
  }

  #receive (heartbeat: Heartbeat, address: string): void {
    this.crashWatch.receiveHeartbeat(heartbeat, { id: heartbeat.id, address })
    this.#conditions.receiveHeartbeat(heartbeat)
    this.#limits.receiveHeartbeat(heartbeat)
    this.#evacuations.receiveHeartbeat(heartbeat)
    this.#rooms.receiveHeartbeat(heartbeat, { id: heartbeat.id, address })
  }

  #receiveOther (datagram: Buffer, from: string): void {
    if (this.#rooms.receive(datagram, from) || this.#budgets.receive(datagram, from)) return
    this.#limits.receive(datagram, from)
  }
}
