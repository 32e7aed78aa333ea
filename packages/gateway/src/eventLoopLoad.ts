/** Time over which the utilization is measured. */
const WINDOW_MS = 500;

/** Milliseconds that an event loop was active and idle since it started. */
export interface LoopTimes {
  active: number;
  idle: number;
}

/** Measures the share of time during which the event loop is busy. Answers a saturated host: few
 * connections are accepted in each iteration of the loop, so others wait while timers are punctual. */
export class EventLoopLoad {
  private readonly sample: () => LoopTimes;

  /** Samples of the window, oldest first. */
  private samples: LoopTimes[] = [];

  constructor({ sample }: { sample(): LoopTimes }) {
    this.sample = sample;
  }

  /** Takes a sample; called several times in each window. */
  update(): void {
    const latest = this.sample();
    this.samples.push(latest);
    const startMs = elapsedMs(latest) - WINDOW_MS;
    // The last sample before the window is its start.
    while (this.samples.length > 2 && elapsedMs(this.samples[1]!) <= startMs) this.samples.shift();
  }

  /** Utilization over the last half second, from 0 to 1. */
  get utilization(): number {
    const [first] = this.samples;
    const last = this.samples.at(-1);
    if (!first || !last || elapsedMs(last) <= elapsedMs(first)) return 0;
    const share = (last.active - first.active) / (elapsedMs(last) - elapsedMs(first));
    return Math.min(1, Math.max(0, share));
  }
}

function elapsedMs({ active, idle }: LoopTimes): number {
  return active + idle;
}
