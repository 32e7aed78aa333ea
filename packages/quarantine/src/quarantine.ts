import type { EventLog } from '@marjorampin/logging';
import type { Metrics } from '@marjorampin/metrics';
import type { KeyValueStore, StoredValue, StoreError } from '@marjorampin/store';
import type { Clock, Result } from '@marjorampin/types';
import {
  addCrash,
  clearSuspect,
  countCrashes,
  liftInput,
  type NoticedCrash,
  repeatedSuspects,
} from './crashEvidence';
import {
  decodeRecord,
  EMPTY_RECORD,
  encodeRecord,
  QUARANTINE_KEY,
  type QuarantinedInput,
  type QuarantineRecord,
} from './quarantineRecord';

/** Maximum wait of one watch of the record. */
const WATCH_WAIT_MS = 30_000;
/** Delay after a failed request to the store, doubled up to the maximum. */
const MINIMUM_RETRY_MS = 50;
const MAXIMUM_RETRY_MS = 5_000;
/** Time after an answer to a suspected input in which others are collected into one write. */
const COLLECTION_MS = 300;

/** Time for which an input waits after its second crash and later ones; longer than the restart of an
 * endpoint, so that an input takes down one at a time. */
const MINIMUM_DELAY_MS = 10_000;
/** Processes end the wait at different times, so that the next crash is known before another one does. */
const DELAY_SPREAD_MS = 5_000;

type Change = (record: QuarantineRecord) => QuarantineRecord;

/** What is known of an input. */
export interface InputStanding {
  /** Number of unexplained crashes that interrupted it. */
  crashes: number;
  /** Time for which it must not be sent to an endpoint, as it was in several crashes. */
  delayMs: number;
  /** Position among the suspected inputs, the same in all processes. */
  rank: number;
  /** Defined if it is not sent to endpoints any more. */
  quarantined: QuarantinedInput | undefined;
}

/** Options of `Quarantine`. */
export interface QuarantineOptions {
  store: KeyValueStore;
  clock: Clock;
  log: EventLog;
  metrics: Metrics;
  random?: () => number;
}

const CLEAR: InputStanding = { crashes: 0, delayMs: 0, rank: 0, quarantined: undefined };

/**
 * This process's copy of the record of crashes and quarantined inputs, which all processes share in the
 * platform's store. Its own observations count at once, and are written as soon as the store replies.
 */
export class Quarantine {
  private readonly options: QuarantineOptions;

  private readonly random: () => number;

  private readonly stopped = new AbortController();

  private stored: { version: number; record: QuarantineRecord } = {
    version: 0,
    record: EMPTY_RECORD,
  };

  /** Changes that are not written yet. */
  private pending: Change[] = [];

  private current = EMPTY_RECORD;

  private quarantined = new Map<string, QuarantinedInput>();

  private suspected = new Map<string, number>();

  private readonly delayMs: number;

  private readonly crashListeners: ((endpoint: string) => void)[] = [];

  /** Clock time until which inputs wait, by digest. */
  private delayedUntilMs = new Map<string, number>();

  /** Clock time at which this process learned of each crash, by endpoint; clocks of hosts differ. */
  private learnedAtMs = new Map<string, number>();

  private isWriting = false;

  constructor(options: QuarantineOptions) {
    this.options = options;
    this.random = options.random ?? Math.random;
    this.delayMs = MINIMUM_DELAY_MS + DELAY_SPREAD_MS * this.random();
    const { metrics } = options;
    metrics.gauge('quarantined_inputs', 'inputs that are refused', () => this.quarantined.size);
    metrics.gauge('suspected_inputs', 'inputs in unexplained crashes', () => this.suspected.size);
  }

  /** Adds a listener that is called once for each crash, with the incarnation of the endpoint. */
  onCrash(listener: (endpoint: string) => void): void {
    this.crashListeners.push(listener);
  }

  /**
   * Returns what is known of a call. `digestsOf` returns the digests of its input and its target, and is
   * called only if any input is suspected or quarantined.
   */
  standingOf(digestsOf: () => string[]): InputStanding {
    if (this.quarantined.size + this.suspected.size === 0) return CLEAR;
    const digests = digestsOf();
    const quarantined = digests
      .map((digest) => this.quarantined.get(digest))
      .find((input) => input !== undefined);
    const counts = digests.map((digest) => this.suspected.get(digest) ?? 0);
    const crashes = Math.max(...counts);
    if (crashes === 0) return { ...CLEAR, quarantined };
    const suspect = digests[counts.indexOf(crashes)] ?? '';
    const untilMs = digests.map((digest) => this.delayedUntilMs.get(digest) ?? 0);
    return {
      crashes,
      delayMs: Math.max(0, Math.max(...untilMs) - this.options.clock.now()),
      rank: [...this.suspected.keys()].filter((other) => other < suspect).length,
      quarantined,
    };
  }

  /** Records a crash that this process noticed. */
  reportCrash(crash: Omit<NoticedCrash, 'atMs'>): void {
    const noticed = { ...crash, atMs: this.options.clock.wallTime() };
    this.change((record) => addCrash(record, noticed));
    this.write();
  }

