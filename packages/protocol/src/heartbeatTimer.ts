import { HEARTBEAT_INTERVAL_MS } from './peerChannel';

/** Timer that ticks at the heartbeat interval only while a stream is supervised. */
export class HeartbeatTimer {
  private readonly tick: () => boolean;

  private timer: NodeJS.Timeout | undefined;

  private isStopped = false;

  /** `tick` returns whether the timer has to continue. */
  constructor(tick: () => boolean) {
    this.tick = tick;
  }

  /** Starts the timer unless it is running or was stopped. */
  start(): void {
    if (this.timer || this.isStopped) return;
    this.timer = setInterval(() => {
      if (this.tick()) return;
      clearInterval(this.timer);
      this.timer = undefined;
    }, HEARTBEAT_INTERVAL_MS);
  }

  /** Stops the timer permanently. */
  stop(): void {
    this.isStopped = true;
    clearInterval(this.timer);
    this.timer = undefined;
  }
}
