/**
 * The board of an entry: what it has heard of the configuration, nodes, workers and other entries. Controllers write it,
 * requests read it.
 */
import { Board } from '@eiderwind/board'
import { digest } from '@eiderwind/hash'
import { type EntryAddress, type Homes, type Node, type Placement } from '@eiderwind/schema'

/** The node list as it was seen at the platform. */
export interface NodeList {
  /** Wall time at which it was first seen as it is, in ms. */
  readonly seen: number
  readonly nodes: readonly Node[]
}

/** The facts that an entry's controllers share. */
export interface EntryFacts {
  /** This entry. */
  readonly self: EntryAddress
  /** Every registered entry, this one among them. */
  readonly entries: readonly EntryAddress[]
  /** Those of them believed live. */
  readonly live: readonly EntryAddress[]
  /** Undefined until the list was seen or heard of. */
  readonly nodes: NodeList | undefined
  /** By domain. */
  readonly placements: ReadonlyMap<string, Placement>
  /** By service. */
  readonly homes: ReadonlyMap<string, Homes>
  /** Whether the platform answered last. */
  readonly platformAnswers: boolean
  /** Whether a later configuration than this entry has been able to get is known to be in force elsewhere. */
  readonly behind: boolean
  readonly stopping: boolean
}

/** The blackboard of an entry. */
export type EntryBoard = Board<EntryFacts>

/** The blackboard of an entry that knows only itself. */
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

/** Whether an address that was found replaces the one that is known. */
type ReplaceRule = (found: EntryAddress, known: EntryAddress) => boolean

/** Takes a placement unless it is older than the one known. */
export function mergePlacement (board: EntryBoard, placement: Placement): void {
  const known = board.read('placements')
  if (isNewer(placement, known.get(placement.domain))) board.write('placements', new Map(known).set(placement.domain, placement))
}

/** Takes a list of voters unless it is older than the one known. */
export function mergeHomes (board: EntryBoard, homes: Homes): void {
  const known = board.read('homes')
  if (isNewer(homes, known.get(homes.service))) board.write('homes', new Map(known).set(homes.service, homes))
}

/** Takes a node list unless one was seen later. */
export function mergeNodes (board: EntryBoard, list: NodeList): void {
  const known = board.read('nodes')
  if (known === undefined || list.seen > known.seen) board.write('nodes', list)
}

/** Takes entries that others tell of: those that were not known, and the addresses of later lives. */
export function mergeEntries (board: EntryBoard, entries: readonly EntryAddress[]): void {
  merge(board, entries, isLaterIncarnation)
}

/** Takes the platform's list, where entries of earlier builds stand without their life. */
export function mergeListedEntries (board: EntryBoard, entries: readonly EntryAddress[]): void {
  merge(board, entries, (found, known) => found.incarnation === undefined ? found.peer !== known.peer : isLaterIncarnation(found, known))
}

/** Takes what a known entry says of itself. One that is not known yet is fetched with what it knows. */
export function updateSender (board: EntryBoard, sender: EntryAddress): void {
  if (!board.read('entries').some(each => each.id === sender.id)) return
  merge(board, [sender], (found, known) => found.peer !== known.peer || found.incarnation !== known.incarnation)
}

/** Takes entries that were not known, and those that replace what is known. Nobody else's word on this entry counts. */
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

/** Whether an address is that of a later life. One without its life replaces only one without it. */
function isLaterIncarnation (found: EntryAddress, known: EntryAddress): boolean {
  if (known.incarnation === undefined) return found.incarnation !== undefined || found.peer !== known.peer
  return found.incarnation !== undefined && found.incarnation > known.incarnation
}

/** A digest of all that entries tell each other beside reports and the configuration: equal digests, nothing to fetch. */
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
