import { type KeyValueStore, swapDurably, WatchedPrefix } from '@marjorampin/store';
import type { Clock } from '@marjorampin/types';
import { MEMBER_PREFIX, type Member, memberKey } from './member';

const RETRY_PAUSE_MS = 200;

/** What the directory needs. */
export interface MemberDirectoryOptions {
  store: KeyValueStore;
  clock: Clock;
}

/** The entries that take part, as they registered in the platform's store. */
export class MemberDirectory {
  private readonly store: KeyValueStore;

  private readonly clock: Clock;

  private readonly watched: WatchedPrefix;

  private members = new Map<string, Member>();

  private list: Member[] = [];

  constructor({ store, clock }: MemberDirectoryOptions) {
    this.store = store;
    this.clock = clock;
    this.watched = new WatchedPrefix({ store, clock, prefix: MEMBER_PREFIX });
    this.watched.onChange(() => this.refresh());
  }

  /** Reads the members and follows them. */
  async start(): Promise<void> {
    await this.watched.start();
    this.refresh();
  }

  /** Stops following. */
  stop(): void {
    this.watched.stop();
  }

  /** Calls the listener after every change. */
  onChange(listener: () => void): void {
    this.watched.onChange(listener);
  }

  /** Returns one member. */
  get(id: string): Member | undefined {
    return this.members.get(id);
  }

  /** Returns all members, leaving ones included; the same array until they change. */
  all(): Member[] {
    return this.list;
  }

  /** Returns the ids of the members that may own partitions. */
  eligible(): string[] {
    return this.all().flatMap(({ id, leaving }) => (leaving ? [] : [id]));
  }

  /** Writes a member's registration, over whatever stands there, until it holds. */
  async register(member: Omit<Member, 'token'>): Promise<void> {
    const key = memberKey(member.id);
    for (;;) {
      const read = await this.store.get(key);
      if (read.ok) {
        const expectedVersion = read.val?.version ?? 0;
        const swap = await swapDurably<Member>(this.store, { key, value: member, expectedVersion });
        if (swap.ok) {
          this.watched.learn({ key, value: JSON.stringify(member), version: swap.val });
          return;
        }
      }
      await this.clock.sleep(RETRY_PAUSE_MS);
    }
  }

  /** Removes a member if it is still of that incarnation; returns whether it is gone. */
  async remove(id: string, incarnation: string): Promise<boolean> {
    const key = memberKey(id);
    const read = await this.store.get(key);
    if (read.err) return false;
    if (!read.val) return true;
    if ((JSON.parse(read.val.value) as Member).incarnation !== incarnation) return false;
    const removed = await this.store.remove(key, read.val.version);
    return removed.ok;
  }

  private refresh(): void {
    const members = this.watched.all().map(({ value }) => JSON.parse(value) as Member);
    this.members = new Map(members.map((member) => [member.id, member]));
    this.list = members;
  }
}
