import { create } from '@bufbuild/protobuf';
import { type Batch, BatchSchema, type Frame } from './gen/peer_pb';

const MAXIMUM_FRAMES_PER_BATCH = 256;

/** Outgoing frames of one stream; frames that are ready together leave as one batch. */
export class FrameQueue implements AsyncIterable<Batch> {
  private frames: Frame[] = [];

  private wake: (() => void) | undefined;

  private closed = false;

  /** Adds a frame; a closed queue drops it. */
  push(frame: Frame): void {
    if (this.closed) return;
    this.frames.push(frame);
    this.signal();
  }

  /** Ends the stream after the frames that are queued. */
  close(): void {
    this.closed = true;
    this.signal();
  }

  /** Number of frames waiting to leave. */
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
      // The macrotask lets frames of the same moment share a batch.
      this.wake = () => setImmediate(resolve);
    });
  }
}
