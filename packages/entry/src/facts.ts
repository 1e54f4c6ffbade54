/**
 * The board of an entry: what the entry knows about the platform, nodes, placements, voters and other entries. Owns the
 * rules by which received state replaces known state. Controllers write the board, and requests read it.
 */
import { Board } from '@eiderwind/board'
import { digest } from '@eiderwind/hash'
import { type EntryAddress, type VoterList, type Node, type Placement } from '@eiderwind/schema'

/** The node list as an entry read it from the platform. */
export interface NodeList {
  /** Wall time at which an entry first read this version of the list, in ms. */
  readonly seen: number
  readonly nodes: readonly Node[]
}

/** The fields of an entry's board. */
export interface EntryFacts {
  /** This entry. */
  readonly self: EntryAddress
  /** All registered entries, including this one. */
  readonly entries: readonly EntryAddress[]
  /** The registered entries that count as live, including this one. */
  readonly live: readonly EntryAddress[]
  /** Undefined until the list was read from the platform or received from another entry. */
  readonly nodes: NodeList | undefined
  /** Placements by domain. */
  readonly placements: ReadonlyMap<string, Placement>
  /** Lists of voters by service. */
  readonly homes: ReadonlyMap<string, VoterList>
  /** Whether the platform answered the latest call. */
  readonly platformAnswers: boolean
  /** Whether a later configuration, which this entry could not fetch, is in force elsewhere. */
  readonly behind: boolean
  /** Whether a planned stop of this entry has begun. */
  readonly stopping: boolean
}

/** The board of an entry. */
export type EntryBoard = Board<EntryFacts>

/** The board of an entry that knows only itself. */
export function entryBoard (self: EntryAddress): EntryBoard {
  return new Board<EntryFacts>({
    self,
    entries: [self],
    live: [self],
    nodes: undefined,
    placements: new Map(),
    homes: new Map(),
    platformAnswers: false,
    behind: false,
    stopping: false
  })
}

interface Revised {
  readonly revision: number
}

/** Decides whether a received address of an entry replaces the known one. */
type ReplaceRule = (found: EntryAddress, known: EntryAddress) => boolean

/** Stores a placement if it is newer than the known one. */
export function mergePlacement (board: EntryBoard, placement: Placement): void {
  const known = board.read('placements')
  if (isNewer(placement, known.get(placement.domain))) board.write('placements', new Map(known).set(placement.domain, placement))
}

/** Stores a list of voters if it is newer than the known one. */
export function mergeVoters (board: EntryBoard, list: VoterList): void {
  const known = board.read('homes')
  if (isNewer(list, known.get(list.service))) board.write('homes', new Map(known).set(list.service, list))
}

/** Stores a node list if it was read later than the known one. */
export function mergeNodes (board: EntryBoard, list: NodeList): void {
  const known = board.read('nodes')
  if (known === undefined || list.seen > known.seen) board.write('nodes', list)
}

/**
 * Merges entries received from another entry: adds unknown ones, and replaces addresses by those of later incarnations.
 */
export function mergeEntries (board: EntryBoard, entries: readonly EntryAddress[]): void {
  merge(board, entries, isLaterIncarnation)
}

/**
 * Merges the platform's list of entries. Entries of earlier builds are listed there without an incarnation. A listed
 * address of such an entry replaces the known one.
 */
export function mergeListedEntries (board: EntryBoard, entries: readonly EntryAddress[]): void {
  merge(board, entries, (found, known) => found.incarnation === undefined ? found.peer !== known.peer : isLaterIncarnation(found, known))
}

/**
 * Stores the address that a known entry sends for itself. An unknown sender is skipped here, and added when this entry
 * fetches the sender's state.
 */
export function updateSender (board: EntryBoard, sender: EntryAddress): void {
  if (!board.read('entries').some(each => each.id === sender.id)) return
  merge(board, [sender], (found, known) => found.peer !== known.peer || found.incarnation !== known.incarnation)
}

/** Adds unknown entries, and replaces a known one if `replaces` says so. Ignores addresses of this entry itself. */
function merge (board: EntryBoard, entries: readonly EntryAddress[], replaces: ReplaceRule): void {
  const { id: selfId } = board.read('self')
  const known = new Map(board.read('entries').map(each => [each.id, each]))
  const changed = entries.filter(each => {
    const before = known.get(each.id)
    return each.id !== selfId && (before === undefined || replaces(each, before))
  })
  if (changed.length === 0) return
  for (const entry of changed) known.set(entry.id, entry)
  board.write('entries', [...known.values()])
}

/**
 * Whether an address belongs to a later incarnation. An address without an incarnation replaces only a different
 * address that has none either.
 */
function isLaterIncarnation (found: EntryAddress, known: EntryAddress): boolean {
  if (known.incarnation === undefined) return found.incarnation !== undefined || found.peer !== known.peer
  return found.incarnation !== undefined && found.incarnation > known.incarnation
}

/**
 * Digest of the state that entries exchange besides reports and the configuration. Two entries with equal digests have
 * nothing to fetch from each other.
 */
export function knownDigest (board: EntryBoard): number {
  const placements = [...board.read('placements').values()].map(each => `${each.domain}=${each.revision}`)
  const homes = [...board.read('homes').values()].map(each => `${each.service}:${each.revision}`)
  const entries = board.read('entries').map(each => `${each.id}@${each.peer}`)
  const parts = [...placements, ...homes, ...entries].sort()
  return digest([...parts, String(board.read('nodes')?.seen ?? 0)].join())
}

function isNewer (found: Revised, known: Revised | undefined): boolean {
  return known === undefined || found.revision > known.revision
}
