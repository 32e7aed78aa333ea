import type { Writable } from 'node:stream';

/** Lines that are ready within this time leave in one write. */
const FLUSH_INTERVAL_MS = 200;
/** Text held while the reader does not keep up; further lines are dropped and counted. */
const LIMIT_BYTES = 256 * 1024;

/** Collects lines and writes them together; never waits for the reader and never grows. */
export class LineBuffer {
  private readonly target: Writable;

  private lines: string[] = [];

  private bytes = 0;

  private timer: NodeJS.Timeout | undefined;

  private droppedLines = 0;

  constructor({ target }: { target: Writable }) {
    this.target = target;
  }

  /** Lines that were dropped so far because the reader did not keep up. */
  get dropped(): number {
    return this.droppedLines;
  }

  /** Takes one line, its line feed included. */
  write(line: string): void {
    if (this.bytes + this.target.writableLength + line.length > LIMIT_BYTES) {
      this.droppedLines += 1;
      return;
    }
    this.lines.push(line);
    this.bytes += line.length;
    this.timer ??= setTimeout(() => this.flush(), FLUSH_INTERVAL_MS).unref();
  }

  /** Writes what is held. */
  flush(): void {
    clearTimeout(this.timer);
    this.timer = undefined;
    if (this.lines.length === 0) return;
    this.target.write(this.lines.join(''));
    this.lines = [];
    this.bytes = 0;
  }
}
