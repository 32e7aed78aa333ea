import { setTimeout as delay } from 'node:timers/promises';

/** Source of time, so that tests can run on a clock of their own. */
export abstract class Clock {
  /** Returns milliseconds since an arbitrary start; never goes back. */
  abstract now(): number;

  /** Returns milliseconds since 1970 for values that leave the process. */
  abstract wallTime(): number;

  /** Resolves after `ms` milliseconds, or rejects when `signal` aborts. */
  abstract sleep(ms: number, signal?: AbortSignal): Promise<void>;

  /** Calls back after `ms` milliseconds unless the returned function is called before. */
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

/** The clock of the machine. */
export class SystemClock extends Clock {
  override now(): number {
    return performance.now();
  }

  override wallTime(): number {
    return Date.now();
  }

  override async sleep(ms: number, signal?: AbortSignal): Promise<void> {
    await delay(ms, undefined, { signal });
  }

  override after(ms: number, callback: () => void): () => void {
    const timer = setTimeout(callback, ms);
    return () => clearTimeout(timer);
  }
}

/** A clock that moves only when `advance` is called. */
export class ManualClock extends Clock {
  private timeMs = 0;

  private sleepers: { due: number; wake: () => void }[] = [];

  override now(): number {
    return this.timeMs;
  }

  override wallTime(): number {
    return this.timeMs;
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

  /** Returns the time of the next sleeper, or undefined when nobody sleeps. */
  nextDue(): number | undefined {
    if (this.sleepers.length === 0) return undefined;
    return Math.min(...this.sleepers.map((sleeper) => sleeper.due));
  }

  /** Moves time forward and wakes sleepers in the order of their due times. */
  async advance(ms: number): Promise<void> {
    const target = this.timeMs + ms;
    let due = this.nextDue();
    while (due !== undefined && due <= target) {
      this.timeMs = Math.max(this.timeMs, due);
      const ready = this.sleepers.filter((sleeper) => sleeper.due <= this.timeMs);
      this.sleepers = this.sleepers.filter((sleeper) => sleeper.due > this.timeMs);
      ready.forEach((sleeper) => sleeper.wake());
      // Let the woken tasks run until they sleep again.
      await new Promise((resolve) => {
        setImmediate(resolve);
      });
      due = this.nextDue();
    }
    this.timeMs = target;
  }
}
