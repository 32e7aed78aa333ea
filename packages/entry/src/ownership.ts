import type { EventLog } from '@marjorampin/logging';
import {
  type Hash,
  type Member,
  type MemberDirectory,
  type PartitionTable,
  type Reassignment,
  rendezvousOrder,
  rendezvousWinner,
} from '@marjorampin/membership';
import { CallError, type Clock, PARTITION_COUNT } from '@marjorampin/types';

/** Interval between checks for partitions to claim and to hand over. */
const RECONCILE_INTERVAL_MS = 500;

/** Delay after which the next member in rendezvous order may also claim an orphaned partition. */
const CLAIM_DELAY_MS = 1_000;

/** A new member gets partitions from other members once it has been registered for this long. */
const MEMBER_STABLE_AFTER_MS = 2_000;

/** Limit of partitions handed over in one round, which bounds its writes to the store. */
const MAXIMUM_HANDOVERS_PER_ROUND = 512;

/** Time that a new owner waits for the handover from the former owner. */
const HANDOVER_WAIT_TIMEOUT_MS = 3_000;
const HANDOVER_POLL_INTERVAL_MS = 20;

/** Options of `Ownership`. */
export interface OwnershipOptions {
  /** Id of this entry. */
  self: string;
  table: PartitionTable;
  members: MemberDirectory;
  clock: Clock;
  hash: Hash;
  log: EventLog;
  /** Called with partitions that this process owned and another entry now owns. */
  onLost(partitions: { partition: number; owner: string; epoch: number }[]): void;
  /** Called with a partition that another entry reassigned to this process. */
  onAssignedHere(partition: number): void;
}

interface OwnedPartition {
  epoch: number;
  /** The former owner whose handover is awaited; empty when none is. */
  awaitedSender: string;
  /** Time at which this process saw that it owns the partition. */
  sinceMs: number;
}

/**
 * Tracks the partitions that this process owns. Claims orphaned partitions, whose owner is not a
 * member, and hands partitions over to the members that come first in their rendezvous order.
 */
export class Ownership {
  private readonly options: OwnershipOptions;

  private readonly owned = new Map<number, OwnedPartition>();

  /** Epoch under which this process claimed each partition; no handover follows a claim. */
  private readonly claimedEpochs = new Map<number, number>();

  /** The last owner other than this process, by partition. */
  private readonly previousOwners: string[] = Array.from({ length: PARTITION_COUNT }, () => '');

  /** Time at which each orphaned partition was first seen without a registered owner. */
  private readonly orphanedSince = new Map<number, number>();

  /** Time at which each member was first seen. */
  private readonly memberSince = new Map<string, number>();

  private readonly stopped = new AbortController();

  private isReconciling = false;

  /** Members and number of owned partitions at which nothing was left to hand over. */
  private balancedFor: { members: Member[]; count: number } | undefined;

  constructor(options: OwnershipOptions) {
    this.options = options;
  }

  /** Claims the partitions that an earlier run of this process owned, then watches the table. */
  async start(): Promise<void> {
    const { table, members, self } = this.options;
    const changes = table.ownedBy(self).map((partition) => this.createClaim(partition));
    await this.claim(changes);
    this.syncWithTable();
    table.onChange(() => this.syncWithTable());
    members.onChange(() => this.reconcile());
    this.run();
  }

  /** Stops claiming and handing over. */
  stop(): void {
    this.stopped.abort();
  }

  /**
   * Returns the epoch of an owned partition, once its handover was received or the wait for it is
   * over. Throws `not-owner` when another entry owns the partition.
   */
  async epochOf(partition: number): Promise<number> {
    const { clock, members } = this.options;
    for (;;) {
      const owned = this.owned.get(partition);
      if (!owned) throw this.notOwner(partition);
      const { awaitedSender, sinceMs } = owned;
      const isWaitOver =
        clock.now() - sinceMs > HANDOVER_WAIT_TIMEOUT_MS || !members.get(awaitedSender);
      if (awaitedSender === '' || isWaitOver) return owned.epoch;
      await clock.sleep(HANDOVER_POLL_INTERVAL_MS);
    }
  }

  /** Returns true while this process awaits the sender's handover of a partition. */
  isAwaitingHandover(partition: number, epoch: number, sender: string): boolean {
    const owned = this.owned.get(partition);
    return owned?.epoch === epoch && owned.awaitedSender === sender;
  }

  /** Ends the wait for the handover of a partition. */
  confirmHandover(partition: number): void {
    const owned = this.owned.get(partition);
    if (owned) owned.awaitedSender = '';
  }

  /** Returns whether this process owns a partition. */
  owns(partition: number): boolean {
    return this.owned.has(partition);
  }

  /** Number of owned partitions. */
  get count(): number {
    return this.owned.size;
  }

  /** Resolves when all partitions are handed over, or no member is left that may own them. */
  async whenHandedOver(): Promise<void> {
    const { members, clock } = this.options;
    while (this.owned.size > 0 && members.eligible().length > 0) {
      await this.reconcile();
      await clock.sleep(HANDOVER_POLL_INTERVAL_MS);
    }
  }

