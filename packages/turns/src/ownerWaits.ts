import type { Keeper } from '@marjorampin/protocol';
import type { Clock } from '@marjorampin/types';

/** Time after which a known wait is forgotten: the limit may have been raised or have ended. */
const MAXIMUM_AGE_MS = 1_000;
/** Maximum number of endpoints whose waits are remembered. */
const MAXIMUM_ENDPOINTS = 4_096;

interface KnownWait {
  nextAtMs: number;
  learnedAtMs: number;
}

/** Waits for the next permits of endpoints at the keepers that grant them, from their replies. */
export class OwnerWaits {
  private readonly clock: Clock;

  private readonly byEndpoint = new Map<string, Map<string, KnownWait>>();

  constructor({ clock }: { clock: Clock }) {
    this.clock = clock;
  }

  /** Records the wait for the next permit that a keeper reported. */
  record(endpoint: string, keeper: string, waitMs: number): void {
    if (this.byEndpoint.size >= MAXIMUM_ENDPOINTS) this.byEndpoint.clear();
    const waits = this.byEndpoint.get(endpoint) ?? new Map<string, KnownWait>();
    const learnedAtMs = this.clock.now();
    waits.set(keeper, { nextAtMs: learnedAtMs + waitMs, learnedAtMs });
    this.byEndpoint.set(endpoint, waits);
  }

  /** Returns the expected wait at a keeper; 0 if nothing is known. */
  expectedMs(endpoint: string, keeper: string): number {
    const known = this.byEndpoint.get(endpoint)?.get(keeper);
    const now = this.clock.now();
    if (!known || now - known.learnedAtMs > MAXIMUM_AGE_MS) return 0;
    return Math.max(0, known.nextAtMs - now);
  }

  /** Returns the shortest expected wait at any of the keepers; 0 without keepers. */
  shortestMs(endpoint: string, keepers: Keeper[]): number {
    if (keepers.length === 0 || !this.byEndpoint.has(endpoint)) return 0;
    return Math.min(...keepers.map(({ id }) => this.expectedMs(endpoint, id)));
  }
}
