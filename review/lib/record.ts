/* eslint-disable @stylistic/max-len, import-x/prefer-default-export, n/no-sync -- Relaxed for the sources of the repository as well, or left to prettier. */
/** Record of what was sent, answered and run, written to a file as it happens. */
import { appendFileSync, writeFileSync } from 'node:fs';

/** Writes lines with the seconds since the start of the script. */
export class Record {
  private readonly path: string;

  private readonly startedAtMs = performance.now();

  constructor(path: string) {
    this.path = path;
    writeFileSync(path, '');
  }

  /** Seconds since the start. */
  get seconds(): number {
    return (performance.now() - this.startedAtMs) / 1_000;
  }

  /** Appends one line. */
  write(line: string): void {
    appendFileSync(this.path, `${this.seconds.toFixed(3).padStart(8)} ${line}\n`);
  }
}
