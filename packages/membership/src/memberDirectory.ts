import { compareAndSwapWithReadBack, type KeyValueStore, WatchedPrefix } from '@marjorampin/store';
import type { Clock } from '@marjorampin/types';
import { decodeMember, MEMBER_PREFIX, type Member, memberKey } from './member';

const RETRY_DELAY_MS = 200;

/** Options of `MemberDirectory`. */
export interface MemberDirectoryOptions {
  store: KeyValueStore;
  clock: Clock;
}

/** Members registered in the platform's key-value store, with a watched local copy. */
export class MemberDirectory {
  private readonly store: KeyValueStore;

  private readonly clock: Clock;

  private readonly watched: WatchedPrefix;

  private membersById = new Map<string, Member>();

  private memberList: Member[] = [];

  constructor({ store, clock }: MemberDirectoryOptions) {
    this.store = store;
    this.clock = clock;
    this.watched = new WatchedPrefix({ store, clock, prefix: MEMBER_PREFIX });
    this.watched.onChange(() => this.refresh());
  }

  /** Loads the members and starts to watch for changes. */
  async start(): Promise<void> {
    await this.watched.start();
    this.refresh();
  }

  /** Stops watching. */
  stop(): void {
    this.watched.stop();
  }

  /** Registers a listener that is called after every change. */
  onChange(listener: () => void): void {
    this.watched.onChange(listener);
  }

  /** Returns a member, or undefined when the id is not registered. */
  get(id: string): Member | undefined {
    return this.membersById.get(id);
  }

  /** Returns all members, including those that are leaving; the same array until they change. */
  all(): Member[] {
    return this.memberList;
  }

  /** Returns the ids of the members that may own partitions: those that are not leaving. */
  eligible(): string[] {
    return this.all().flatMap(({ id, leaving }) => (leaving ? [] : [id]));
  }

  /** Registers a member, replacing any earlier registration; retries until the write succeeds. */
  async register(member: Omit<Member, 'token'>): Promise<void> {
    const key = memberKey(member.id);
    for (;;) {
      const read = await this.store.get(key);
      if (read.ok) {
        const expectedVersion = read.val?.version ?? 0;
        const swap = await compareAndSwapWithReadBack<Member>(this.store, {
          key,
          value: member,
          expectedVersion,
        });
        if (swap.ok) {
          this.watched.applyWrite({ key, value: JSON.stringify(member), version: swap.val });
          return;
        }
      }
      await this.clock.sleep(RETRY_DELAY_MS);
    }
  }

  /** Removes a member if its incarnation matches; returns true when it is no longer registered. */
  async remove(id: string, incarnation: string): Promise<boolean> {
    const key = memberKey(id);
    const read = await this.store.get(key);
    if (read.err) return false;
    if (!read.val) return true;
    if (decodeMember(read.val)?.incarnation !== incarnation) return false;
    const removed = await this.store.remove(key, read.val.version);
    return removed.ok;
  }

  private refresh(): void {
    const members = this.watched.all().flatMap((stored) => decodeMember(stored) ?? []);
    this.membersById = new Map(members.map((member) => [member.id, member]));
    this.memberList = members;
  }
}
