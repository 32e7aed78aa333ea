import type { EventLog } from '@marjorampin/logging';
import type { Keeper, PeerConnections, Roster } from '@marjorampin/protocol';
import {
  ageOf,
  type Changes,
  type CompareAndSwap,
  KeyValueStore,
  type Snapshot,
  type StoredValue,
  type StoreError,
} from '@marjorampin/store';
import { type Clock, Ok, type Result } from '@marjorampin/types';
import { activeKeepers } from './keeperGroup';
import { requestValues } from './listedValues';
import type { SharedList } from './sharedList';

/** Time for which a keeper that could not list the values is not asked again. */
const EXCLUSION_MS = 5_000;

/** Options of `RelayedStore`. */
export interface RelayedStoreOptions {
  store: KeyValueStore;
  peers: PeerConnections;
  /** Failure domain of this process; only its keepers are asked. */
  domain: string;
  clock: Clock;
  log: EventLog;
  /** Time within which a keeper has to reply before this process reads the store itself. */
  timeoutMs: number;
  /** Returns the newest roster, or undefined before the first one. */
  roster(): Roster | undefined;
  /** The list that this process serves to others, if it is a keeper. */
  own?: { id: string; list: SharedList };
}

/**
 * Store whose lists are read once for each failure domain: all processes of a domain ask the same
 * keeper, which reads the store for them. A process whose keeper fails, or returns values that it read
 * before the request, reads the store itself; only if that fails, it gets those values, with the time of
 * their read. All other requests go to the store.
 */
export class RelayedStore extends KeyValueStore {
  private readonly options: RelayedStoreOptions;

  private readonly excludedUntilMs = new Map<string, number>();

  constructor(options: RelayedStoreOptions) {
    super();
    this.options = options;
  }

  override async list(prefix: string): Promise<Result<Snapshot, StoreError>> {
    const { store, own } = this.options;
    const keeper = this.chooseKeeper();
    if (!keeper) return store.list(prefix);
    const listed = keeper.id === own?.id ? await own.list.read() : await this.listAt(keeper);
    if (listed?.err) return listed;
    const relayed = listed && withPrefix(listed.val, prefix);
    if (relayed && !relayed.readAt) return Ok(relayed);
    const direct = await store.list(prefix);
    return direct.err && relayed ? Ok(relayed) : direct;
  }

  override get(key: string): Promise<Result<StoredValue | undefined, StoreError>> {
    return this.options.store.get(key);
  }

  override compareAndSwap(write: CompareAndSwap): Promise<Result<number, StoreError>> {
    return this.options.store.compareAndSwap(write);
  }

  override remove(key: string, expectedVersion: number): Promise<Result<void, StoreError>> {
    return this.options.store.remove(key, expectedVersion);
  }

  override watch(
    prefix: string,
    revision: number,
    waitMs: number,
  ): Promise<Result<Changes, StoreError>> {
    return this.options.store.watch(prefix, revision, waitMs);
  }

  /** Returns the first usable keeper of the domain; all processes of the domain get the same one. */
  private chooseKeeper(): Keeper | undefined {
    const { roster, domain, clock } = this.options;
    const current = roster();
    if (!current) return undefined;
    const now = clock.now();
    return activeKeepers(current).find(
      (keeper) => keeper.domain === domain && (this.excludedUntilMs.get(keeper.id) ?? 0) <= now,
    );
  }

  /** Asks a keeper for all values; excludes it if it fails, which returns undefined, or has not read them
   * for this request. */
  private async listAt({ id, address }: Keeper): Promise<Result<Snapshot, StoreError> | undefined> {
    const { peers, clock, timeoutMs } = this.options;
    try {
      const listed = await requestValues(peers, address, { clock, timeoutMs });
      const { readAt } = listed;
      if (readAt) this.exclude(id, `its values are ${Math.round(ageOf(readAt, clock))} ms old`);
      return Ok(listed);
    } catch (error) {
      this.exclude(id, String(error));
      return undefined;
    }
  }

  private exclude(keeper: string, error: string): void {
    const { clock, log } = this.options;
    this.excludedUntilMs.set(keeper, clock.now() + EXCLUSION_MS);
    log.write('relayFailed', { keeper, error });
  }
}

function withPrefix({ values, ...rest }: Snapshot, prefix: string): Snapshot {
  return { ...rest, values: values.filter(({ key }) => key.startsWith(prefix)) };
}
