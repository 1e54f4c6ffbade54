/**
 * Remembers which replicas served which prompts last. A prompt with a known prefix can then go to a replica that has
 * the prefix in its KV cache. Owns a bounded table of prefix digests. A wrong or missing row costs time, never
 * correctness.
 */
import { digest } from '@eiderwind/hash'

/** Characters in one block of a prompt's prefix. */
const blockSize = 256

/** Number of blocks of a prompt that are read, from its start. */
const maxBlocksPerPrompt = 32

/** Number of replicas stored for one block. */
const replicasPerBlock = 3

/** Number of blocks that are stored by default. It bounds the memory of the table. */
const defaultMaxStoredBlocks = 20_000

/** The digests of a prompt's prefixes, one for each complete block, shortest first. */
export function prefixDigests (prompt: string): number[] {
  const found: number[] = []
  let chain = 0
  for (let end = blockSize; end <= prompt.length && found.length < maxBlocksPerPrompt; end += blockSize) {
    chain = digest(`${chain}\u0000${prompt.slice(end - blockSize, end)}`)
    found.push(chain)
  }
  return found
}

/** Stores which replicas served which prefixes last. The least recently used block is evicted first. */
export class Affinity {
  readonly #maxStoredBlocks: number
  /** By digest of the prefix that ends with the block: the replicas that served it, latest first. */
  readonly #blocks = new Map<number, string[]>()

  /** @param limit maximum number of stored blocks. Default: 20,000 */
  constructor (limit = defaultMaxStoredBlocks) {
    this.#maxStoredBlocks = limit
  }

  /**
   * The replicas that served the longest known prefix of a prompt, latest first.
   *
   * @param blocks the digests that `prefixDigests` returns for the prompt
   */
  replicasFor (blocks: readonly number[]): readonly string[] {
    for (let index = blocks.length - 1; index >= 0; index--) {
      const replicas = this.#blocks.get(blocks[index])
      if (replicas !== undefined) return replicas
    }
    return []
  }

  /** Records that `replica` serves a prompt. */
  recordServed (replica: string, blocks: readonly number[]): void {
    for (const block of blocks) {
      const others = (this.#blocks.get(block) ?? []).filter(each => each !== replica)
      setNewest(this.#blocks, block, [replica, ...others].slice(0, replicasPerBlock), this.#maxStoredBlocks)
    }
  }
}

/** Sets a value as the newest of a bounded map and evicts the oldest one if the map is full. */
function setNewest<Index, Value> (map: Map<Index, Value>, index: Index, value: Value, limit: number): void {
  map.delete(index)
  map.set(index, value)
  if (map.size <= limit) return
  const [oldest] = map.keys()
  map.delete(oldest)
}
