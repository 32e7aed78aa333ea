import type { Segment } from '@marjorampin/types';

/** Where one process keeps segments of programs. */
export abstract class HistoryStore {
  /** Keeps a segment; one with the same turn replaces it. Resolves when it is held. */
  abstract store(segment: Segment): Promise<void>;

  /** Returns a program's segments in the order of their turns. */
  abstract read(program: string): Promise<Segment[]>;

  /** Returns the programs that are held. */
  abstract programs(): Promise<string[]>;
}

/** Keeps segments in memory. */
export class MemoryHistoryStore extends HistoryStore {
  private readonly segments = new Map<string, Segment[]>();

  override async store(segment: Segment): Promise<void> {
    const known = this.segments.get(segment.program) ?? [];
    known[segment.turn - 1] = segment;
    this.segments.set(segment.program, known);
  }

  override async read(program: string): Promise<Segment[]> {
    return (this.segments.get(program) ?? []).filter((segment) => segment !== undefined);
  }

  override async programs(): Promise<string[]> {
    return [...this.segments.keys()];
  }
}
