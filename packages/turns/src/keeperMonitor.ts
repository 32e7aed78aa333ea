import type { EventLog } from '@marjorampin/logging';
import type { Keeper, Roster } from '@marjorampin/protocol';
import { CallError, type Clock } from '@marjorampin/types';
import { ReplyLatencies } from './replyLatencies';

/** Interval between probes of unresponsive keepers. */
const PROBE_INTERVAL_MS = 500;
/** Maximum number of keepers probed at the same time. */
const PROBES_PER_ROUND = 8;
/** Rounds after which silent keepers are no longer probed; the next call finds out their state. */
const MAXIMUM_ROUNDS = 24;
/** Errors that show that nothing was heard from a keeper; others are replies. */
const SILENCE_KINDS = new Set(['connection-lost', 'deadline-exceeded']);

/** Options of `KeeperMonitor`. */
export interface KeeperMonitorOptions {
  clock: Clock;
  log: EventLog;
  /** Returns the newest roster, or undefined before the first one. */
  roster(): Roster | undefined;
  /** Called when a keeper becomes unresponsive or responsive again. */
  onChange(): void;
  /** Resolves when a keeper replies and rejects when it is silent. */
  probe(keeper: Keeper): Promise<unknown>;
}

/**
 * Tracks which keepers respond, from the outcomes of this process's calls. Only keepers that failed
 * to respond are probed, so a process without calls or failures sends nothing.
 */
export class KeeperMonitor {
  private readonly options: KeeperMonitorOptions;

  private readonly unresponsive = new Set<string>();

  private readonly latencies: ReplyLatencies;

  private isProbing = false;

  private isStopped = false;

  constructor(options: KeeperMonitorOptions) {
    this.options = options;
    this.latencies = new ReplyLatencies({ clock: options.clock });
  }

  /** Records that a keeper replied, after `latencyMs` if that is known. */
  recordReply(id: string, latencyMs?: number): void {
    if (latencyMs !== undefined) this.latencies.record(id, latencyMs);
    if (!this.unresponsive.delete(id)) return;
    this.options.log.write('keeperReachable', { keeper: id });
    this.options.onChange();
  }

  /** Records that a keeper has not replied for `waitedMs`, although most keepers would have. */
  recordDelay(id: string, waitedMs: number): void {
    this.latencies.record(id, waitedMs);
  }

  /** Records a failed call; the keeper counts as unresponsive if nothing was heard from it. */
  recordFailure(id: string, error: unknown): void {
    if (!(error instanceof CallError) || !SILENCE_KINDS.has(error.kind)) {
      this.recordReply(id);
      return;
    }
    if (this.unresponsive.has(id)) return;
    this.unresponsive.add(id);
    this.options.log.write('keeperUnreachable', { keeper: id, error: error.message });
    this.options.onChange();
    if (!this.isProbing) this.probeUnresponsive();
  }

  /** Returns whether a keeper's last call failed without anything heard from it. */
  isUnresponsive(id: string): boolean {
    return this.unresponsive.has(id);
  }

  /** Returns the expected latency of a keeper's reply in milliseconds; infinite if it is
   * unresponsive, `usualMs` if nothing is known. */
  expectedMs(id: string, usualMs: number): number {
    return this.unresponsive.has(id) ? Infinity : this.latencies.expectedMs(id, usualMs);
  }

  /** Returns whether `quorum` keepers of a group respond. */
  hasQuorum(group: Keeper[], quorum: number): boolean {
    const responding = group.filter(({ id }) => !this.unresponsive.has(id));
    return responding.length >= quorum;
  }

  /** Ends the probes. */
  stop(): void {
    this.isStopped = true;
  }

  private async probeUnresponsive(): Promise<void> {
    const { clock, roster, probe } = this.options;
    this.isProbing = true;
    for (let round = 0; round < MAXIMUM_ROUNDS; round += 1) {
      if (this.unresponsive.size === 0 || this.isStopped) break;
      await clock.sleep(PROBE_INTERVAL_MS);
      const keepers = new Map((roster()?.keepers ?? []).map((keeper) => [keeper.id, keeper]));
      this.forgetRemoved(keepers);
      const probed = [...this.unresponsive].slice(0, PROBES_PER_ROUND);
      await Promise.all(
        probed.map(async (id) => {
          const keeper = keepers.get(id);
          if (!keeper) return;
          // A silent keeper moves to the end of the order, so that all of them are probed in turn.
          await probe(keeper).then(
            () => this.recordReply(id),
            () => this.moveToEnd(id),
          );
        }),
      );
    }
    this.isProbing = false;
    this.unresponsive.clear();
    this.options.onChange();
  }

  private moveToEnd(id: string): void {
    if (this.unresponsive.delete(id)) this.unresponsive.add(id);
  }

  private forgetRemoved(keepers: Map<string, Keeper>): void {
    [...this.unresponsive]
      .filter((id) => !keepers.has(id))
      .forEach((id) => {
        this.unresponsive.delete(id);
        this.latencies.forget(id);
      });
  }
}
