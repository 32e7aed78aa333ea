import { setTimeout as delay } from 'node:timers/promises';

/** Longest time of a timer of Node.js, 24.8 days; a longer one would end at once. */
export const MAXIMUM_TIMER_MS = 2 ** 31 - 1;

/** Source of time and timers; tests and simulations replace it with simulated clocks. */
export abstract class Clock {
  /** Returns the milliseconds since an arbitrary start; monotonic. */
  abstract now(): number;

  /** Returns the milliseconds since 1970, for values that leave the process; may jump. */
  abstract wallTime(): number;

  /** Resolves after `ms` milliseconds; rejects when `signal` aborts earlier. */
  abstract sleep(ms: number, signal?: AbortSignal): Promise<void>;

  /** Calls `callback` after `ms` milliseconds; the returned function cancels the call. */
  after(ms: number, callback: () => void): () => void {
    let isCancelled = false;
    this.sleep(ms).then(() => {
      if (!isCancelled) callback();
    });
    return () => {
      isCancelled = true;
    };
  }
}

/** Clock of the operating system. A wait ends after `MAXIMUM_TIMER_MS` at the latest. */
export class SystemClock extends Clock {
  override now(): number {
    return performance.now();
  }

  override wallTime(): number {
    return Date.now();
  }

  override async sleep(ms: number, signal?: AbortSignal): Promise<void> {
    await delay(Math.min(ms, MAXIMUM_TIMER_MS), undefined, { signal });
  }

  override after(ms: number, callback: () => void): () => void {
    const timer = setTimeout(callback, Math.min(ms, MAXIMUM_TIMER_MS));
    return () => clearTimeout(timer);
  }
}

/** Simulated clock; its time starts at 0 and changes only through `advance`. */
export class ManualClock extends Clock {
  /** Milliseconds by which the wall time is ahead of the time since the start. */
  wallOffsetMs = 0;

  private timeMs = 0;

  private sleepers: { due: number; wake: () => void }[] = [];

  override now(): number {
    return this.timeMs;
  }

  override wallTime(): number {
    return this.timeMs + this.wallOffsetMs;
  }

  override sleep(ms: number, signal?: AbortSignal): Promise<void> {
    return new Promise((resolve, reject) => {
      if (signal?.aborted) {
        reject(signal.reason);
        return;
      }
      const sleeper = { due: this.timeMs + ms, wake: resolve };
      this.sleepers.push(sleeper);
      signal?.addEventListener('abort', () => {
        this.sleepers = this.sleepers.filter((other) => other !== sleeper);
        reject(signal.reason);
      });
    });
  }

  /** Number of pending sleeps. */
  get pendingCount(): number {
    return this.sleepers.length;
  }

  /** Returns the time in milliseconds of the next wake-up, or undefined if no sleep is pending. */
  nextDue(): number | undefined {
    if (this.sleepers.length === 0) return undefined;
    return Math.min(...this.sleepers.map((sleeper) => sleeper.due));
  }

  /** Advances the time by `ms` milliseconds; resolves pending sleeps in the order of due time. */
  async advance(ms: number): Promise<void> {
    const target = this.timeMs + ms;
    let due = this.nextDue();
    while (due !== undefined && due <= target) {
      this.timeMs = Math.max(this.timeMs, due);
      const ready = this.sleepers.filter((sleeper) => sleeper.due <= this.timeMs);
      this.sleepers = this.sleepers.filter((sleeper) => sleeper.due > this.timeMs);
      ready.forEach((sleeper) => sleeper.wake());
      // Lets the resumed tasks run until their next sleep.
      await new Promise((resolve) => {
        setImmediate(resolve);
      });
      due = this.nextDue();
    }
    this.timeMs = target;
  }
}
