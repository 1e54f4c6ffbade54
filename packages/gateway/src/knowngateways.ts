/**
 * The gateways that may be running, as far as this one knows: those from which something was heard or that entered or
 * left the list of gateways lately. A gateway that is silent or no longer listed may only be cut off, so it counts for
 * a while. Owns the time of the last sign of each. Relies on the list of gateways in the store and on heartbeats.
 */
import { type Clock } from '@eiderwind/clock'
import { type Peers } from '@eiderwind/peers'

/** How long a gateway counts after its last sign, in ms: longer than most partitions last. */
const retention = 15 * 60_000

/** Minimum time between two updates, in ms. The number is read with each request. */
const updateInterval = 250

interface KnownGateway {
  /** Its last heartbeat, or when it entered or left the list, on `Clock.now`. */
  at: number
  isListed: boolean
}

/** The other gateways that may be running. */
export class KnownGateways {
  readonly #clock: Clock
  readonly #peers: Pick<Peers, 'addresses' | 'live'>
  readonly #known = new Map<string, KnownGateway>()
  #updatedAt = -Infinity
  #ids: readonly string[] = []

  constructor (clock: Clock, peers: Pick<Peers, 'addresses' | 'live'>) {
    this.#clock = clock
    this.#peers = peers
  }

  /** Their ids, without this gateway's. The same array as before if they have not changed. */
  get ids (): readonly string[] {
    const now = this.#clock.now()
    if (now - this.#updatedAt >= updateInterval) this.#update(now)
    return this.#ids
  }

  #update (now: number): void {
    this.#updatedAt = now
    const listed = new Set(this.#peers.addresses.map(each => each.id))
    for (const id of listed) if (!this.#known.has(id)) this.#known.set(id, { at: now, isListed: false })
    for (const { id } of this.#peers.live) this.#known.set(id, { at: now, isListed: this.#known.get(id)?.isListed ?? false })
    for (const [id, gateway] of this.#known) {
      if (gateway.isListed !== listed.has(id)) gateway.at = now
      gateway.isListed = listed.has(id)
      if (!gateway.isListed && now - gateway.at > retention) this.#known.delete(id)
    }
    const ids = [...this.#known].filter(([, { at }]) => now - at <= retention).map(([id]) => id)
    if (ids.length !== this.#ids.length || ids.some((id, index) => id !== this.#ids[index])) this.#ids = ids
  }
}
