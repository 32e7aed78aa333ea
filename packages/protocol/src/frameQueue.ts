import { create } from '@bufbuild/protobuf';
import { messageBytes } from './frameBytes';
import { type Batch, BatchSchema, type Frame } from './gen/peer_pb';

const MAXIMUM_FRAMES_PER_BATCH = 256;

/** Size above which a batch takes no further frame. A batch is sent, received and parsed as a whole, and
 * the peer closes a stream whose batch is too large. */
const FULL_BATCH_BYTES = 256 * 1024;

/** Queue of the outgoing frames of one stream; iterating it yields the queued frames in batches. */
export class FrameQueue implements AsyncIterableIterator<Batch, undefined> {
  private frames: Frame[] = [];

  private wake: (() => void) | undefined;

  private closed = false;

  /** Adds a frame, or discards it when the queue is closed. */
  push(frame: Frame): void {
    if (this.closed) return;
    this.frames.push(frame);
    this.signal();
  }

  /** Removes the frames of a call that have not been taken. */
  remove(call: number): void {
    this.frames = this.frames.filter((frame) => frame.call !== call);
  }

  /** Ends the stream once the queued frames are sent. */
  close(): void {
    this.closed = true;
    this.signal();
  }

  /** Number of queued frames. */
  get length(): number {
    return this.frames.length;
  }

  /** Resolves with the queued frames, as soon as there are some; they are sent in one write. */
  next(): Promise<IteratorResult<Batch, undefined>> {
    if (this.closed || this.frames.length > 0) return Promise.resolve(this.take());
    return new Promise((resolve) => {
      // Waiting for a macrotask collects the frames of the current event loop turn in one batch.
      this.wake = () => setImmediate(() => resolve(this.take()));
    });
  }

  /** Closes the queue; connect-es calls this when the stream fails. */
  throw(error: unknown): Promise<IteratorResult<Batch, undefined>> {
    this.close();
    return Promise.reject(error);
  }

  [Symbol.asyncIterator](): this {
    return this;
  }

  /** Takes the next batch; none is left once the queue is closed and empty. */
  private take(): IteratorResult<Batch, undefined> {
    const frames = this.frames.splice(0, this.nextBatchLength());
    if (frames.length === 0) return { done: true, value: undefined };
    return { done: false, value: create(BatchSchema, { frames }) };
  }

  private nextBatchLength(): number {
    const { frames } = this;
    const limit = Math.min(frames.length, MAXIMUM_FRAMES_PER_BATCH);
    if (limit <= 1) return limit;
    let bytes = 0;
    for (let length = 0; length < limit; length += 1) {
      bytes += messageBytes(frames[length]?.body);
      if (bytes > FULL_BATCH_BYTES) return Math.max(1, length);
    }
    return limit;
  }

  private signal(): void {
    this.wake?.();
    this.wake = undefined;
  }
}
