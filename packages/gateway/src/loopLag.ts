import type { Clock } from '@marjorampin/types';

/** How often the lag of the event loop is measured. */
const SAMPLE_MS = 100;
/** Weight of a new sample: a burst of half a second counts, a single pause hardly does. */
const SMOOTHING = 0.25;
/** Lag from which requests are turned away, a few round trips within a domain. */
const SHED_FROM_MS = 60;
/** Lag at which all are turned away: about the objective of a first event. */
const SHED_ALL_MS = 240;

/** Measures how late this process runs, so that a slow host sheds what others can serve sooner. */
export class LoopLag {
  private readonly clock: Clock;

  private readonly stopped = new AbortController();

  private smoothedMs = 0;

  constructor({ clock }: { clock: Clock }) {
    this.clock = clock;
  }

  /** Measures until `stop`. */
  async run(): Promise<void> {
    while (!this.stopped.signal.aborted) {
      const dueMs = this.clock.now() + SAMPLE_MS;
      await this.clock.sleep(SAMPLE_MS, this.stopped.signal).catch(() => undefined);
      this.note(this.clock.now() - dueMs);
    }
  }

  /** Ends the measurement. */
  stop(): void {
    this.stopped.abort();
  }

  /** Takes in one sample. */
  note(lagMs: number): void {
    this.smoothedMs += (Math.max(0, lagMs) - this.smoothedMs) * SMOOTHING;
  }

  /** Smoothed lag in milliseconds. */
  get ms(): number {
    return this.smoothedMs;
  }

  /** New connections should go elsewhere. */
  get isHigh(): boolean {
    return this.smoothedMs > SHED_FROM_MS;
  }

  /** Share of new requests to turn away, from 0 to 1. */
  get shedShare(): number {
    const share = (this.smoothedMs - SHED_FROM_MS) / (SHED_ALL_MS - SHED_FROM_MS);
    return Math.min(1, Math.max(0, share));
  }
}
