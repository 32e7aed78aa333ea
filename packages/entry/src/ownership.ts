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

const RECONCILE_INTERVAL_MS = 500;

/** The next in rendezvous order may claim an orphan after this much longer. */
const CLAIM_DELAY_MS = 1_000;

/** A new member gets partitions handed over once it has been known for this long. */
const MEMBER_STABLE_AFTER_MS = 2_000;

/** Partitions handed over in one round, so that each round's swaps stay few. */
const MAXIMUM_HANDOVERS_PER_ROUND = 512;

/** A former owner's word is waited for this long. */
const HANDOVER_TIMEOUT_MS = 3_000;
const HANDOVER_POLL_INTERVAL_MS = 20;

/** What the ownership of partitions needs. */
export interface OwnershipOptions {
  self: string;
  table: PartitionTable;
  members: MemberDirectory;
  clock: Clock;
  hash: Hash;
  log: EventLog;
  /** Called with partitions that another entry owns now. */
  onLost(partitions: { partition: number; owner: string; epoch: number }[]): void;
  /** Called with a partition that another entry handed over. */
  onHandedOver(partition: number): void;
}

interface Owned {
  epoch: number;
  /** The entry whose word is awaited; empty when there is none to wait for. */
  awaitedSender: string;
  sinceMs: number;
}

/** Which partitions this process owns: claims orphans, hands over, notices what it lost. */
export class Ownership {
  private readonly options: OwnershipOptions;

  private readonly owned = new Map<number, Owned>();

  private readonly claimedEpochs = new Map<number, number>();

  private readonly previousOwners: string[] = Array.from({ length: PARTITION_COUNT }, () => '');

  private readonly orphanedSince = new Map<number, number>();

  private readonly memberSince = new Map<string, number>();

  private readonly stopped = new AbortController();

  private isReconciling = false;

  /** Members and partitions for which nothing was left to hand over. */
  private balancedFor: { members: Member[]; count: number } | undefined;

  constructor(options: OwnershipOptions) {
    this.options = options;
  }

  /** Claims what an earlier start of this process owned, then follows the table. */
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

  /** Returns the epoch of an owned partition, once its former owner has said what it knew. */
  async epochOf(partition: number): Promise<number> {
    const { clock, members } = this.options;
    for (;;) {
      const owned = this.owned.get(partition);
      if (!owned) throw this.notOwner(partition);
      const { awaitedSender: awaiting, sinceMs } = owned;
      const isWaitOver = clock.now() - sinceMs > HANDOVER_TIMEOUT_MS || !members.get(awaiting);
      if (awaiting === '' || isWaitOver) return owned.epoch;
      await clock.sleep(HANDOVER_POLL_INTERVAL_MS);
    }
  }

  /** Returns true while a former owner's word on a partition is awaited. */
  isAwaitingHandover(partition: number, epoch: number, sender: string): boolean {
    const owned = this.owned.get(partition);
    return owned?.epoch === epoch && owned.awaitedSender === sender;
  }

  /** Takes the former owner's word as given. */
  confirmHandover(partition: number): void {
    const owned = this.owned.get(partition);
    if (owned) owned.awaitedSender = '';
  }

  /** Returns the share of the listed partitions that this process owns. */
  shareOf(partitions: number[]): number {
    const ownedCount = partitions.filter((partition) => this.owned.has(partition)).length;
    return ownedCount / Math.max(1, partitions.length);
  }

  /** Number of owned partitions. */
  get count(): number {
    return this.owned.size;
  }

  /** Resolves when everything is handed over, or nobody is left to take it. */
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

  /** Returns the orphans whose turn it is for this process to claim. */
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
    return { partition, seenEpoch: table.get(partition).epoch, owner: self };
  }

  private async claim(changes: Reassignment[]): Promise<void> {
    if (changes.length === 0) return;
    const { table, log } = this.options;
    changes.forEach(({ partition, seenEpoch }) => this.claimedEpochs.set(partition, seenEpoch + 1));
    const reassigned = await table.reassign(changes);
    if (reassigned.err) log.write('storeUnavailable', { reason: reassigned.val.message });
    else if (reassigned.val.length > 0) log.write('partitionsClaimed', { count: reassigned.val.length });
  }

  /** Gives partitions to the members that come first for them. */
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
      const seenEpoch = table.get(partition).epoch;
      if (owner !== self && isStable) changes.push({ partition, seenEpoch, owner });
      return changes.length >= MAXIMUM_HANDOVERS_PER_ROUND;
    });
    if (isBalanced) this.balancedFor = { members: members.all(), count: this.owned.size };
    if (changes.length === 0) return;
    const done = await table.reassign(changes);
    if (done.ok) log.write('partitionsHandedOver', { count: done.val.length });
  }

  /** Compares the table with what is owned, and notes gains and losses. */
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
    const awaiting = isClaimed ? '' : (this.previousOwners[partition] ?? '');
    this.owned.set(partition, { epoch, awaitedSender: awaiting, sinceMs: this.options.clock.now() });
    if (awaiting !== '') this.options.onHandedOver(partition);
  }

  private notOwner(partition: number): CallError {
    const { owner } = this.options.table.get(partition);
    const message = `partition ${partition} belongs to ${owner || 'nobody'}; ask that entry`;
    return new CallError({ kind: 'not-owner', message, retryAfterMs: 100 });
  }
}
