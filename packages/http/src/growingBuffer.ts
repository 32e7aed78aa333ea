import { bufferPool } from './bufferPool';

/** Size of the first allocation. */
const FIRST_BYTES = 4 * 1024;
/** Factor by which the allocation grows; a power of 2, so that the sizes can be pooled. */
const GROWTH = 4;

const NO_BYTES = Buffer.alloc(0);

/** Options of `GrowingBuffer`. */
export interface GrowingBufferOptions {
  /** Number of bytes that follow, if it is known. */
  expectedBytes?: number | undefined;
  /** Most bytes that are appended; more than these are never allocated. */
  maximumBytes: number;
}

/**
 * Joins chunks into one buffer, whose size is multiplied when it is full. A chunk of one byte takes up several hundred
 * bytes as an object of its own, so none is kept.
 */
export class GrowingBuffer {
  private readonly maximumBytes: number;

  private readonly expectedBytes: number;

  private allocated: Buffer = NO_BYTES;

  private usedBytes = 0;

  /** Whether the allocation is the only chunk, which belongs to someone else. */
  private isChunk = false;

  constructor({ expectedBytes = 0, maximumBytes }: GrowingBufferOptions) {
    this.expectedBytes = expectedBytes;
    this.maximumBytes = expectedBytes > 0 ? Math.min(expectedBytes, maximumBytes) : maximumBytes;
  }

  /** Number of bytes that were appended. */
  get length(): number {
    return this.usedBytes;
  }

  /** Number of bytes that are allocated. */
  get capacity(): number {
    return this.allocated.length;
  }

  /** The appended bytes, without a copy. */
  get bytes(): Buffer {
    return this.allocated.subarray(0, this.usedBytes);
  }

  /** Releases all bytes, which must not be in use. */
  clear(): void {
    this.release();
    this.allocated = NO_BYTES;
    this.usedBytes = 0;
  }

  /** Appends a chunk, which may be kept if it is all that is expected. */
  append(chunk: Buffer): void {
    const length = this.usedBytes + chunk.length;
    if (this.usedBytes === 0 && chunk.length === this.expectedBytes) {
      this.allocated = chunk;
      this.isChunk = true;
    } else {
      if (length > this.allocated.length) this.allocate(length);
      chunk.copy(this.allocated, this.usedBytes);
    }
    this.usedBytes = length;
  }

  private allocate(neededBytes: number): void {
    const multiplied = Math.max(FIRST_BYTES, GROWTH * this.allocated.length);
    const bytes = Math.max(neededBytes, Math.min(multiplied, this.maximumBytes));
    const grown = bufferPool.take(2 ** Math.ceil(Math.log2(bytes)));
    this.allocated.copy(grown, 0, 0, this.usedBytes);
    this.release();
    this.allocated = grown;
  }

  private release(): void {
    if (!this.isChunk) bufferPool.give(this.allocated);
    this.isChunk = false;
  }
}
