import type { EventLog } from '@marjorampin/logging';
import type { Keeper, Roster } from '@marjorampin/protocol';
import { CallError, type Clock } from '@marjorampin/types';
import { ReplyLatencies } from './replyLatencies';

/** Interval between probes of unresponsive keepers. */
const PROBE_INTERVAL_MS = 500;
/** The same while too few keepers respond: callers are refused until then. */
const SHORT_PROBE_INTERVAL_MS = 200;
/** Maximum number of keepers probed at the same time. */
const PROBES_PER_ROUND = 8;
/** Time after which silent keepers are no longer probed; the next call finds out their state. */
const MAXIMUM_PROBING_MS = 12_000;
/** The same while too few keepers respond. Without an end, an entry whose keepers are all gone for good would never
 * try a call again. */
const MAXIMUM_CUT_OFF_MS = 120_000;
/** A keeper that replied within this time shows that this process reaches the keepers. */
const RECENT_REPLY_MS = 1_000;
/** Number of keepers that a check probes first, twice as many each time that none of them replies. */
const CHECKED_KEEPERS = 3;
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
  /** Returns whether so few keepers respond that silent ones are probed until more do; by default, never. */
  isCutOff?(): boolean;
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

  /** Clock time of the last reply of each keeper. */
  private readonly repliedAtMs = new Map<string, number>();

  /** Clock time of the last reply of any keeper. */
  private lastReplyAtMs = -Infinity;

  private isProbing = false;

  private isChecking = false;

  private isStopped = false;

  constructor(options: KeeperMonitorOptions) {
    this.options = options;
    this.latencies = new ReplyLatencies({ clock: options.clock });
  }

  /** Records that a keeper replied, after `latencyMs` if that is known. */
  recordReply(id: string, latencyMs?: number): void {
    if (latencyMs !== undefined) this.latencies.record(id, latencyMs);
    this.lastReplyAtMs = this.options.clock.now();
    this.repliedAtMs.set(id, this.lastReplyAtMs);
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
    if (!isSilence(error)) {
      this.recordReply(id);
      return;
    }
    if (this.unresponsive.has(id)) return;
    this.unresponsive.add(id);
    this.options.log.write('keeperUnreachable', { keeper: id, error: error.message });
    this.options.onChange();
    if (!this.isProbing) this.probeUnresponsive();
  }

  /** Records that a call which began at a clock time got no reply; the keeper counts as unresponsive if it
   * replied before, and not since. The first connection to a busy one may take longer. */
  recordTimeout(id: string, startedAtMs: number): void {
    const repliedAtMs = this.repliedAtMs.get(id);
    if (repliedAtMs === undefined || repliedAtMs >= startedAtMs) return;
    const message = 'nothing was heard from the keeper during a call';
    this.recordFailure(id, new CallError({ kind: 'deadline-exceeded', message }));
  }

  /**
   * Probes some keepers unless one has replied lately, and more until one does. Without calls, the loss of
   * the network would not show. A keeper that is silent while others reply is left to its next call.
   */
  async check(): Promise<void> {
    const { clock, roster } = this.options;
    const isHeard = clock.now() - this.lastReplyAtMs < RECENT_REPLY_MS;
    if (this.isChecking || isHeard) return;
    this.isChecking = true;
    const keepers = (roster()?.keepers ?? []).filter(({ id }) => !this.unresponsive.has(id));
    // Each process begins with another keeper.
    const first = Math.floor(Math.random() * keepers.length);
    let unchecked = [...keepers.slice(first), ...keepers.slice(0, first)];
    let count = CHECKED_KEEPERS;
    while (unchecked.length > 0 && !this.isStopped) {
      const isReached = await this.checkAll(unchecked.slice(0, count));
      unchecked = isReached ? [] : unchecked.slice(count);
      count *= 2;
    }
    this.isChecking = false;
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

  /** Probes keepers; if none replies, all of them count as unresponsive. Returns whether one replied. */
  private async checkAll(keepers: Keeper[]): Promise<boolean> {
    const { probe } = this.options;
    const failures = await Promise.all(
      keepers.map((keeper) =>
        probe(keeper).then(
          () => undefined,
          (error: unknown) => error,
        ),
      ),
    );
    const isReached = failures.some((error) => !isSilence(error));
    keepers.forEach(({ id }, index) => {
      const error = failures[index];
      if (!isSilence(error)) this.recordReply(id);
      else if (!isReached) this.recordFailure(id, error);
    });
    return isReached;
  }

  private async probeUnresponsive(): Promise<void> {
    const { clock, roster, probe, isCutOff = () => false } = this.options;
    this.isProbing = true;
    let probedMs = 0;
    while (probedMs < (isCutOff() ? MAXIMUM_CUT_OFF_MS : MAXIMUM_PROBING_MS)) {
      if (this.unresponsive.size === 0 || this.isStopped) break;
      const intervalMs = isCutOff() ? SHORT_PROBE_INTERVAL_MS : PROBE_INTERVAL_MS;
      await clock.sleep(intervalMs);
      probedMs += intervalMs;
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
        this.repliedAtMs.delete(id);
      });
  }
}

function isSilence(error: unknown): error is CallError {
  return error instanceof CallError && SILENCE_KINDS.has(error.kind);
}
