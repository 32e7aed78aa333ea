import type { EventLog } from '@marjorampin/logging';
import type { PeerConnections } from '@marjorampin/protocol';
import { readTimeOf, RETRY_DELAY_MS, type WatchedPrefix } from '@marjorampin/store';
import type { Clock } from '@marjorampin/types';
import { requestValues } from './listedValues';

/** Time for the store to reply before seeds are asked; a store that replies does so much earlier. */
const HEAD_START_MS = 100;

/** Values that were read this much later are newer ones; less is due to the times of messages. */
const NEWER_MS = 100;
/** Longest delay between two rounds, as a multiple of the interval, while nobody reads newer values. */
const LONGEST_DELAY_FACTOR = 8;

/** Options of `SeedValues`. */
export interface SeedValuesOptions {
  /** Addresses of processes that may know the values, `IP:port`; they may be outdated. */
  seeds: string[];
  peers: PeerConnections;
  /** Receives the values. */
  values: WatchedPrefix;
  clock: Clock;
  log: EventLog;
  /** Time within which a seed has to reply. */
  timeoutMs: number;
  /** Delay between two rounds while seeds have newer values each time. */
  intervalMs: number;
}

/** Gets the values of the store from other processes when this one starts and the store does not reply. */
export class SeedValues {
  private readonly options: SeedValuesOptions;

  /** Last error of each seed. */
  private readonly errors = new Map<string, string>();

  constructor(options: SeedValuesOptions) {
    this.options = options;
  }

  /** Asks all seeds, one after the other, until this process has read the store. */
  async run(): Promise<void> {
    const { seeds, values, clock, intervalMs } = this.options;
    if (seeds.length === 0) return;
    await clock.sleep(HEAD_START_MS);
    let delayMs = RETRY_DELAY_MS;
    while (!values.hasRead) {
      const { readAtMs } = this;
      for (const seed of seeds) {
        if (!values.hasRead) await this.ask(seed);
      }
      const isNewer = this.readAtMs - readAtMs > NEWER_MS;
      const longestMs = intervalMs * (values.snapshot ? LONGEST_DELAY_FACTOR : 1);
      delayMs = isNewer ? intervalMs : Math.min(2 * delayMs, longestMs);
      await clock.sleep(delayMs);
    }
  }

  /** Clock time at which the values were read; infinitely early before the first ones. */
  private get readAtMs(): number {
    return this.options.values.snapshot?.readAt.monotonicMs ?? -Infinity;
  }

  private async ask(seed: string): Promise<void> {
    const { peers, values, clock, log, timeoutMs } = this.options;
    const sentAt = readTimeOf(clock);
    try {
      const snapshot = await requestValues(peers, seed, { clock, timeoutMs });
      const isFirst = values.snapshot === undefined;
      values.applyEarlier({ readAt: sentAt, ...snapshot });
      const ageMs = Math.round(values.ageMs);
      if (isFirst) log.write('valuesFromSeed', { seed, ageMs, revision: snapshot.revision });
      this.errors.delete(seed);
    } catch (error) {
      this.logFailure(seed, String(error));
    }
  }

  /** Logs why a seed failed, once until the reason changes. */
  private logFailure(seed: string, error: string): void {
    if (this.errors.get(seed) === error) return;
    this.errors.set(seed, error);
    this.options.log.write('seedFailed', { seed, error });
  }
}
