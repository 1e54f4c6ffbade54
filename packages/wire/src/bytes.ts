/**
 * Collects bytes that arrive in pieces. Small pieces are copied together, because each piece may be a view that keeps
 * the whole buffer in memory from which it was read.
 */

/** Size of a block of small pieces, and the size from which a piece is kept as it is, in bytes. */
const blockSize = 65_536
const leastView = 4096

/** Bytes in order of arrival. */
export class Bytes {
  #pieces: Buffer[] = []
  #block: Buffer | undefined
  /** Number of bytes in the block. */
  #used = 0
  #size = 0

  /** Number of bytes. */
  get size (): number {
    return this.#size
  }

  /** Appends a piece. It must not be changed afterwards. */
  add (piece: Buffer): void {
    this.#size += piece.length
    if (piece.length >= leastView) {
      this.#closeBlock()
      this.#pieces.push(piece)
      return
    }
    if (this.#used + piece.length > blockSize) this.#closeBlock()
    this.#block ??= Buffer.allocUnsafe(blockSize)
    this.#used += piece.copy(this.#block, this.#used)
  }

  /** Removes and returns all bytes. */
  take (): Buffer {
    this.#closeBlock()
    const bytes = this.#pieces.length === 1 ? this.#pieces[0] : Buffer.concat(this.#pieces)
    this.#pieces = []
    this.#size = 0
    return bytes
  }

  #closeBlock (): void {
    if (this.#block !== undefined) this.#pieces.push(this.#block.subarray(0, this.#used))
    this.#block = undefined
    this.#used = 0
  }
}
