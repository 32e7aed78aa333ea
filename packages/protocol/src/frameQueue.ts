import { create } from '@bufbuild/protobuf';
import { type Batch, BatchSchema, type Frame } from './gen/peer_pb';

const MAXIMUM_FRAMES_PER_BATCH = 256;

/** Queue of the outgoing frames of one stream; iterating it yields the queued frames in batches. */
export class FrameQueue implements AsyncIterable<Batch> {
  private frames: Frame[] = [];

  private wake: (() => void) | undefined;

  private closed = false;

  /** Adds a frame, or discards it when the queue is closed. */
  push(frame: Frame): void {
    if (this.closed) return;
    this.frames.push(frame);
    this.signal();
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

  async *[Symbol.asyncIterator](): AsyncIterator<Batch> {
    while (!this.closed || this.frames.length > 0) {
      if (this.frames.length === 0) await this.nextSignal();
      const frames = this.frames.splice(0, MAXIMUM_FRAMES_PER_BATCH);
      if (frames.length > 0) yield create(BatchSchema, { frames });
    }
  }

  private signal(): void {
    this.wake?.();
    this.wake = undefined;
  }

  private nextSignal(): Promise<void> {
    return new Promise((resolve) => {
      // Waiting for a macrotask collects the frames of the current event loop turn in one batch.
      this.wake = () => setImmediate(resolve);
    });
  }
}
