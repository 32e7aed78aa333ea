import type { Member } from './member';
import type { Hash } from './rendezvous';

/** Number of monitors of each member. */
const MONITOR_COUNT = 3;

/** Maximum number of ring positions searched for monitors in other failure domains. */
const MAXIMUM_RING_STEPS = 64;

/** What the ring has to know of a member. */
export type RingMember = Pick<Member, 'id' | 'domain'>;

/** Hash ring of the members; each is monitored by the next few, preferably of other domains. */
export class MonitorRing<T extends RingMember = Member> {
  private readonly ring: T[];

  private readonly monitors = new Map<string, T[]>();

  constructor({ members, hash }: { members: T[]; hash: Hash }) {
    const positioned = members.map((member) => ({ member, position: hash(member.id, 0) }));
    positioned.sort((a, b) => a.position - b.position || a.member.id.localeCompare(b.member.id));
    this.ring = positioned.map(({ member }) => member);
    this.ring.forEach((member, index) => {
      this.monitors.set(member.id, this.findMonitors(member, index));
    });
  }

  /** Returns the monitors of a member. */
  monitorsOf(id: string): T[] {
    return this.monitors.get(id) ?? [];
  }

  /** Returns the members that a member monitors. */
  monitoredBy(id: string): T[] {
    return this.ring.filter((member) =>
      this.monitorsOf(member.id).some((monitor) => monitor.id === id),
    );
  }

  private findMonitors(member: T, index: number): T[] {
    const steps = Math.min(this.ring.length - 1, MAXIMUM_RING_STEPS);
    const otherDomain: T[] = [];
    const sameDomain: T[] = [];
    for (let step = 1; step <= steps && otherDomain.length < MONITOR_COUNT; step += 1) {
      const candidate = this.ring[(index + step) % this.ring.length] as T;
      (candidate.domain === member.domain ? sameDomain : otherDomain).push(candidate);
    }
    return [...otherDomain, ...sameDomain].slice(0, MONITOR_COUNT);
  }
}
