import type { Clock } from '@marjorampin/types';
import type { Changes, EarlierSnapshot, KeyValueStore, StoredValue } from './keyValueStore';
import { ageOf, type ReadTime, readTimeOf } from './readTime';

const WATCH_WAIT_MS = 30_000;
/** Delay after a failed request, doubled up to the interval while polls fail; avoids a tight loop when the store rejects requests immediately. */
export const RETRY_DELAY_MS = 100;

/** Time for a read while earlier ones fail, after which another one begins beside it: a store that is back
 * is noticed at once, also if it never replies to what it was sent before. */
const OVERLAP_MS = 500;

/** Options of `WatchedPrefix`. */
export interface WatchedPrefixOptions {
  store: KeyValueStore;
  prefix: string;
  clock: Clock;
  /** Maximum wait of one watch request; an unresponsive connection is detected soon after. */
  waitMs?: number;
  /** Lists all values at this interval instead of watching, which bounds the delay of changes. */
  pollIntervalMs?: number;
}

/** A local copy of all values under a prefix; keeps the last known state while the store is down. */
export class WatchedPrefix {
  private readonly options: WatchedPrefixOptions;

  private readonly values = new Map<string, StoredValue>();

  private readonly listeners: (() => void)[] = [];

  private readonly failureListeners: (() => void)[] = [];

  private readonly stopped = new AbortController();

  private revision = 0;

  /** When the values were last read from the store, by this process or by another one. */
  private confirmedAt: ReadTime | undefined;

  private isRead = false;

  constructor(options: WatchedPrefixOptions) {
    this.options = options;
  }

  /** Reads the current state, retrying until it succeeds, then follows changes in the background. */
  async start(): Promise<void> {
    const { clock, pollIntervalMs } = this.options;
    while (!this.stopped.signal.aborted) {
      if (await this.listSoon()) break;
      await clock.sleep(RETRY_DELAY_MS, this.stopped.signal).catch(() => undefined);
    }
    if (pollIntervalMs === undefined) this.follow();
    else this.poll(pollIntervalMs);
  }

  /** Milliseconds since the copy was last known to match the store. */
  get ageMs(): number {
    return this.options.clock.now() - (this.confirmedAt?.monotonicMs ?? -Infinity);
  }

  /** The same by the monotonic or the wall clock, whichever shows the longer time: the first does not count
   * pauses of the process, and the second may step backwards. */
  get longestAgeMs(): number {
    return this.confirmedAt ? ageOf(this.confirmedAt, this.options.clock) : Infinity;
  }

  /** Whether the store has replied since the start, to this process or to one that read it for this one. */
  get hasRead(): boolean {
    return this.isRead;
  }

  /** The values with the time of their read; undefined before the first ones. */
  get snapshot(): EarlierSnapshot | undefined {
    const { confirmedAt: readAt, revision } = this;
    return readAt && { revision, values: this.all(), readAt };
  }

  /** Stops following changes. */
  stop(): void {
    this.stopped.abort();
  }

  /** Adds a listener that is called after every change. */
  onChange(listener: () => void): void {
    this.listeners.push(listener);
  }

  /** Adds a listener that is called after every failed read. */
  onFailure(listener: () => void): void {
    this.failureListeners.push(listener);
  }

  /** Returns the last known value of a key. */
  get(key: string): StoredValue | undefined {
    return this.values.get(key);
  }

  /** Returns the last known values of all keys. */
  all(): StoredValue[] {
    return [...this.values.values()];
  }

  /** Applies a value that this process has written or read, without waiting for the next update. */
  applyWrite(stored: StoredValue): void {
    const current = this.values.get(stored.key);
    if (current && current.version >= stored.version) return;
    this.values.set(stored.key, stored);
    this.listeners.forEach((listener) => listener());
  }

