/**
 * Remembers which replicas served which prompts last, so that a prompt with a known prefix goes where its KV cache is. It
 * owns a bounded table of prefix digests. A wrong or missing entry costs time, never correctness.
 */
import { digest } from '@eiderwind/hash'

/** Characters in one block of a prompt's prefix. */
const blockSize = 256

/** Blocks of a prompt that are looked at, from its start. */
const mostBlocks = 32

/** Replicas remembered for one block. */
const replicasPerBlock = 3

/** Blocks that are remembered: a bound of memory. */
const defaultLimit = 20_000

/** The digests of a prompt's prefixes, one for each whole block, shortest first. */
export function prefixes (prompt: string): number[] {
  const found: number[] = []
  let chain = 0
  for (let end = blockSize; end <= prompt.length && found.length < mostBlocks; end += blockSize) {
    chain = digest(`${chain}\u0000${prompt.slice(end - blockSize, end)}`)
    found.push(chain)
  }
  return found
}

/** Which replicas served which prefixes last. Bounded; the longest unused is forgotten first. */
export class Affinity {
  readonly #limit: number
  readonly #blocks = new Map<number, string[]>()

  /** @param limit blocks that are remembered. Default: 20,000 */
  constructor (limit = defaultLimit) {
    this.#limit = limit
  }

  /** The replicas that served the longest known prefix, latest first. */
  prefix (blocks: readonly number[]): readonly string[] {
    for (let index = blocks.length - 1; index >= 0; index--) {
      const replicas = this.#blocks.get(blocks[index])
      if (replicas !== undefined) return replicas
    }
    return []
  }

  /** Notes that `replica` serves a prompt. */
  served (replica: string, blocks: readonly number[]): void {
    for (const block of blocks) {
      const others = (this.#blocks.get(block) ?? []).filter(each => each !== replica)
      refresh(this.#blocks, block, [replica, ...others].slice(0, replicasPerBlock), this.#limit)
    }
  }
}

/** Sets a value as the newest of a bounded map. */
function refresh<Index, Value> (map: Map<Index, Value>, index: Index, value: Value, limit: number): void {
  map.delete(index)
  map.set(index, value)
  if (map.size <= limit) return
  const [oldest] = map.keys()
  map.delete(oldest)
}
