import { type ByteAccount, GrowingBuffer, type Holding } from '@marjorampin/http';

/** Bytes before each message in gRPC: a flag and the length. */
const PREFIX_BYTES = 5;
const LENGTH_OFFSET = 1;

const NO_BYTES = Buffer.alloc(0);

/** Options of `MessageAssembly`. */
export interface MessageAssemblyOptions {
  /** Largest message in bytes. */
  maximumBytes: number;
  /** Counts the bytes of incomplete messages. */
  held: ByteAccount;
  /** Ends the stream, as the incomplete messages of all peers take up too much. */
  breakOff(error: Error): void;
}

/**
 * Passes on the whole messages of a stream. An incomplete one is counted and copied into one buffer, so that the cost
 * per byte does not depend on the sizes of its parts.
 */
export class MessageAssembly {
  private readonly maximumBytes: number;

  private readonly holding: Holding;

  /** Start of a message that is too short to tell its length. */
  private start: Buffer = NO_BYTES;

  private incomplete: { buffer: GrowingBuffer; expectedBytes: number } | undefined;

  constructor({ maximumBytes, held, breakOff }: MessageAssemblyOptions) {
    this.maximumBytes = maximumBytes;
    this.holding = held.open({ kind: 'input', breakOff });
  }

  /** Returns the bytes of all messages that a chunk completes; throws for a message that is too large. */
  push(chunk: Buffer): Buffer {
    const bytes = this.start.length > 0 ? Buffer.concat([this.start, chunk]) : chunk;
    this.start = NO_BYTES;
    if (!this.incomplete) return this.takeWhole(bytes);
    const { buffer, expectedBytes } = this.incomplete;
    const missingBytes = expectedBytes - buffer.length;
    buffer.append(bytes.subarray(0, missingBytes));
    this.holding.resize(buffer.capacity);
    if (buffer.length < expectedBytes) return NO_BYTES;
    this.incomplete = undefined;
    this.holding.resize(0);
    const rest = this.takeWhole(bytes.subarray(missingBytes));
    return rest.length === 0 ? buffer.bytes : Buffer.concat([buffer.bytes, rest]);
  }

  /** Releases all bytes. */
  close(): void {
    this.incomplete = undefined;
    this.start = NO_BYTES;
    this.holding.close();
  }

  /** Returns the whole messages at the start of some bytes and keeps the rest. */
  private takeWhole(bytes: Buffer): Buffer {
    let end = 0;
    while (bytes.length - end >= PREFIX_BYTES) {
      const expectedBytes = PREFIX_BYTES + bytes.readUInt32BE(end + LENGTH_OFFSET);
      this.checkSize(expectedBytes);
      if (end + expectedBytes > bytes.length) {
        this.keepIncomplete(bytes.subarray(end), expectedBytes);
        return bytes.subarray(0, end);
      }
      end += expectedBytes;
    }
    this.start = Buffer.from(bytes.subarray(end));
    return bytes.subarray(0, end);
  }

  private keepIncomplete(bytes: Buffer, expectedBytes: number): void {
    const buffer = new GrowingBuffer({ expectedBytes, maximumBytes: expectedBytes });
    buffer.append(bytes);
    this.incomplete = { buffer, expectedBytes };
    this.holding.resize(buffer.capacity);
  }

  private checkSize(bytes: number): void {
    if (bytes <= this.maximumBytes) return;
    throw new Error(
      `a message of ${bytes} bytes exceeds the limit of ${this.maximumBytes}; send smaller batches`,
    );
  }
}