  /**
   * Applies values that another process read, unless this one knows newer ones: neither the revision nor
   * the version of a value decreases. They count as read at that time.
   */
  applyEarlier({ revision, values, readAt }: EarlierSnapshot): void {
    if (revision < this.revision) return;
    const isLater = readAt.monotonicMs > (this.confirmedAt?.monotonicMs ?? -Infinity);
    if (isLater) this.confirmedAt = readAt;
    if (revision === this.revision) {
      // What is used depends on the age.
      if (isLater) this.listeners.forEach((listener) => listener());
      return;
    }
    const keys = new Set(values.map(({ key }) => key));
    const newest = values.map((stored) => {
      const current = this.values.get(stored.key);
      return current && current.version > stored.version ? current : stored;
    });
    const written = this.all().filter(({ key, version }) => !keys.has(key) && version > revision);
    this.apply({ revision, values: [...newest, ...written], removed: [], complete: true });
  }

  /** Reads the store; returns false if that takes long, although the read may still succeed. */
  private async listSoon(): Promise<boolean> {
    const { clock } = this.options;
    const ended = new AbortController();
    const isOver = clock.sleep(OVERLAP_MS, ended.signal).then(
      () => false,
      () => false,
    );
    const isListed = await Promise.race([this.list(), isOver]);
    ended.abort();
    return isListed;
  }

  /** Returns whether the store was read. */
  private async list(): Promise<boolean> {
    const { store, prefix, clock } = this.options;
    const sentAt = readTimeOf(clock);
    const listed = await store.list(prefix);
    if (listed.err) {
      this.failureListeners.forEach((listener) => listener());
      return false;
    }
    const { readAt, ...snapshot } = listed.val;
    if (readAt) {
      this.applyEarlier({ ...snapshot, readAt });
      return false;
    }
    // A read that began later may have ended before.
    const isOvertaken = sentAt.monotonicMs < (this.confirmedAt?.monotonicMs ?? -Infinity);
    if (isOvertaken && snapshot.revision <= this.revision) return true;
    this.confirm(sentAt);
    this.apply({ ...snapshot, removed: [], complete: true });
    return true;
  }

  private confirm(sentAt: ReadTime): void {
    this.confirmedAt = sentAt;
    this.isRead = true;
  }

  private async poll(intervalMs: number): Promise<void> {
    const { clock } = this.options;
    let retryDelayMs = RETRY_DELAY_MS;
    let isListed = true;
    while (!this.stopped.signal.aborted) {
      const startedAtMs = clock.now();
      isListed = await (isListed ? this.list() : this.listSoon());
      const retryInMs = Math.min(retryDelayMs, intervalMs) - (clock.now() - startedAtMs);
      const delayMs = isListed ? intervalMs : Math.max(RETRY_DELAY_MS, retryInMs);
      retryDelayMs = isListed ? RETRY_DELAY_MS : retryDelayMs * 2;
      await clock.sleep(delayMs, this.stopped.signal).catch(() => undefined);
    }
  }

  private async follow(): Promise<void> {
    const { store, prefix, clock, waitMs = WATCH_WAIT_MS } = this.options;
    while (!this.stopped.signal.aborted) {
      const sentAt = readTimeOf(clock);
      const changes = await store.watch(prefix, this.revision, waitMs);
      if (changes.ok) {
        this.confirm(sentAt);
        this.apply(changes.val);
      } else {
        await clock.sleep(RETRY_DELAY_MS, this.stopped.signal).catch(() => undefined);
      }
    }
  }

  private apply({ revision, values, removed, complete }: Changes): void {
    if (complete) this.removeAbsent(values);
    values.forEach((stored) => {
      const current = this.values.get(stored.key);
      // With a newer revision, a lower version is accepted: a key that was removed and written again
      // starts at a low version.
      if (current && current.version > stored.version && revision <= this.revision) return;
      this.values.set(stored.key, stored);
    });
    removed.forEach((key) => this.values.delete(key));
    this.revision = Math.max(this.revision, revision);
    if (values.length + removed.length > 0) this.listeners.forEach((listener) => listener());
  }

  private removeAbsent(values: StoredValue[]): void {
    const present = new Set(values.map(({ key }) => key));
    [...this.values.keys()].forEach((key) => {
      if (!present.has(key)) this.values.delete(key);
    });
  }
}
