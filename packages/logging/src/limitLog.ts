import type { EventLog } from './eventLog';

/** Shortest time between two lines: a client can reach a limit thousands of times a second. */
const LOG_INTERVAL_MS = 1_000;

/** Time in milliseconds. */
interface MonotonicClock {
  now(): number;
}

/** Logs that servers reached their limits on connections, at most one line a second. */
export class LimitLog {
  private readonly log: EventLog;

  private readonly clock: MonotonicClock;

  private lastMs = -Infinity;

  private unloggedCount = 0;

  constructor({ log, clock }: { log: EventLog; clock: MonotonicClock }) {
    this.log = log;
    this.clock = clock;
  }

  /** Records what a server did at its limit. */
  record(server: string, action: string): void {
    const nowMs = this.clock.now();
    this.unloggedCount += 1;
    if (nowMs - this.lastMs < LOG_INTERVAL_MS) return;
    this.lastMs = nowMs;
    this.log.write('connectionsLimited', { server, action, times: this.unloggedCount });
    this.unloggedCount = 0;
  }
}
