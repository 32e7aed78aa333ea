/** Smallest buffers that are kept for further use. */
const SMALLEST_BYTES = 64 * 1024;
/** Most bytes that are kept. */
const KEPT_BYTES = 8 * 1024 * 1024;

/**
 * Buffers whose bytes nobody uses any more, by size. Large buffers that were dropped are freed only by a collection of the
 * whole heap, which V8 puts off until tens of megabytes of them have gathered.
 */
class BufferPool {
  private readonly kept = new Map<number, Buffer[]>();

  private keptBytes = 0;

  /** Returns a buffer with any content. */
  take(bytes: number): Buffer {
    const kept = this.kept.get(bytes)?.pop();
    // Not from the pool of Node.js, whose blocks would live as long as their longest user.
    if (!kept) return Buffer.allocUnsafeSlow(bytes);
    this.keptBytes -= bytes;
    return kept;
  }

  /** Takes back a buffer, which must not be used any more. */
  give(buffer: Buffer): void {
    const { length } = buffer;
    if (length < SMALLEST_BYTES || this.keptBytes + length > KEPT_BYTES) return;
    const kept = this.kept.get(length) ?? [];
    this.kept.set(length, kept);
    kept.push(buffer);
    this.keptBytes += length;
  }
}

/** The pool of this process. */
export const bufferPool = new BufferPool();
