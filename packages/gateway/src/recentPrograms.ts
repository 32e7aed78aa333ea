/** Number of programs that are remembered: more than a process serves at the same time. */
const MAXIMUM_PROGRAMS = 20_000;
/** Length of the longest id, in characters, that is remembered, so that long ones don't take up memory. */
const MAXIMUM_ID_LENGTH = 128;

/** Programs of which this process has served a call. */
export class RecentPrograms {
  private readonly maximumPrograms: number;

  /** Least recently used ids first. */
  private readonly ids = new Set<string>();

  constructor({ maximumPrograms = MAXIMUM_PROGRAMS }: { maximumPrograms?: number } = {}) {
    this.maximumPrograms = maximumPrograms;
  }

  /** Returns whether a call of the program has been served. */
  has(id: string): boolean {
    return this.ids.has(id);
  }

  /** Records that a call of a program has been served; forgets the program that was least recently used. */
  add(id: string): void {
    if (id.length > MAXIMUM_ID_LENGTH) return;
    this.ids.delete(id);
    this.ids.add(id);
    const [oldest] = this.ids;
    if (this.ids.size > this.maximumPrograms && oldest !== undefined) this.ids.delete(oldest);
  }
}
