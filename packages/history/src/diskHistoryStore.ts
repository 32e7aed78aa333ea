import { appendFile, mkdir, readdir, readFile } from 'node:fs/promises';
import { join } from 'node:path';
import type { Segment } from '@marjorampin/types';
import { HistoryStore } from './historyStore';

const SUFFIX = '.ndjson';

/** Keeps segments in one append-only file a program, below a data folder. */
export class DiskHistoryStore extends HistoryStore {
  private readonly folder: string;

  private readonly writes = new Map<string, Promise<void>>();

  constructor({ folder }: { folder: string }) {
    super();
    this.folder = join(folder, 'history');
  }

  override async store(segment: Segment): Promise<void> {
    const previous = this.writes.get(segment.program) ?? Promise.resolve();
    const write = previous.then(() => this.append(segment));
    this.writes.set(
      segment.program,
      write.catch(() => undefined),
    );
    await write;
  }

  override async read(program: string): Promise<Segment[]> {
    const text = await readFile(this.pathOf(program), 'utf8').catch(() => '');
    const segments: Segment[] = [];
    text.split('\n').forEach((line) => {
      const segment = parseLine(line);
      if (segment) segments[segment.turn - 1] = segment;
    });
    return segments.filter((segment) => segment !== undefined);
  }

  override async programs(): Promise<string[]> {
    const names = await readdir(this.folder).catch(() => [] as string[]);
    return names.map((name) => name.slice(0, -SUFFIX.length));
  }

  private async append(segment: Segment): Promise<void> {
    await mkdir(this.folder, { recursive: true });
    // The leading newline keeps the segment apart from a line that a crash cut short.
    const line = `\n${JSON.stringify(segment)}\n`;
    await appendFile(this.pathOf(segment.program), line, { flush: true });
  }

  private pathOf(program: string): string {
    return join(this.folder, `${program}${SUFFIX}`);
  }
}

/** A line that a crash cut short is passed over; its turn was never acknowledged. */
function parseLine(line: string): Segment | undefined {
  try {
    return line === '' ? undefined : (JSON.parse(line) as Segment);
  } catch {
    return undefined;
  }
}
