/**
 * Finds out whether an upstream still serves as it did when a request was sent to it. The end of an answer without a
 * length is the end of its connection, which is the same if the upstream ends, or if its replica is closed and its
 * requests are cut. Owns the order counts of heads that close. Relies on the engine's own report, since the store's list
 * may lag behind it.
 */
import { type Clock } from '@eiderwind/clock'
import { type Crashes } from '@eiderwind/crashes'
import { type EngineReport, type InFlight, type Probes } from '@eiderwind/detect'
import { servesReplica, type Roster, type Upstream } from '@eiderwind/roster'

/** Dependencies of `isServing`. */
export interface ServingOptions {
  readonly crashes: Pick<Crashes, 'hasEnded'>
  readonly probes: Pick<Probes, 'report'>
  readonly roster: Pick<Roster, 'find'>
  /** The number of orders that a head had begun while it closed. Undefined if that is not known. */
  readonly ordersAtClosing: (upstream: Upstream) => number | undefined
}

/** How often a head that does not answer is asked for its report. It may be silent for more than a second and go on. */
const maxReports = 6

/**
 * Whether an upstream still serves, or has served the requests that it had to their ends.
 * @param upstream its record when the request was sent
 */
export async function isServing (upstream: Upstream, options: ServingOptions): Promise<boolean> {
  const { crashes, probes, roster } = options
  if (upstream.membership === undefined) return !await crashes.hasEnded(upstream)
  for (let count = 0; count < maxReports; count++) {
    const report = await probes.report(upstream)
    if (report !== undefined) return isServingBy(report, upstream, options)
    if (count === 0 && await crashes.hasEnded(upstream)) return false
  }
  return servesReplica(upstream, roster.find(upstream.id)) && !await crashes.hasEnded(upstream)
}

/**
 * Whether a head still serves a replica by its report, or has closed it as planned, which it does right after its last
 * request. An order that it has begun since it began to close may have cut its requests; only the one that opens the
 * replica again has not.
 */
function isServingBy (report: EngineReport, upstream: Upstream, { ordersAtClosing }: ServingOptions): boolean {
  const { membership, orderCount } = report
  const atClosing = ordersAtClosing(upstream)
  const isReopened = membership?.state === 'open' && atClosing !== undefined
  if (servesReplica(upstream, report) && !isReopened) return true
  const isSame = membership !== undefined && servesReplica(upstream, { membership: { ...membership, state: 'open' } })
  if (!isSame || atClosing === undefined) return false
  return isReopened ? orderCount === atClosing + 1 : membership.state === 'ready' && orderCount === atClosing
}

/** Dependencies of `Serving`. */
export interface ServingWatchOptions {
  readonly clock: Clock
  readonly crashes: Pick<Crashes, 'hasEnded'>
  readonly probes: Pick<Probes, 'report'>
  readonly roster: Pick<Roster, 'find' | 'listen'>
  readonly inFlight: Pick<InFlight, 'count'>
}

/**
 * How long the order count of a head that has closed counts after it is listed as open again, in ms: the answers that it
 * cut have ended by then, and few that it has begun since.
 */
const reopenTime = 100

/** The count of orders of a head that closes. */
interface Closing {
  readonly replica: string
  readonly epoch: number
  readonly orderCount: number
}

/** Judges upstreams that end answers without a length, and asks heads that begin to close for their order counts. */
export class Serving {
  readonly #options: ServingWatchOptions
  /** By upstream. */
  readonly #closings = new Map<string, Closing>()
  /** Services that send answers without a length. The heads of others are not asked. */
  readonly #services = new Set<string>()

  constructor (options: ServingWatchOptions) {
    this.#options = options
    options.roster.listen(changes => {
      this.#forget()
      for (const each of changes) if ('upstream' in each) this.#follow(each.upstream)
    })
  }

  /** Records that an upstream begins an answer without a length. Its head may already be closing. */
  recordUnframed ({ id, service }: Upstream): void {
    this.#services.add(service)
    const listed = this.#options.roster.find(id)
    if (listed !== undefined) this.#follow(listed)
  }

  /** See `isServing`. */
  async isServing (upstream: Upstream): Promise<boolean> {
    return await isServing(upstream, { ...this.#options, ordersAtClosing: each => this.#ordersAtClosing(each) })
  }

  #follow (upstream: Upstream): void {
    const { id, service, membership } = upstream
    const closing = this.#closings.get(id)
    if (closing !== undefined && membership?.state === 'open') this.#options.clock.after(reopenTime, () => { if (this.#closings.get(id) === closing) this.#closings.delete(id) })
    if (membership?.state !== 'closing' || !this.#services.has(service) || this.#options.inFlight.count(id) === 0) return
    // Without a report, the end of an answer at this head counts as a cut.
    if (closing === undefined) this.#record(upstream).catch(() => {})
  }

  /** Forgets heads that are no longer listed with the replica that closed. */
  #forget (): void {
    for (const [id, { replica, epoch }] of this.#closings) {
      const membership = this.#options.roster.find(id)?.membership
      if (membership?.replica !== replica || membership.epoch !== epoch) this.#closings.delete(id)
    }
  }

  async #record (upstream: Upstream): Promise<void> {
    const report = await this.#options.probes.report(upstream)
    const { membership, orderCount } = report ?? {}
    if (membership?.state !== 'closing' || orderCount === undefined || this.#options.roster.find(upstream.id) === undefined) return
    this.#closings.set(upstream.id, { replica: membership.replica, epoch: membership.epoch, orderCount })
  }

  #ordersAtClosing ({ id, membership }: Upstream): number | undefined {
    const closing = this.#closings.get(id)
    return closing !== undefined && closing.replica === membership?.replica && closing.epoch === membership.epoch ? closing.orderCount : undefined
  }
}
