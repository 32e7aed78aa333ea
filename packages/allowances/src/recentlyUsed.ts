import type { Clock } from '@marjorampin/types';

/** Time for which a value is kept at least after its last use. */
const RETENTION_MS = 10_000;
/** Number of values above which those that were not used recently are dropped earlier. */
const MAXIMUM_VALUES = 4_000;

/** Values by key that are dropped once they were not used for some time, without a timer. */
export class RecentlyUsed<Value> {
  private readonly clock: Clock;

  private recent = new Map<string, Value>();

  private earlier = new Map<string, Value>();

  private changedAtMs = -Infinity;

  constructor({ clock }: { clock: Clock }) {
    this.clock = clock;
  }

  /** Number of values. */
  get size(): number {
    return this.recent.size + this.earlier.size;
  }

  /** Returns the value of a key; creates one if there is none. */
  use(key: string, create: () => Value): Value {
    this.dropEarlier();
    const known = this.recent.get(key);
    if (known !== undefined) return known;
    const value = this.earlier.get(key) ?? create();
    this.earlier.delete(key);
    this.recent.set(key, value);
    return value;
  }

  private dropEarlier(): void {
    const nowMs = this.clock.now();
    const isDue = nowMs - this.changedAtMs >= RETENTION_MS || this.recent.size >= MAXIMUM_VALUES;
    if (!isDue) return;
    this.earlier = this.recent;
    this.recent = new Map();
    this.changedAtMs = nowMs;
  }
}
