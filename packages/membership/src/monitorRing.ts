import type { Member } from './member';
import type { Hash } from './rendezvous';

/** Neighbours that watch one member. */
const MONITOR_COUNT = 3;

/** Places on the ring that are looked at for monitors in other failure domains. */
const MAXIMUM_STEPS = 64;

/** The members on a hash ring: each is watched by the next few of other failure domains. */
export class MonitorRing {
  private readonly ring: Member[];

  private readonly monitors = new Map<string, Member[]>();

  constructor({ members, hash }: { members: Member[]; hash: Hash }) {
    const placed = members.map((member) => ({ member, place: hash(member.id, 0) }));
    placed.sort((a, b) => a.place - b.place || a.member.id.localeCompare(b.member.id));
    this.ring = placed.map(({ member }) => member);
    this.ring.forEach((member, index) => {
      this.monitors.set(member.id, this.findMonitors(member, index));
    });
  }

  /** Returns the members that watch a member. */
  monitorsOf(id: string): Member[] {
    return this.monitors.get(id) ?? [];
  }

  /** Returns the members that a member watches. */
  watchedBy(id: string): Member[] {
    return this.ring.filter((member) =>
      this.monitorsOf(member.id).some((monitor) => monitor.id === id),
    );
  }

  private findMonitors(member: Member, index: number): Member[] {
    const steps = Math.min(this.ring.length - 1, MAXIMUM_STEPS);
    const remote: Member[] = [];
    const local: Member[] = [];
    for (let step = 1; step <= steps && remote.length < MONITOR_COUNT; step += 1) {
      const next = this.ring[(index + step) % this.ring.length] as Member;
      (next.domain === member.domain ? local : remote).push(next);
    }
    return [...remote, ...local].slice(0, MONITOR_COUNT);
  }
}
