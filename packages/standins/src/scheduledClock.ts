import { Clock } from '@marjorampin/types';

/** Decides the order in which tasks continue, as fast-check's scheduler does. */
export interface TaskScheduler {
  schedule<Value>(task: Promise<Value>): Promise<Value>;
}

/** A clock whose sleeps end in the order that a scheduler chooses. */
export class ScheduledClock extends Clock {
  private timeMs = 0;

  private readonly scheduler: TaskScheduler;

  private readonly stepMs: number;

  /**
   * With `stepMs`, a sleep schedules one task for each step of this length that it begins, so that
   * longer sleeps tend to end later. Without it, every sleep schedules one task.
   */
  constructor(scheduler: TaskScheduler, { stepMs = Infinity }: { stepMs?: number } = {}) {
    super();
    this.scheduler = scheduler;
    this.stepMs = stepMs;
  }

  override now(): number {
    return this.timeMs;
  }

  override wallTime(): number {
    return this.timeMs;
  }

  override async sleep(ms: number): Promise<void> {
    let leftMs = ms;
    do {
      await this.scheduler.schedule(Promise.resolve());
      leftMs -= this.stepMs;
    } while (leftMs > 0);
    this.timeMs += ms;
  }
}