  private async run(): Promise<void> {
    const { signal } = this.stopped;
    while (!signal.aborted) {
      await this.reconcile();
      await this.options.clock.sleep(RECONCILE_INTERVAL_MS, signal).catch(() => undefined);
    }
  }

  private async reconcile(): Promise<void> {
    if (this.isReconciling || this.stopped.signal.aborted) return;
    this.isReconciling = true;
    try {
      this.trackMembers();
      await this.claim(this.findClaimable());
      await this.handOverPartitions();
    } finally {
      this.isReconciling = false;
    }
  }

  private trackMembers(): void {
    const now = this.options.clock.now();
    const ids = new Set(this.options.members.all().map(({ id }) => id));
    ids.forEach((id) => {
      if (!this.memberSince.has(id)) this.memberSince.set(id, now);
    });
    [...this.memberSince.keys()].forEach((id) => {
      if (!ids.has(id)) this.memberSince.delete(id);
    });
  }

  /** Returns claims for the orphaned partitions that this process may claim now. */
  private findClaimable(): Reassignment[] {
    const { table, members, self, clock, hash } = this.options;
    const eligible = members.eligible();
    if (!eligible.includes(self)) return [];
    const now = clock.now();
    return table.all().flatMap(({ owner }, partition) => {
      if (members.get(owner)) {
        this.orphanedSince.delete(partition);
        return [];
      }
      const since = this.orphanedSince.get(partition) ?? now;
      this.orphanedSince.set(partition, since);
      const rank = Math.floor((now - since) / CLAIM_DELAY_MS);
      const isSelfEntitled =
        rank === 0
          ? rendezvousWinner(eligible, partition, hash) === self
          : rendezvousOrder(eligible, partition, hash).indexOf(self) <= rank;
      return isSelfEntitled ? [this.createClaim(partition)] : [];
    });
  }

  private createClaim(partition: number): Reassignment {
    const { table, self } = this.options;
    return { partition, expectedEpoch: table.assignmentOf(partition).epoch, owner: self };
  }

  private async claim(changes: Reassignment[]): Promise<void> {
    if (changes.length === 0) return;
    const { table, log } = this.options;
    changes.forEach(({ partition, expectedEpoch }) =>
      this.claimedEpochs.set(partition, expectedEpoch + 1),
    );
    const result = await table.reassign(changes);
    if (result.err) log.write('storeUnavailable', { reason: result.val.message });
    else if (result.val.length > 0) log.write('partitionsClaimed', { count: result.val.length });
  }

  /** Reassigns partitions to the members that come first in their rendezvous order. */
  private async handOverPartitions(): Promise<void> {
    const { members, self, clock, hash, table, log } = this.options;
    if (this.balancedFor?.members === members.all() && this.balancedFor.count === this.owned.size) {
      return;
    }
    const now = clock.now();
    const eligible = members.eligible();
    const isLeaving = !eligible.includes(self);
    const changes: Reassignment[] = [];
    let isBalanced = true;
    [...this.owned.keys()].some((partition) => {
      const owner = rendezvousWinner(eligible, partition, hash) ?? self;
      isBalanced &&= owner === self;
      const knownSince = this.memberSince.get(owner) ?? now;
      const isStable = isLeaving || now - knownSince >= MEMBER_STABLE_AFTER_MS;
      const expectedEpoch = table.assignmentOf(partition).epoch;
      if (owner !== self && isStable) changes.push({ partition, expectedEpoch, owner });
      return changes.length >= MAXIMUM_HANDOVERS_PER_ROUND;
    });
    if (isBalanced) this.balancedFor = { members: members.all(), count: this.owned.size };
    if (changes.length === 0) return;
    const result = await table.reassign(changes);
    if (result.ok) log.write('partitionsHandedOver', { count: result.val.length });
  }

  /** Updates the owned partitions from the table and reports the lost ones. */
  private syncWithTable(): void {
    const { table, self, onLost } = this.options;
    const lost: { partition: number; owner: string; epoch: number }[] = [];
    table.all().forEach(({ owner, epoch }, partition) => {
      const known = this.owned.get(partition);
      if (owner === self && known?.epoch !== epoch) this.addOwned(partition, epoch);
      if (owner !== self && known) {
        this.owned.delete(partition);
        lost.push({ partition, owner, epoch });
      }
      if (owner !== self) this.previousOwners[partition] = owner;
    });
    if (lost.length > 0) onLost(lost);
  }

  private addOwned(partition: number, epoch: number): void {
    const isClaimed = this.claimedEpochs.get(partition) === epoch;
    const awaitedSender = isClaimed ? '' : (this.previousOwners[partition] ?? '');
    this.owned.set(partition, { epoch, awaitedSender, sinceMs: this.options.clock.now() });
    if (awaitedSender !== '') this.options.onAssignedHere(partition);
  }

  private notOwner(partition: number): CallError {
    const { owner } = this.options.table.assignmentOf(partition);
    const message = `partition ${partition} is owned by ${owner || 'no entry'}; send the call to its owner`;
    return new CallError({ kind: 'not-owner', message, retryAfterMs: 100 });
  }
}
