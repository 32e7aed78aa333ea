import type { Writable } from 'node:stream';

/** Lines that arrive within this time go to the target in one write. */
const FLUSH_INTERVAL_MS = 200;
/** Bound on unread text, here and in the target; lines above it are dropped and counted. */
const MAXIMUM_BUFFERED_BYTES = 256 * 1024;

/** Writes lines in batches; never blocks on a slow reader, and is bounded in size. */
export class LineBuffer {
  private readonly target: Writable;

  private lines: string[] = [];

  /** Total length of `lines` in UTF-16 code units. */
  private bufferedLength = 0;

  private timer: NodeJS.Timeout | undefined;

  private droppedLines = 0;

  constructor({ target }: { target: Writable }) {
    this.target = target;
  }

  /** Number of lines dropped so far because the reader was too slow. */
  get dropped(): number {
    return this.droppedLines;
  }

  /** Buffers one line, including its line feed, or drops it if the buffer is full. */
  write(line: string): void {
    if (this.bufferedLength + this.target.writableLength + line.length > MAXIMUM_BUFFERED_BYTES) {
      this.droppedLines += 1;
      return;
    }
    this.lines.push(line);
    this.bufferedLength += line.length;
    this.timer ??= setTimeout(() => this.flush(), FLUSH_INTERVAL_MS).unref();
  }

  /** Writes the buffered lines to the target. */
  flush(): void {
    clearTimeout(this.timer);
    this.timer = undefined;
    if (this.lines.length === 0) return;
    this.target.write(this.lines.join(''));
    this.lines = [];
    this.bufferedLength = 0;
  }
}
