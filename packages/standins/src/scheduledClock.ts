import { Clock } from '@marjorampin/types';

/** Lets tasks go on in an order of its own, as fast-check's scheduler does. */
export interface TaskScheduler {
  schedule<Value>(task: Promise<Value>): Promise<Value>;
}

/** A clock on which sleeps end in any order that a scheduler chooses. */
export class ScheduledClock extends Clock {
  private timeMs = 0;

  private readonly scheduler: TaskScheduler;

  private readonly stepMs: number;

  /** With `stepMs`, longer sleeps lose more races: one for each step that they last. */
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
