import type { Clock } from '@marjorampin/types';
import type { Member } from './member';
import { type Hash, rendezvousOrder } from './rendezvous';

/** Time between two probes of a neighbour. */
export const PROBE_INTERVAL_MS = 300;

/** A probe without an answer for this long has failed. */
export const PROBE_TIMEOUT_MS = 400;

/** Failed probes in a row after which a neighbour is suspected. */
const FAILURES_UNTIL_SUSPICION = 3;

/** Neighbours that watch one member. */
const MONITOR_COUNT = 3;

/** Different monitors that must suspect a member before it is removed. */
const SUSPICIONS_UNTIL_REMOVAL = 2;

/** Failed probes of every neighbour after which a member takes itself for the only one left. */
const FAILURES_UNTIL_ALONE = 10;

/** A suspicion counts for this long. */
const SUSPICION_LIFETIME_MS = 5_000;

/** The other members, as the detector reaches them. */
export abstract class Neighbours {
  /** Returns all members. */
  abstract members(): Member[];

  /** Asks a member whether it is alive; rejects when it is not heard. */
  abstract probe(member: Member): Promise<void>;

  /** Tells another monitor of a suspicion. */
  abstract tell(monitor: Member, suspect: Member): void;

  /** Removes a member that is taken for dead. */
  abstract remove(suspect: Member): Promise<void>;
}

/** What a detector needs. */
export interface FailureDetectorOptions {
  self: string;
  neighbours: Neighbours;
  clock: Clock;
  hash: Hash;
}

interface Suspicion {
  incarnation: string;
  reporters: Map<string, number>;
}

/** Probes a few neighbours and removes one that enough monitors suspect. */
export class FailureDetector {
  private readonly self: string;

  private readonly neighbours: Neighbours;

  private readonly clock: Clock;

  private readonly hash: Hash;

  private readonly failures = new Map<string, number>();

  private readonly suspicions = new Map<string, Suspicion>();

  private readonly stopped = new AbortController();

  constructor({ self, neighbours, clock, hash }: FailureDetectorOptions) {
    this.self = self;
    this.neighbours = neighbours;
    this.clock = clock;
    this.hash = hash;
  }

  /** Probes until stopped. */
  async run(): Promise<void> {
    while (!this.stopped.signal.aborted) {
      this.round();
      await this.clock.sleep(PROBE_INTERVAL_MS, this.stopped.signal).catch(() => undefined);
    }
  }

  /** Stops probing. */
  stop(): void {
    this.stopped.abort();
  }

  /** Takes in another monitor's suspicion. */
  receive(suspectId: string, incarnation: string, reporter: string): void {
    const suspect = this.neighbours.members().find(({ id }) => id === suspectId);
    if (!suspect || suspect.incarnation !== incarnation) return;
    this.record(suspect, reporter);
  }

  private round(): void {
    const members = this.neighbours.members();
    const isMine = (member: Member) => this.monitorsOf(member, members).includes(this.self);
    members
      .filter(({ id }) => id !== this.self)
      .filter(isMine)
      .forEach((member) => this.check(member));
  }

  /** Returns the ids of a member's monitors: those of other failure domains come first. */
  private monitorsOf(member: Member, members: Member[]): string[] {
    const others = members.filter(({ id }) => id !== member.id);
    const seed = this.hash(member.id, 0);
    const order = (candidates: Member[]) =>
      rendezvousOrder(
        candidates.map(({ id }) => id),
        seed,
        this.hash,
      );
    const remote = order(others.filter(({ domain }) => domain !== member.domain));
    const local = order(others.filter(({ domain }) => domain === member.domain));
    return [...remote, ...local].slice(0, MONITOR_COUNT);
  }

  private async check(member: Member): Promise<void> {
    const key = `${member.id}/${member.incarnation}`;
    try {
      await this.neighbours.probe(member);
      this.failures.delete(key);
      this.suspicions.get(member.id)?.reporters.delete(this.self);
    } catch {
      const failures = (this.failures.get(key) ?? 0) + 1;
      this.failures.set(key, failures);
      if (failures >= FAILURES_UNTIL_SUSPICION) this.suspect(member);
    }
  }

  private suspect(member: Member): void {
    const members = this.neighbours.members();
    const monitors = this.monitorsOf(member, members).filter((id) => id !== this.self);
    members
      .filter(({ id }) => monitors.includes(id))
      .forEach((monitor) => this.neighbours.tell(monitor, member));
    this.record(member, this.self);
  }

  private record(suspect: Member, reporter: string): void {
    const now = this.clock.now();
    const known = this.suspicions.get(suspect.id);
    const isCurrent = known?.incarnation === suspect.incarnation;
    const suspicion: Suspicion = isCurrent
      ? known
      : { incarnation: suspect.incarnation, reporters: new Map() };
    this.suspicions.set(suspect.id, suspicion);
    suspicion.reporters.set(reporter, now);
    const fresh = [...suspicion.reporters.values()].filter(
      (at) => now - at < SUSPICION_LIFETIME_MS,
    );
    if (!suspicion.reporters.has(this.self)) return;
    if (fresh.length < this.neededReporters()) return;
    this.suspicions.delete(suspect.id);
    this.failures.delete(`${suspect.id}/${suspect.incarnation}`);
    this.neighbours.remove(suspect);
  }

  /**
   * Two must agree, unless nobody else is left. A member that was merely cut off sees its own
   * record removed by the others well before it takes itself for the only one.
   */
  private neededReporters(): number {
    const members = this.neighbours.members();
    const others = members.filter(({ id }) => id !== this.self);
    if (others.length <= 1) return 1;
    const isRegistered = others.length < members.length;
    const isSilent = ({ id, incarnation }: Member) =>
      (this.failures.get(`${id}/${incarnation}`) ?? 0) >= FAILURES_UNTIL_ALONE;
    const probed = others.filter((member) => this.monitorsOf(member, members).includes(this.self));
    const isAlone = isRegistered && probed.length > 0 && probed.every(isSilent);
    return isAlone ? 1 : SUSPICIONS_UNTIL_REMOVAL;
  }
}
