import type { EventLog } from '@marjorampin/logging';
import type { Keeper, Roster } from '@marjorampin/protocol';
import type { Clock } from '@marjorampin/types';

/** Interval between two checks of the keepers. */
const CHECK_INTERVAL_MS = 400;
/** Above the longest interval between two frames of a live peer, which is the sum of the peer
 * protocol's `HEARTBEAT_INTERVAL_MS` and `HEARTBEAT_SUPPRESSION_MS`. */
const UNRESPONSIVE_AFTER_MS = 1_000;

/** Options of `KeeperMonitor`. */
export interface KeeperMonitorOptions {
  clock: Clock;
  log: EventLog;
  /** Number of keepers that may be unresponsive while turns are still served. */
  lossLimit: number;
  /** Returns the newest roster, or undefined before the first one. */
  roster(): Roster | undefined;
  /** Returns the milliseconds since the last frame from a keeper. */
  sinceReceivedMs(keeper: Keeper): number;
}

/** Monitors whether this process reaches enough keepers to serve turns. */
export class KeeperMonitor {
  private readonly options: KeeperMonitorOptions;

  private readonly stopped = new AbortController();

  private unresponsive = new Set<string>();

  private checkedAtMs = -Infinity;

  private disconnected = false;

  constructor(options: KeeperMonitorOptions) {
    this.options = options;
  }

  /** Whether too few keepers respond to serve turns: more than `lossLimit` are unresponsive. */
  get isDisconnected(): boolean {
    return this.disconnected;
  }

  /** Returns whether a keeper was unresponsive at the last check. */
  isUnresponsive(id: string): boolean {
    return this.unresponsive.has(id);
  }

  /** Checks the keepers periodically until `stop`. */
  async run(): Promise<void> {
    const { clock } = this.options;
    while (!this.stopped.signal.aborted) {
      this.check();
      await clock.sleep(CHECK_INTERVAL_MS, this.stopped.signal).catch(() => undefined);
    }
  }

  /** Ends the periodic checks. */
  stop(): void {
    this.stopped.abort();
  }

  /** Checks every keeper once. */
  check(): void {
    const { roster, lossLimit, log, sinceReceivedMs, clock } = this.options;
    const lateMs = clock.now() - this.checkedAtMs - CHECK_INTERVAL_MS;
    this.checkedAtMs = clock.now();
    // After this process was paused, frames that keepers sent in the meantime are still unread.
    if (lateMs > CHECK_INTERVAL_MS && lateMs < Infinity) return;
    const keepers = roster()?.keepers ?? [];
    const unresponsive = keepers.filter(
      (keeper) => sinceReceivedMs(keeper) > UNRESPONSIVE_AFTER_MS,
    );
    this.unresponsive = new Set(unresponsive.map(({ id }) => id));
    const isDisconnected = unresponsive.length > lossLimit;
    if (isDisconnected !== this.disconnected) {
      log.write(isDisconnected ? 'keepersLost' : 'keepersRegained', {
        silent: unresponsive.length,
      });
    }
    this.disconnected = isDisconnected;
  }
}
