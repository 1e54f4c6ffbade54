/**
 * What a gateway does about requests that crash the upstreams that run them: it gathers whose attempts broke, finds out whether that was a crash,
 * reports it to the other gateways, takes their reports, and says which requests may be sent. Owns the history, the trials and the reports; relies on its
 * caller for each attempt's end, for heartbeats in both directions, and for a look whether a process still listens at an address.
 */
import { type Clock } from '@eiderwind/clock'
import { CrashHistory, type BlockedRequest, type Crash, type Standing } from './history.js'
import { Reports, type CrashReport } from './reports.js'
import { Trials, type Trial } from './trials.js'

/** What is asked of a request. The fingerprint is made when it is first read. */
export interface Identified {
  readonly fingerprint: string
}

/** An upstream, and where it answers. */
export interface UpstreamAddress {
  readonly id: string
  /** `host:port` */
  readonly address: string
}

/** What another gateway says in a heartbeat. */
export interface CrashNews {
  readonly crashes: readonly CrashReport[]
  /** Fingerprints of requests that have lately run to their end after a crash. */
  readonly cleared: readonly string[]
}

/** Dependencies of `Crashes`. */
export interface CrashesOptions {
  readonly clock: Clock
  /** Whether an upstream has certainly ended: a later life of it has begun. */
  readonly hasEnded: (upstream: string) => boolean
  /** Whether a process still listens at an address. */
  readonly listensAt: (address: string) => Promise<boolean>
  /** The trials of the other gateways: the request, by upstream. */
  readonly otherTrials: () => ReadonlyArray<Readonly<Record<string, string>>>
  /** Called when there is news that the other gateways should hear now. */
  readonly tell: () => void
  /** Called when requests that wait should look again. */
  readonly changed: () => void
  /** Called when an upstream has crashed, as seen here. */
  readonly crashed: (crash: Crash) => void
  /** Called when a request is blocked by a verdict given here, with the upstreams that crashed under it as far as they are known here. */
  readonly blocked: (request: string, upstreams: readonly string[]) => void
}

/** Time in which the attempts at a crashed upstream break, one connection after another, in ms. */
const gatherTime = 5

/** Requests that are known to be, or suspected of being, the cause of crashes. */
export class Crashes {
  readonly #options: CrashesOptions
  readonly #history: CrashHistory
  readonly #trials: Trials
  readonly #reports: Reports
  /** Requests whose attempts have broken and which are not reported yet, by upstream. */
  readonly #broken = new Map<string, Set<string>>()

  constructor (options: CrashesOptions) {
    const { clock, changed, blocked, tell, otherTrials } = options
    this.#options = options
    this.#history = new CrashHistory({ clock, changed, blocked })
    this.#trials = new Trials({ clock, others: otherTrials, begun: tell, over: changed })
    this.#reports = new Reports(clock)
  }

  /** What may be done with a request. Costs nothing while no upstream has crashed. */
  standing (request: Identified): Standing {
    return this.#history.isEmpty ? 'trusted' : this.#history.standing(request.fingerprint)
  }

  /** Whether a suspect may be sent now: there is a verdict on its last crash, and no gateway tries it elsewhere. */
  mayTry ({ fingerprint }: Identified): boolean {
    return !this.#history.isPending(fingerprint) && !this.#trials.has(fingerprint)
  }

  /** Upstreams at which a suspect is tried: another suspect must not join it, and any other request should not. */
  get underTrial (): ReadonlySet<string> {
    return this.#trials.upstreams
  }

  /** Time for which a request stays blocked, in ms. */
  blockedFor ({ fingerprint }: Identified): number {
    return this.#history.blockedFor(fingerprint)
  }

  /** Records that a suspect is sent to an upstream. */
  sent ({ fingerprint }: Identified, upstream: string): Trial {
    return this.#trials.begin(fingerprint, upstream)
  }

  /** Records that a request has run to its end. */
  served (request: Identified): void {
    if (this.#history.isEmpty || !this.#history.clear(request.fingerprint)) return
    this.#reports.cleared(request.fingerprint)
  }

  /** Records that the connection of a request to an upstream broke. */
  broke ({ fingerprint }: Identified, upstream: UpstreamAddress): void {
    const at = this.#options.clock.now()
    this.#history.suspect({ upstream: upstream.id, at, requests: [fingerprint] })
    const gathered = this.#broken.get(upstream.id)
    if (gathered !== undefined) {
      gathered.add(fingerprint)
      return
    }
    this.#broken.set(upstream.id, new Set([fingerprint]))
    this.#options.clock.after(gatherTime, () => this.#examine(upstream, at))
  }

  /** What the other gateways should hear. */
  get news (): CrashNews & { readonly trials: Readonly<Record<string, string>> } {
    return { crashes: this.#reports.crashes, cleared: this.#reports.clearances, trials: this.#trials.own }
  }

  /** Takes what another gateway says. */
  hear ({ crashes, cleared }: CrashNews): void {
    const now = this.#options.clock.now()
    for (const { upstream, age, requests } of crashes) this.#history.confirm({ upstream, at: now - age, requests })
    for (const request of cleared) this.#history.clear(request)
  }

  /** The blocked requests. */
  get blocked (): BlockedRequest[] {
    return this.#history.blocked
  }

  /** Takes blocked requests from another gateway or from the store. */
  block (blocked: readonly BlockedRequest[]): void {
    for (const { request, age } of blocked) this.#history.block(request, age)
  }

  /** Finds out whether an upstream whose connections broke has crashed: then nothing listens at its address, or its next life does. */
  #examine (upstream: UpstreamAddress, at: number): void {
    if (this.#options.hasEnded(upstream.id)) return this.#examined(upstream.id, at, false)
    this.#options.listensAt(upstream.address).then(listens => this.#examined(upstream.id, at, listens), () => this.#examined(upstream.id, at, false))
  }

  #examined (upstream: string, at: number, listens: boolean): void {
    const requests = [...this.#broken.get(upstream) ?? []]
    this.#broken.delete(upstream)
    if (listens && !this.#options.hasEnded(upstream)) return this.#history.withdraw(upstream)
    const crash = { upstream, at, requests }
    this.#history.confirm(crash)
    this.#reports.crashed(crash)
    this.#options.crashed(crash)
    this.#options.tell()
  }
}
