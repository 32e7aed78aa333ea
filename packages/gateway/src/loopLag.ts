import type { Clock } from '@marjorampin/types';

/** How often the lag of the event loop is measured. */
const SAMPLE_INTERVAL_MS = 100;
/** Weight of a new sample: a burst of half a second counts, a single pause hardly does. */
const SAMPLE_WEIGHT = 0.25;
/** Lag from which requests are turned away, a few round trips within a domain. */
const SHED_ABOVE_MS = 60;
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
      const dueMs = this.clock.now() + SAMPLE_INTERVAL_MS;
      await this.clock.sleep(SAMPLE_INTERVAL_MS, this.stopped.signal).catch(() => undefined);
      this.addSample(this.clock.now() - dueMs);
    }
  }

  /** Ends the measurement. */
  stop(): void {
    this.stopped.abort();
  }

  /** Takes in one sample. */
  addSample(lagMs: number): void {
    this.smoothedMs += (Math.max(0, lagMs) - this.smoothedMs) * SAMPLE_WEIGHT;
  }

  /** Smoothed lag in milliseconds. */
  get ms(): number {
    return this.smoothedMs;
  }

  /** New connections should go elsewhere. */
  get isHigh(): boolean {
    return this.smoothedMs > SHED_ABOVE_MS;
  }

  /** Share of new requests to turn away, from 0 to 1. */
  get shedShare(): number {
    const share = (this.smoothedMs - SHED_ABOVE_MS) / (SHED_ALL_MS - SHED_ABOVE_MS);
    return Math.min(1, Math.max(0, share));
  }
}
