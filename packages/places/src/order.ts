/**
 * Which of the requests that wait is served next: by priority, among equals the earliest. Pure but for `TeamUsage`, which owns what teams were served lately.
 */

/** A request that waits for room. Times are on `Clock.now`, in ms. */
export interface Waiting {
  /** 0 is the most urgent. */
  readonly priority: number
  /** Empty where callers need no key. */
  readonly team: string
  /** In units of the mean request of its service; 1 where it is not known. */
  readonly work: number
  readonly arrivedAt: number
  /** The latest start at which its first event still comes in time. */
  readonly inTimeUntil: number
  /** When it waits no longer. */
  readonly until: number
}

/** Time in which work served counts half, in ms. */
const halfLife = 10_000

/** Work served lately, by team; halves with time. */
export class TeamUsage {
  readonly #served = new Map<string, { readonly work: number, readonly at: number }>()

  served (team: string, work: number, now: number): void {
    this.#served.set(team, { work: this.of(team, now) + work, at: now })
  }

  of (team: string, now: number): number {
    const served = this.#served.get(team)
    return served === undefined ? 0 : served.work * 2 ** ((served.at - now) / halfLife)
  }
}

/** The one that gets the next place. Pure. */
export function nextServed<Each extends Waiting> (waiting: readonly Each[], _usage: TeamUsage, _now: number): Each | undefined {
  return waiting.reduce<Each | undefined>((best, each) => best === undefined || isBefore(each, best) ? each : best, undefined)
}

/** In how many ms a request that came now would be served, if `rate` places come free a second; Infinity if never within its time. Pure. */
export function expectedWait (request: Waiting, waiting: readonly Waiting[], _usage: TeamUsage, rate: number, now: number): number {
  const ahead = waiting.filter(each => each !== request && !isBefore(request, each)).length
  const wait = (ahead + 1) / rate * 1000
  return now + wait > request.until ? Infinity : wait
}

function isBefore (one: Waiting, other: Waiting): boolean {
  return one.priority < other.priority || (one.priority === other.priority && one.arrivedAt < other.arrivedAt)
}
