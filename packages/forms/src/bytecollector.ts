/** A chunk of this size or more, or the only one, is kept as it came; smaller ones are copied into blocks. */
const MIN_KEPT_CHUNK_BYTES = 4096;
const MIN_BLOCK_BYTES = 1024;
const MAX_BLOCK_BYTES = 64 * 1024;

/** Whether keeping a chunk keeps little else: it may be a small part of a larger buffer. */
const fillsItsMemory = (chunk: Buffer): boolean => chunk.buffer.byteLength <= 2 * chunk.length;

/**
 * Collects bytes that arrive in chunks of any size. Invariant: what is kept takes at most twice the memory of its
 * bytes, and one block; a buffer for each chunk would take hundreds of bytes for a chunk of one.
 */
export const ByteCollector = {
  make() {
    let pieces: Buffer[] = [];
    /** The block that small chunks are copied into, and its bytes in use; it is the piece after the others. */
    let block: Buffer | null = null;
    let used = 0;
    let size = 0;
    let heldBytes = 0;
    const closeBlock = (): void => {
      if (block) pieces.push(block.subarray(0, used));
      block = null;
      used = 0;
    };
    const openBlock = (atLeast: number): Buffer => {
      const wanted = Math.min(MAX_BLOCK_BYTES, Math.max(MIN_BLOCK_BYTES, atLeast));
      heldBytes += wanted;
      return Buffer.allocUnsafeSlow(wanted);
    };
    const copy = (chunk: Buffer): void => {
      let rest = chunk;
      while (rest.length > 0) {
        if (block && used === block.length) {
          const { length } = block;
          closeBlock();
          block = openBlock(2 * length);
        }
        block ??= openBlock(0);
        const copied = rest.copy(block, used);
        used += copied;
        rest = rest.subarray(copied);
      }
    };
    const clear = (): void => {
      pieces = [];
      block = null;
      used = 0;
      size = 0;
      heldBytes = 0;
    };
    return {
      /** Bytes added. */
      size: (): number => size,
      /** Bytes of memory that they take. */
      heldBytes: (): number => heldBytes,
      add(chunk: Buffer): void {
        if (chunk.length === 0) return;
        const isFirst = size === 0;
        size += chunk.length;
        const isWorthKeeping = isFirst || chunk.length >= MIN_KEPT_CHUNK_BYTES;
        if (!isWorthKeeping || !fillsItsMemory(chunk)) {
          copy(chunk);
          return;
        }
        closeBlock();
        pieces.push(chunk);
        heldBytes += chunk.length;
      },
      /** All bytes in one buffer; nothing is kept of them. */
      take(): Buffer {
        closeBlock();
        const [first] = pieces;
        const all = first && pieces.length === 1 ? first : Buffer.concat(pieces, size);
        clear();
        return all;
      },
      clear,
    };
  },
};
