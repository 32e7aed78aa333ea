import type { Segment } from '@marjorampin/types';

/** Storage for the segments of programs in one process. */
export abstract class HistoryStore {
  /** Stores a segment, replacing an earlier one of the same turn; resolves once it is stored. */
  abstract store(segment: Segment): Promise<void>;

  /** Returns a program's segments in the order of their turns. */
  abstract read(program: string): Promise<Segment[]>;

  /** Returns the ids of the programs that have stored segments. */
  abstract programs(): Promise<string[]>;
}

/** Stores segments in memory. */
export class MemoryHistoryStore extends HistoryStore {
  private readonly segments = new Map<string, Segment[]>();

  override async store(segment: Segment): Promise<void> {
    const stored = this.segments.get(segment.program) ?? [];
    stored[segment.turn - 1] = segment;
    this.segments.set(segment.program, stored);
  }

  override async read(program: string): Promise<Segment[]> {
    return (this.segments.get(program) ?? []).filter((segment) => segment !== undefined);
  }

  override async programs(): Promise<string[]> {
    return [...this.segments.keys()];
  }
}
