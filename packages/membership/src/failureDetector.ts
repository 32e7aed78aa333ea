import type { Clock } from '@marjorampin/types';
import type { Member } from './member';
import { MonitorRing } from './monitorRing';
import type { Hash } from './rendezvous';

/** Time between two probes of a neighbour. */
export const PROBE_INTERVAL_MS = 300;

/** A probe without an answer for this long has failed. */
export const PROBE_TIMEOUT_MS = 400;

/** Failed probes in a row after which a neighbour is suspected. */
const FAILURES_UNTIL_SUSPICION = 3;

/** Different monitors that must suspect a member before it is removed. */
const SUSPICIONS_UNTIL_REMOVAL = 2;

/** Failed probes of a neighbour after which a member asks whether it is the only one left. */
const FAILURES_UNTIL_ALONE = 10;

/** Members that are asked whether anybody is left. */
const MAXIMUM_LONE_PROBES = 16;

/** A suspicion counts for this long. */
const SUSPICION_LIFETIME_MS = 5_000;

/** The other members, as the detector reaches them. */
export abstract class Neighbours {
  /** Returns all members; the same array until they change. */
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

  /** The ring of the members of this moment, and those that this one watches. */
  private view: { members: Member[]; ring: MonitorRing; watched: Member[] } | undefined;

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
    this.current().watched.forEach((member) => this.check(member));
  }

  /** Builds the ring anew only when the members changed. */
  private current() {
    const members = this.neighbours.members();
    if (this.view?.members === members) return this.view;
    const ring = new MonitorRing({ members, hash: this.hash });
    this.view = { members, ring, watched: ring.watchedBy(this.self) };
    return this.view;
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
    this.current()
      .ring.monitorsOf(member.id)
      .filter(({ id }) => id !== this.self)
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
    if (fresh.length >= this.neededReporters()) this.remove(suspect);
    else this.removeWhenAlone(suspect);
  }

  private remove(suspect: Member): void {
    this.suspicions.delete(suspect.id);
    this.failures.delete(`${suspect.id}/${suspect.incarnation}`);
    this.neighbours.remove(suspect);
  }

  /** Two must agree, unless there are only two members. */
  private neededReporters(): number {
    const others = this.neighbours.members().filter(({ id }) => id !== this.self);
    return others.length <= 1 ? 1 : SUSPICIONS_UNTIL_REMOVAL;
  }

  /**
   * The last member left has nobody to agree with. One that was merely cut off sees its own
   * record removed by the others well before it comes to ask whether it is alone.
   */
  private async removeWhenAlone(suspect: Member): Promise<void> {
    const key = `${suspect.id}/${suspect.incarnation}`;
    if ((this.failures.get(key) ?? 0) < FAILURES_UNTIL_ALONE) return;
    const members = this.neighbours.members();
    const others = members.filter(({ id }) => id !== this.self);
    if (others.length === members.length) return;
    const probes = others
      .slice(0, MAXIMUM_LONE_PROBES)
      .map((other) => this.neighbours.probe(other));
    const heard = await Promise.any(probes).then(
      () => true,
      () => false,
    );
    if (!heard) this.remove(suspect);
  }
}
