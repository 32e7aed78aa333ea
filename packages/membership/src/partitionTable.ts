import {
  compareAndSwapWithReadBack,
  type KeyValueStore,
  type StoreError,
  WatchedPrefix,
} from '@marjorampin/store';
import { type Clock, Ok, PARTITION_COUNT, type Result } from '@marjorampin/types';
import {
  type Assignment,
  decodePage,
  PAGE_COUNT,
  pageKey,
  pageOf,
  PARTITION_PREFIX,
  type PartitionPage,
  PARTITIONS_PER_PAGE,
  UNASSIGNED,
} from './partitionPage';

const MAXIMUM_CONFLICT_RETRIES = 20;
const MAXIMUM_CONFLICT_DELAY_MS = 40;

/** New owner of a partition; applied only while the partition is still at `expectedEpoch`. */
export interface Reassignment {
  partition: number;
  expectedEpoch: number;
  owner: string;
}

/** Options of `PartitionTable`. */
export interface PartitionTableOptions {
  store: KeyValueStore;
  clock: Clock;
}

/** Watched local copy of the partition table, changed by compare-and-swap of whole pages. */
export class PartitionTable {
  private readonly store: KeyValueStore;

  private readonly clock: Clock;

  private readonly pages: WatchedPrefix;

  private assignments: Assignment[] = Array.from({ length: PARTITION_COUNT }, () => UNASSIGNED);

  private readonly listeners: (() => void)[] = [];

  constructor({ store, clock }: PartitionTableOptions) {
    this.store = store;
    this.clock = clock;
    this.pages = new WatchedPrefix({ store, clock, prefix: PARTITION_PREFIX });
    this.pages.onChange(() => this.refresh());
  }

  /** Loads the table and starts to watch for changes. */
  async start(): Promise<void> {
    await this.pages.start();
    this.refresh();
  }

  /** Stops watching. */
  stop(): void {
    this.pages.stop();
  }

  /** Registers a listener that is called after every change of the table. */
  onChange(listener: () => void): void {
    this.listeners.push(listener);
  }

  /** Returns the last known assignment of a partition. */
  assignmentOf(partition: number): Assignment {
    return this.assignments[partition] ?? UNASSIGNED;
  }

  /** Returns the partitions that an entry owns in the last known table. */
  ownedBy(owner: string): number[] {
    return this.assignments.flatMap((assignment, partition) =>
      assignment.owner === owner ? [partition] : [],
    );
  }

  /** Returns the last known assignments; the index is the partition. */
  all(): readonly Assignment[] {
    return this.assignments;
  }

  /**
   * Reassigns partitions with one compare-and-swap per page. Returns the applied changes: those
   * whose epoch still matched. A store error ends the loop; it is returned if nothing was applied.
   */
  async reassign(changes: Reassignment[]): Promise<Result<Reassignment[], StoreError>> {
    const applied: Reassignment[] = [];
    for (let page = 0; page < PAGE_COUNT; page += 1) {
      const pageChanges = changes.filter(({ partition }) => pageOf(partition) === page);
      if (pageChanges.length > 0) {
        const result = await this.reassignPage(page, pageChanges);
        if (result.err) return applied.length > 0 ? Ok(applied) : result;
        applied.push(...result.val);
      }
    }
    return Ok(applied);
  }

  private async reassignPage(
    page: number,
    changes: Reassignment[],
  ): Promise<Result<Reassignment[], StoreError>> {
    for (let attempt = 0; ; attempt += 1) {
      const read = await this.store.get(pageKey(page));
      if (read.err) return read;
      const current = read.val && decodePage(read.val);
      // Without a page that can be read, the last known one is written again.
      const assignments = [...(current?.assignments ?? this.knownPage(page))];
      const applicable = changes.filter(
        ({ partition, expectedEpoch }) =>
          assignments[partition % PARTITIONS_PER_PAGE]?.epoch === expectedEpoch,
      );
      if (applicable.length === 0) {
        if (read.val) this.pages.applyWrite(read.val);
        return Ok([]);
      }
      applicable.forEach(({ partition, expectedEpoch, owner }) => {
        assignments[partition % PARTITIONS_PER_PAGE] = { owner, epoch: expectedEpoch + 1 };
      });
      const expectedVersion = read.val?.version ?? 0;
      const key = pageKey(page);
      const swap = await compareAndSwapWithReadBack<PartitionPage>(this.store, {
        key,
        value: { assignments },
        expectedVersion,
      });
      if (swap.ok) {
        this.pages.applyWrite({ key, value: JSON.stringify({ assignments }), version: swap.val });
        return Ok(applicable);
      }
      if (swap.val.kind !== 'conflict' || attempt >= MAXIMUM_CONFLICT_RETRIES) return swap;
      // Jitter spreads out the writers that claim partitions after the same failure.
      await this.clock.sleep(Math.random() * MAXIMUM_CONFLICT_DELAY_MS);
    }
  }

  private knownPage(page: number): Assignment[] {
    const first = page * PARTITIONS_PER_PAGE;
    return this.assignments.slice(first, first + PARTITIONS_PER_PAGE);
  }

  private refresh(): void {
    const updated = [...this.assignments];
    this.pages.all().forEach((stored) => {
      const { key } = stored;
      const firstPartition = Number(key.slice(PARTITION_PREFIX.length)) * PARTITIONS_PER_PAGE;
      decodePage(stored)?.assignments.forEach((assignment, index) => {
        const previous = updated[firstPartition + index] ?? UNASSIGNED;
        if (assignment.epoch > previous.epoch) updated[firstPartition + index] = assignment;
      });
    });
    this.assignments = updated;
    this.listeners.forEach((listener) => listener());
  }
}
