import { Clock } from '@marjorampin/types';

interface Sleeper {
  dueMs: number;
  order: number;
  wake(): void;
}

/** A clock that jumps from event to event, so that long loads take little time. */
export class EventClock extends Clock {
  private timeMs = 0;

  private order = 0;

  /** Binary heap by due time, then by order of arrival. */
  private readonly heap: Sleeper[] = [];

  override now(): number {
    return this.timeMs;
  }

  override wallTime(): number {
    return this.timeMs;
  }

  override sleep(ms: number): Promise<void> {
    return new Promise((wake) => {
      this.order += 1;
      this.add({ dueMs: this.timeMs + Math.max(0, ms), order: this.order, wake });
    });
  }

  /** Runs events until `done` says so or nobody sleeps. */
  async runUntil(done: () => boolean): Promise<void> {
    while (!done()) {
      const next = this.take();
      if (!next) return;
      this.timeMs = next.dueMs;
      next.wake();
      // The woken task runs until it sleeps again.
      await new Promise((resolve) => {
        setImmediate(resolve);
      });
    }
  }

  private add(sleeper: Sleeper): void {
    const { heap } = this;
    heap.push(sleeper);
    let index = heap.length - 1;
    while (index > 0) {
      const parent = Math.floor((index - 1) / 2);
      if (isBefore(heap[parent], sleeper)) break;
      heap[index] = heap[parent] as Sleeper;
      index = parent;
    }
    heap[index] = sleeper;
  }

  private take(): Sleeper | undefined {
    const { heap } = this;
    const [first] = heap;
    const last = heap.pop();
    if (!last || heap.length === 0) return first;
    let index = 0;
    for (;;) {
      const left = 2 * index + 1;
      const right = left + 1;
      const child =
        right < heap.length && isBefore(heap[right], heap[left] as Sleeper) ? right : left;
      if (child >= heap.length || isBefore(last, heap[child] as Sleeper)) break;
      heap[index] = heap[child] as Sleeper;
      index = child;
    }
    heap[index] = last;
    return first;
  }
}

function isBefore(one: Sleeper | undefined, other: Sleeper): boolean {
  if (!one) return false;
  return one.dueMs < other.dueMs || (one.dueMs === other.dueMs && one.order < other.order);
}
