import { Clock } from '@marjorampin/types';

interface PendingSleep {
  dueMs: number;
  order: number;
  wake(): void;
}

/** A simulated clock that jumps to the next due event, which makes long workloads quick to run. */
export class EventClock extends Clock {
  private timeMs = 0;

  private order = 0;

  /** Binary heap of pending sleeps by due time, then by order of the calls. */
  private readonly heap: PendingSleep[] = [];

  override now(): number {
    return this.timeMs;
  }

  override wallTime(): number {
    return this.timeMs;
  }

  override sleep(ms: number): Promise<void> {
    return new Promise((wake) => {
      this.order += 1;
      this.insert({ dueMs: this.timeMs + Math.max(0, ms), order: this.order, wake });
    });
  }

  /** Runs events in order of time until `isDone` returns true or no sleep is pending. */
  async runUntil(isDone: () => boolean): Promise<void> {
    while (!isDone()) {
      const next = this.removeNext();
      if (!next) return;
      this.timeMs = next.dueMs;
      next.wake();
      // Lets the task that was resumed run until it sleeps again.
      await new Promise((resolve) => {
        setImmediate(resolve);
      });
    }
  }

  private insert(pending: PendingSleep): void {
    const { heap } = this;
    heap.push(pending);
    let index = heap.length - 1;
    while (index > 0) {
      const parent = Math.floor((index - 1) / 2);
      if (isBefore(heap[parent], pending)) break;
      heap[index] = heap[parent] as PendingSleep;
      index = parent;
    }
    heap[index] = pending;
  }

  private removeNext(): PendingSleep | undefined {
    const { heap } = this;
    const [first] = heap;
    const last = heap.pop();
    if (!last || heap.length === 0) return first;
    let index = 0;
    for (;;) {
      const left = 2 * index + 1;
      const right = left + 1;
      const child =
        right < heap.length && isBefore(heap[right], heap[left] as PendingSleep) ? right : left;
      if (child >= heap.length || isBefore(last, heap[child] as PendingSleep)) break;
      heap[index] = heap[child] as PendingSleep;
      index = child;
    }
    heap[index] = last;
    return first;
  }
}

function isBefore(one: PendingSleep | undefined, other: PendingSleep): boolean {
  if (!one) return false;
  return one.dueMs < other.dueMs || (one.dueMs === other.dueMs && one.order < other.order);
}
