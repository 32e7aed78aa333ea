import type { Clock } from '@marjorampin/types';

/** Interval of the measurements of event-loop lag. */
const SAMPLE_INTERVAL_MS = 100;
/** Weight of a new sample: half a second of lag raises the average, a single long sample hardly. */
const SAMPLE_WEIGHT = 0.25;
/** Lag above which a share of requests is refused: a few round trips within a failure domain. */
const SHED_ABOVE_MS = 60;
/** Lag at which all requests are refused: about the latency objective of the first event. */
const SHED_ALL_MS = 240;

/** Options of `LoopLag`. */
export interface LoopLagOptions {
  clock: Clock;
  /** Called after each sample. */
  onSample?: () => void;
}

/** Measures event-loop lag, so that a slow host sheds requests that others can serve sooner. */
export class LoopLag {
  private readonly clock: Clock;

  private readonly onSample: () => void;

  private readonly stopped = new AbortController();

  private smoothedMs = 0;

  private latestSampleMs = 0;

  constructor({ clock, onSample = () => undefined }: LoopLagOptions) {
    this.clock = clock;
    this.onSample = onSample;
  }

  /** Measures until `stop` is called. */
  async run(): Promise<void> {
    while (!this.stopped.signal.aborted) {
      const dueMs = this.clock.now() + SAMPLE_INTERVAL_MS;
      await this.clock.sleep(SAMPLE_INTERVAL_MS, this.stopped.signal).catch(() => undefined);
      this.addSample(this.clock.now() - dueMs);
      this.onSample();
    }
  }

  /** Stops measuring. */
  stop(): void {
    this.stopped.abort();
  }

  /** Adds a sample to the smoothed lag; a negative one counts as 0. */
  addSample(lagMs: number): void {
    this.latestSampleMs = lagMs;
    this.smoothedMs += (Math.max(0, lagMs) - this.smoothedMs) * SAMPLE_WEIGHT;
  }

  /** Smoothed lag in milliseconds. */
  get ms(): number {
    return this.smoothedMs;
  }

  /** Whether the loop was late at the last measurement, so that what is read now has waited. */
  get isBehind(): boolean {
    return this.latestSampleMs > SHED_ABOVE_MS;
  }

  /** Whether new connections should go to other entries. */
  get isHigh(): boolean {
    return this.smoothedMs > SHED_ABOVE_MS;
  }

  /** Share of new requests to refuse, from 0 to 1. */
  get shedShare(): number {
    const share = (this.smoothedMs - SHED_ABOVE_MS) / (SHED_ALL_MS - SHED_ABOVE_MS);
    return Math.min(1, Math.max(0, share));
  }
}
