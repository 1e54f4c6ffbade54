/**
 * Which entry talks to which, which two a worker reports to, and which one acts on a subject. Pure functions of the entries
 * believed live, by rendezvous hashing. docs/design/spread.md has the rule, its cost at size and what was dropped.
 */
import { ranked } from '@eiderwind/hash'
import { type EntryAddress } from '@eiderwind/schema'

/** The entries to which one entry passes on what it hears. */
export interface Duties {
  /** The entries of its own data centre. */
  readonly near: readonly EntryAddress[]
  /** The other data centres that it is responsible for. */
  readonly far: readonly FarDuty[]
}

/** One other data centre that an entry is responsible for. */
export interface FarDuty {
  readonly dataCentre: string
  /** Its entries, in the order in which they are tried. */
  readonly counterparts: readonly EntryAddress[]
}

/** How many entries of a data centre keep a watch on a subject. Two, so that one may be gone. */
const watching = 2

/** How many entries a worker reports to. */
const reportedTo = 2

/**
 * The duties of `self` among the entries believed live. Within a data centre each entry talks to each other one; between
 * two data centres only one responsible entry talks, chosen by rendezvous hashing. So an entry talks with its own
 * data centre and with a few others, never with all. The responsible entry is one of those believed live, so that
 * another takes over some seconds after it is gone.
 */
export function duties (self: EntryAddress, entries: readonly EntryAddress[]): Duties {
  const own = entries.filter(each => each.dataCentre === self.dataCentre)
  const near = own.filter(each => each.id !== self.id)
  const names = [...new Set([self.id, ...own.map(each => each.id)])]
  const others = [...new Set(entries.map(each => each.dataCentre))].filter(each => each !== self.dataCentre)
  const mine = others.filter(other => ranked(`${self.dataCentre}>${other}`, names)[0] === self.id)
  const far = mine.map(dataCentre => ({ dataCentre, counterparts: counterparts(self.dataCentre, dataCentre, entries) }))
  return { near, far }
}

/** The entries that a worker reports to: of its own data centre where there are any. */
export function reportTargets (worker: string, dataCentre: string, entries: readonly EntryAddress[]): EntryAddress[] {
  const own = entries.filter(each => each.dataCentre === dataCentre)
  return pick(worker, own.length > 0 ? own : entries, reportedTo)
}

/** The entry that acts on `subject` among those believed live. Two that believe differently may both act; that is only waste. */
export function actor (subject: string, entries: readonly EntryAddress[]): EntryAddress | undefined {
  return pick(subject, entries, 1)[0]
}

/** The entries of a data centre that keep a watch on `subject` at the platform. */
export function watchers (subject: string, entries: readonly EntryAddress[]): EntryAddress[] {
  return pick(`watch/${subject}`, entries, watching)
}

function counterparts (from: string, to: string, entries: readonly EntryAddress[]): EntryAddress[] {
  const there = entries.filter(each => each.dataCentre === to)
  return pick(`${from}<${to}`, there, there.length)
}

function pick (key: string, entries: readonly EntryAddress[], count: number): EntryAddress[] {
  const byId = new Map(entries.map(each => [each.id, each]))
  return ranked(key, [...byId.keys()]).slice(0, count).map(id => byId.get(id) as EntryAddress)
}
