import {
  type KeyValueStore,
  type StoreError,
  swapDurably,
  WatchedPrefix,
} from '@marjorampin/store';
import { type Clock, Ok, PARTITION_COUNT, type Result } from '@marjorampin/types';
import {
  type Assignment,
  emptyPage,
  PAGE_COUNT,
  pageKey,
  pageOf,
  PARTITION_PREFIX,
  type PartitionPage,
  PARTITIONS_PER_PAGE,
  UNASSIGNED,
} from './partitionPage';

const MAXIMUM_CONFLICTS = 20;
const LONGEST_CONFLICT_PAUSE_MS = 40;

/** A change of one partition's owner, valid only over the epoch that was seen. */
export interface Reassignment {
  partition: number;
  seenEpoch: number;
  owner: string;
}

/** What the table needs. */
export interface PartitionTableOptions {
  store: KeyValueStore;
  clock: Clock;
}

/** The partition table: a watched copy, changed by compare-and-swap of whole pages. */
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

  /** Reads the table and follows it. */
  async start(): Promise<void> {
    await this.pages.start();
    this.refresh();
  }

  /** Stops following. */
  stop(): void {
    this.pages.stop();
  }

  /** Calls the listener after every change of the table. */
  onChange(listener: () => void): void {
    this.listeners.push(listener);
  }

  /** Returns a partition's owner as last seen. */
  get(partition: number): Assignment {
    return this.assignments[partition] ?? UNASSIGNED;
  }

  /** Returns the partitions that a process owns as last seen. */
  ownedBy(owner: string): number[] {
    return this.assignments.flatMap((assignment, partition) =>
      assignment.owner === owner ? [partition] : [],
    );
  }

  /** Returns all assignments as last seen; the index is the partition. */
  all(): readonly Assignment[] {
    return this.assignments;
  }

  /** Reassigns partitions, one swap a page; returns those whose epoch was still as seen. */
  async reassign(changes: Reassignment[]): Promise<Result<Reassignment[], StoreError>> {
    const done: Reassignment[] = [];
    for (let page = 0; page < PAGE_COUNT; page += 1) {
      const ofPage = changes.filter(({ partition }) => pageOf(partition) === page);
      if (ofPage.length > 0) {
        const result = await this.reassignPage(page, ofPage);
        if (result.err) return done.length > 0 ? Ok(done) : result;
        done.push(...result.val);
      }
    }
    return Ok(done);
  }

  private async reassignPage(
    page: number,
    changes: Reassignment[],
  ): Promise<Result<Reassignment[], StoreError>> {
    for (let attempt = 0; ; attempt += 1) {
      const read = await this.store.get(pageKey(page));
      if (read.err) return read;
      const current = read.val ? (JSON.parse(read.val.value) as PartitionPage) : emptyPage();
      const assignments = [...current.assignments];
      const valid = changes.filter(
        ({ partition, seenEpoch }) =>
          assignments[partition % PARTITIONS_PER_PAGE]?.epoch === seenEpoch,
      );
      if (valid.length === 0) {
        if (read.val) this.pages.learn(read.val);
        return Ok([]);
      }
      valid.forEach(({ partition, seenEpoch, owner }) => {
        assignments[partition % PARTITIONS_PER_PAGE] = { owner, epoch: seenEpoch + 1 };
      });
      const expectedVersion = read.val?.version ?? 0;
      const key = pageKey(page);
      const swap = await swapDurably<PartitionPage>(this.store, {
        key,
        value: { assignments },
        expectedVersion,
      });
      if (swap.ok) {
        this.pages.learn({ key, value: JSON.stringify({ assignments }), version: swap.val });
        return Ok(valid);
      }
      if (swap.val.kind !== 'conflict' || attempt >= MAXIMUM_CONFLICTS) return swap;
      // Jitter spreads the writers that claim after the same failure.
      await this.clock.sleep(Math.random() * LONGEST_CONFLICT_PAUSE_MS);
    }
  }

  private refresh(): void {
    const next = [...this.assignments];
    this.pages.all().forEach(({ key, value }) => {
      const first = Number(key.slice(PARTITION_PREFIX.length)) * PARTITIONS_PER_PAGE;
      (JSON.parse(value) as PartitionPage).assignments.forEach((assignment, index) => {
        const known = next[first + index] ?? UNASSIGNED;
        if (assignment.epoch > known.epoch) next[first + index] = assignment;
      });
    });
    this.assignments = next;
    this.listeners.forEach((listener) => listener());
  }
}
