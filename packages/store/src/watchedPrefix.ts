import type { Clock } from '@marjorampin/types';
import type { Changes, KeyValueStore, StoredValue } from './keyValueStore';

const WATCH_WAIT_MS = 30_000;
/** Pause after a request that failed; the store's own refusals come back at once. */
export const RETRY_PAUSE_MS = 100;

/** What to watch. */
export interface WatchedPrefixOptions {
  store: KeyValueStore;
  prefix: string;
  clock: Clock;
  /** How long one watch waits; a silent connection is noticed soon after. */
  waitMs?: number;
  /** Lists everything this often instead of watching: bounds how late a change is seen. */
  pollIntervalMs?: number;
}

/** A copy of all values below a prefix; keeps the last known state while the store is down. */
export class WatchedPrefix {
  private readonly options: WatchedPrefixOptions;

  private readonly values = new Map<string, StoredValue>();

  private readonly listeners: (() => void)[] = [];

  private readonly stopped = new AbortController();

  private revision = 0;

  /** Time of the clock at which the last answer was asked for. */
  private confirmedAtMs = -Infinity;

  constructor(options: WatchedPrefixOptions) {
    this.options = options;
  }

  /** Reads the present state once, then follows changes in the background. */
  async start(): Promise<void> {
    const { clock, pollIntervalMs } = this.options;
    while (!this.stopped.signal.aborted) {
      if (await this.list()) break;
      await clock.sleep(RETRY_PAUSE_MS, this.stopped.signal).catch(() => undefined);
    }
    if (pollIntervalMs === undefined) this.follow();
    else this.poll(pollIntervalMs);
  }

  /** Milliseconds since the state that is known was certainly the present one. */
  get ageMs(): number {
    return this.options.clock.now() - this.confirmedAtMs;
  }

  /** Stops following. */
  stop(): void {
    this.stopped.abort();
  }

  /** Calls the listener after every change. */
  onChange(listener: () => void): void {
    this.listeners.push(listener);
  }

  /** Returns one value as it was last seen. */
  get(key: string): StoredValue | undefined {
    return this.values.get(key);
  }

  /** Returns all values as they were last seen. */
  all(): StoredValue[] {
    return [...this.values.values()];
  }

  /** Takes in a value that this process wrote itself, ahead of the watch. */
  learn(stored: StoredValue): void {
    const known = this.values.get(stored.key);
    if (known && known.version >= stored.version) return;
    this.values.set(stored.key, stored);
    this.listeners.forEach((listener) => listener());
  }

  private async list(): Promise<boolean> {
    const { store, prefix, clock } = this.options;
    const askedAtMs = clock.now();
    const listed = await store.list(prefix);
    if (listed.err) return false;
    this.confirmedAtMs = askedAtMs;
    this.apply({ ...listed.val, removed: [], complete: true });
    return true;
  }

  private async poll(intervalMs: number): Promise<void> {
    const { clock } = this.options;
    while (!this.stopped.signal.aborted) {
      const pauseMs = (await this.list()) ? intervalMs : RETRY_PAUSE_MS;
      await clock.sleep(pauseMs, this.stopped.signal).catch(() => undefined);
    }
  }

  private async follow(): Promise<void> {
    const { store, prefix, clock, waitMs = WATCH_WAIT_MS } = this.options;
    while (!this.stopped.signal.aborted) {
      const askedAtMs = clock.now();
      const changes = await store.watch(prefix, this.revision, waitMs);
      if (changes.ok) {
        this.confirmedAtMs = askedAtMs;
        this.apply(changes.val);
      } else {
        await clock.sleep(RETRY_PAUSE_MS, this.stopped.signal).catch(() => undefined);
      }
    }
  }

  private apply({ revision, values, removed, complete }: Changes): void {
    if (complete) this.dropAbsent(values);
    values.forEach((stored) => {
      const known = this.values.get(stored.key);
      // A key that was removed and written anew starts again at a low version.
      if (known && known.version > stored.version && revision <= this.revision) return;
      this.values.set(stored.key, stored);
    });
    removed.forEach((key) => this.values.delete(key));
    this.revision = Math.max(this.revision, revision);
    if (values.length + removed.length > 0) this.listeners.forEach((listener) => listener());
  }

  private dropAbsent(values: StoredValue[]): void {
    const present = new Set(values.map(({ key }) => key));
    [...this.values.keys()].forEach((key) => {
      if (!present.has(key)) this.values.delete(key);
    });
  }
}