  /** Records that a call ran to an answer whose input or target is suspected. */
  async reportAnswer(digests: string[]): Promise<void> {
    const { clock, log } = this.options;
    const nowMs = clock.wallTime();
    const { crashes } = this.standingOf(() => digests);
    log.write('suspicionCleared', { input: digests[0], crashes });
    this.change((record) => clearSuspect(record, digests, nowMs));
    await clock.sleep(COLLECTION_MS, this.stopped.signal).catch(() => undefined);
    await this.write();
  }

  /** Sends an input to endpoints again; resolves once that is written. */
  async lift(digest: string): Promise<void> {
    this.change((record) => liftInput(record, digest));
    await this.write();
  }

  /** Quarantined inputs, oldest first. */
  get inputs(): QuarantinedInput[] {
    return [...this.quarantined.values()];
  }

  /** Reads the record; returns the error if the store can't be read. */
  async read(): Promise<Result<void, StoreError>> {
    const read = await this.options.store.get(QUARANTINE_KEY);
    if (read.ok && read.val) this.adopt(read.val);
    return read.map(() => undefined);
  }

  /** Replaces the copy of the record if a read value is newer. */
  adopt({ value, version }: Pick<StoredValue, 'value' | 'version'>): void {
    if (version <= this.stored.version) return;
    const record = decodeRecord(value);
    if (!record) this.options.log.write('quarantineUnreadable', { revision: version });
    this.stored = { version, record: record ?? this.stored.record };
    this.refresh();
  }

  /** Follows the record until `stop`. */
  async follow(): Promise<void> {
    const { store, clock } = this.options;
    const { signal } = this.stopped;
    let revision = 0;
    let failures = 0;
    while (!signal.aborted) {
      const changes = await store.watch(QUARANTINE_KEY, revision, WATCH_WAIT_MS);
      if (changes.ok) {
        failures = 0;
        revision = Math.max(revision, changes.val.revision);
        changes.val.values.forEach((each) => this.adoptIfOwn(each));
      } else {
        failures += 1;
        await clock.sleep(this.retryDelayMs(failures), signal).catch(() => undefined);
      }
    }
  }

  /** Stops following the record and writing to it. */
  stop(): void {
    this.stopped.abort();
  }

  private adoptIfOwn(stored: StoredValue): void {
    if (stored.key === QUARANTINE_KEY) this.adopt(stored);
  }

  private change(change: Change): void {
    this.pending.push(change);
    this.refresh();
  }

  private refresh(): void {
    this.current = this.pending.reduce((record, change) => change(record), this.stored.record);
    const previous = this.quarantined;
    this.quarantined = new Map(this.current.inputs.map((input) => [input.digest, input]));
    this.suspected = countCrashes(this.current);
    this.updateDelays();
    this.logChanges(previous);
  }

  private updateDelays(): void {
    const nowMs = this.options.clock.now();
    const endpoints = this.current.crashes.map(({ endpoint }) => endpoint);
    const added = endpoints.filter((endpoint) => !this.learnedAtMs.has(endpoint));
    this.learnedAtMs = new Map(
      endpoints.map((endpoint) => [endpoint, this.learnedAtMs.get(endpoint) ?? nowMs]),
    );
    this.delayedUntilMs = new Map(
      [...repeatedSuspects(this.current)].map(([digest, crashes]) => {
        const learnedMs = crashes.map(({ endpoint }) => this.learnedAtMs.get(endpoint) ?? nowMs);
        return [digest, Math.max(...learnedMs) + this.delayMs];
      }),
    );
    added.forEach((endpoint) => this.crashListeners.forEach((listener) => listener(endpoint)));
  }

  private logChanges(previous: Map<string, QuarantinedInput>): void {
    const { log } = this.options;
    this.quarantined.forEach(({ digest, route, service, endpoints, sinceMs }) => {
      if (previous.has(digest)) return;
      const fields = { input: digest, route, service, endpoints: endpoints.join(' '), sinceMs };
      log.write('inputQuarantined', fields);
    });
    previous.forEach(({ digest, route }) => {
      if (!this.quarantined.has(digest)) log.write('quarantineLifted', { input: digest, route });
    });
  }

  /** Writes the pending changes; retries until the store has accepted them. */
  private async write(): Promise<void> {
    if (this.isWriting) return;
    this.isWriting = true;
    const { store, clock, log } = this.options;
    const { signal } = this.stopped;
    let failures = 0;
    while (this.pending.length > 0 && !signal.aborted) {
      const written = this.pending.length;
      const value = encodeRecord(this.current);
      const expectedVersion = this.stored.version;
      const swap = await store.compareAndSwap({ key: QUARANTINE_KEY, value, expectedVersion });
      if (swap.ok) {
        this.pending = this.pending.slice(written);
        this.adopt({ value, version: swap.val });
        this.refresh();
        failures = 0;
      } else {
        failures += 1;
        if (swap.val.kind !== 'conflict' && failures === 1) {
          log.write('quarantineNotWritten', { reason: swap.val.message });
        }
        await clock.sleep(this.retryDelayMs(failures), signal).catch(() => undefined);
        await this.read();
      }
    }
    this.isWriting = false;
  }

  /** Spreads the retries of processes that noticed the same crash. */
  private retryDelayMs(failures: number): number {
    const delayMs = Math.min(MAXIMUM_RETRY_MS, MINIMUM_RETRY_MS * 2 ** (failures - 1));
    return delayMs * this.random();
  }
}
