import { appendFile, mkdir, readdir, readFile } from 'node:fs/promises';
import { join } from 'node:path';
import type { Segment } from '@marjorampin/types';
import { HistoryStore } from './historyStore';

const FILE_SUFFIX = '.ndjson';

/** Stores segments in one append-only file per program, below a data folder. */
export class DiskHistoryStore extends HistoryStore {
  private readonly folder: string;

  /** Latest write of each program, which the next one waits for. */
  private readonly lastWrites = new Map<string, Promise<void>>();

  constructor({ folder }: { folder: string }) {
    super();
    this.folder = join(folder, 'history');
  }

  override async store(segment: Segment): Promise<void> {
    const previous = this.lastWrites.get(segment.program) ?? Promise.resolve();
    const write = previous.then(() => this.append(segment));
    this.lastWrites.set(
      segment.program,
      write.catch(() => undefined),
    );
    await write;
  }

  override async read(program: string): Promise<Segment[]> {
    const text = await readFile(this.pathOf(program), 'utf8').catch(emptyIfAbsent(''));
    const segments: Segment[] = [];
    text.split('\n').forEach((line) => {
      const segment = parseLine(line);
      if (segment) segments[segment.turn - 1] = segment;
    });
    return segments.filter((segment) => segment !== undefined);
  }

  override async programs(): Promise<string[]> {
    const names = await readdir(this.folder).catch(emptyIfAbsent<string[]>([]));
    return names.map((name) => name.slice(0, -FILE_SUFFIX.length));
  }

  private async append(segment: Segment): Promise<void> {
    await mkdir(this.folder, { recursive: true });
    // The leading newline separates the segment from a line that a crash truncated.
    const line = `\n${JSON.stringify(segment)}\n`;
    await appendFile(this.pathOf(segment.program), line, { flush: true });
  }

  private pathOf(program: string): string {
    return join(this.folder, `${program}${FILE_SUFFIX}`);
  }
}

/** Returns a handler of read errors that returns `empty` for a missing file and rethrows all others. */
function emptyIfAbsent<Value>(empty: Value): (error: NodeJS.ErrnoException) => Value {
  return (error) => {
    if (error.code === 'ENOENT') return empty;
    throw error;
  };
}

/** Returns undefined for a line that a crash truncated; its turn was never acknowledged. */
function parseLine(line: string): Segment | undefined {
  try {
    return line === '' ? undefined : (JSON.parse(line) as Segment);
  } catch {
    return undefined;
  }
}
