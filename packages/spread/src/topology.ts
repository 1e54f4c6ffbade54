/**
 * Computes which entries exchange reports, which two entries a worker reports to, and which entry acts on a subject,
 * such as the placement of a domain. Pure functions of the entries believed live, by rendezvous hashing.
 * docs/design/spread.md has the rule, its cost at scale and the alternatives that were dropped.
 */
import { ranked } from '@eiderwind/hash'
import { type EntryAddress } from '@eiderwind/schema'

/** The entries to which one entry forwards the reports that it receives. */
export interface Duties {
  /** The entries of its own data centre. */
  readonly near: readonly EntryAddress[]
  /** The other data centres to which it forwards reports. */
  readonly far: readonly FarDuty[]
}

/** Another data centre to which an entry forwards reports. */
export interface FarDuty {
  readonly dataCentre: string
  /** Its entries, in the order in which they are tried. */
  readonly counterparts: readonly EntryAddress[]
}

/** Number of entries of a data centre that watch a subject. There are two so that one may fail. */
const watchersPerSubject = 2

/** Number of entries that a worker reports to. */
const targetsPerWorker = 2

/**
 * The duties of `self` among the entries believed live. Within a data centre each entry sends to every other one. From
 * one data centre to another only the responsible entry sends, chosen by rendezvous hashing. An entry therefore sends
 * to its own data centre and to a few others, never to all. The responsible entry is chosen among those believed live,
 * so that another one takes over some seconds after it fails.
 */
export function duties (self: EntryAddress, entries: readonly EntryAddress[]): Duties {
  const own = entries.filter(each => each.dataCentre === self.dataCentre)
  const near = own.filter(each => each.id !== self.id)
  const names = [...new Set([self.id, ...own.map(each => each.id)])]
  const others = [...new Set(entries.map(each => each.dataCentre))].filter(each => each !== self.dataCentre)
  const responsibleFor = others.filter(other => ranked(`${self.dataCentre}>${other}`, names)[0] === self.id)
  const far = responsibleFor.map(dataCentre => ({ dataCentre, counterparts: counterparts(self.dataCentre, dataCentre, entries) }))
  return { near, far }
}

/** The entries that a worker reports to. They are of its own data centre if it has any. */
export function reportTargets (worker: string, dataCentre: string, entries: readonly EntryAddress[]): EntryAddress[] {
  const own = entries.filter(each => each.dataCentre === dataCentre)
  return pick(worker, own.length > 0 ? own : entries, targetsPerWorker)
}

/**
 * The entry among those believed live that acts on `subject`. Two entries with different beliefs may both act, which
 * only wastes work.
 */
export function responsibleEntry (subject: string, entries: readonly EntryAddress[]): EntryAddress | undefined {
  return pick(subject, entries, 1)[0]
}

/**
 * The entries that watch `subject` at the platform.
 *
 * @param entries the entries of one data centre
 */
export function watchers (subject: string, entries: readonly EntryAddress[]): EntryAddress[] {
  return pick(`watch/${subject}`, entries, watchersPerSubject)
}

function counterparts (from: string, to: string, entries: readonly EntryAddress[]): EntryAddress[] {
  const there = entries.filter(each => each.dataCentre === to)
  return pick(`${from}<${to}`, there, there.length)
}

function pick (key: string, entries: readonly EntryAddress[], count: number): EntryAddress[] {
  const byId = new Map(entries.map(each => [each.id, each]))
  return ranked(key, [...byId.keys()]).slice(0, count).map(id => byId.get(id) as EntryAddress)
}
