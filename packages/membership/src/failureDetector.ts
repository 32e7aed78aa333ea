import type { Clock } from '@marjorampin/types';
import type { Member } from './member';
import { MonitorRing } from './monitorRing';
import type { Hash } from './rendezvous';

/** Interval between two probes of the same member. */
export const PROBE_INTERVAL_MS = 300;

/** A probe that is unanswered for this long counts as failed. */
export const PROBE_TIMEOUT_MS = 400;

/** Consecutive failed probes after which a monitor suspects a member. */
const FAILURES_UNTIL_SUSPICION = 3;

/** Number of distinct monitors that must suspect a member before it is removed. */
const SUSPICIONS_UNTIL_REMOVAL = 2;

/** Consecutive failed probes after which a monitor checks whether any other member replies. */
const FAILURES_BEFORE_ISOLATION_CHECK = 10;

/** Maximum number of members probed by that check. */
const MAXIMUM_ISOLATION_PROBES = 16;

/** Time for which a monitor's report of a suspicion counts. */
const SUSPICION_LIFETIME_MS = 5_000;

/** Access of a failure detector to the member list and to the other members. */
export abstract class MemberNetwork {
  /** Returns all members, the local one included; the same array until they change. */
  abstract members(): Member[];

  /** Probes a member; rejects when no reply arrives in time. */
  abstract probe(member: Member): Promise<void>;

  /** Reports a suspicion to another monitor of the suspect, without waiting for delivery. */
  abstract reportSuspicion(monitor: Member, suspect: Member): void;

  /** Removes a suspected member from the member list. */
  abstract remove(suspect: Member): Promise<void>;
}

/** Options of `FailureDetector`. */
export interface FailureDetectorOptions {
  /** Id of the local member. */
  self: string;
  network: MemberNetwork;
  clock: Clock;
  hash: Hash;
}

interface Suspicion {
  incarnation: string;
  /** Time of the latest report by each monitor, in milliseconds of the detector's clock. */
  reporters: Map<string, number>;
}

/** Probes the members that the local one monitors; removes those that enough monitors suspect. */
export class FailureDetector {
  private readonly self: string;

  private readonly network: MemberNetwork;

  private readonly clock: Clock;

  private readonly hash: Hash;

  /** Ring of the current members, and the members that the local one monitors. */
  private view: { members: Member[]; ring: MonitorRing; monitored: Member[] } | undefined;

  /** Consecutive failed probes, by `id/incarnation` of the member. */
  private readonly failureCounts = new Map<string, number>();

  /** Suspicions by member id. */
  private readonly suspicions = new Map<string, Suspicion>();

  private readonly stopped = new AbortController();

  constructor({ self, network, clock, hash }: FailureDetectorOptions) {
    this.self = self;
    this.network = network;
    this.clock = clock;
    this.hash = hash;
  }

  /** Probes the monitored members until stopped. */
  async run(): Promise<void> {
    while (!this.stopped.signal.aborted) {
      this.probeMonitored();
      await this.clock.sleep(PROBE_INTERVAL_MS, this.stopped.signal).catch(() => undefined);
    }
  }

  /** Stops probing. */
  stop(): void {
    this.stopped.abort();
  }

  /** Records a suspicion that another monitor reported; ignores other incarnations. */
  receiveSuspicion(suspectId: string, incarnation: string, reporter: string): void {
    const suspect = this.network.members().find(({ id }) => id === suspectId);
    if (!suspect || suspect.incarnation !== incarnation) return;
    this.recordSuspicion(suspect, reporter);
  }

  private probeMonitored(): void {
    this.currentView().monitored.forEach((member) => this.probeMember(member));
  }

  /** Returns the ring of the current members; rebuilds it only when they have changed. */
  private currentView() {
    const members = this.network.members();
    if (this.view?.members === members) return this.view;
    const ring = new MonitorRing({ members, hash: this.hash });
    this.view = { members, ring, monitored: ring.monitoredBy(this.self) };
    return this.view;
  }

  private async probeMember(member: Member): Promise<void> {
    const failureKey = `${member.id}/${member.incarnation}`;
    try {
      await this.network.probe(member);
      this.failureCounts.delete(failureKey);
      this.suspicions.get(member.id)?.reporters.delete(this.self);
    } catch {
      const failures = (this.failureCounts.get(failureKey) ?? 0) + 1;
      this.failureCounts.set(failureKey, failures);
      if (failures >= FAILURES_UNTIL_SUSPICION) this.raiseSuspicion(member);
    }
  }

  private raiseSuspicion(member: Member): void {
    this.currentView()
      .ring.monitorsOf(member.id)
      .filter(({ id }) => id !== this.self)
      .forEach((monitor) => this.network.reportSuspicion(monitor, member));
    this.recordSuspicion(member, this.self);
  }

  private recordSuspicion(suspect: Member, reporter: string): void {
    const now = this.clock.now();
    const existing = this.suspicions.get(suspect.id);
    const isCurrent = existing?.incarnation === suspect.incarnation;
    const suspicion: Suspicion = isCurrent
      ? existing
      : { incarnation: suspect.incarnation, reporters: new Map() };
    this.suspicions.set(suspect.id, suspicion);
    suspicion.reporters.set(reporter, now);
    const freshReports = [...suspicion.reporters.values()].filter(
      (reportedAtMs) => now - reportedAtMs < SUSPICION_LIFETIME_MS,
    );
    if (!suspicion.reporters.has(this.self)) return;
    if (freshReports.length >= this.requiredReporters()) this.remove(suspect);
    else this.removeIfNoneReplies(suspect);
  }

  private remove(suspect: Member): void {
    this.suspicions.delete(suspect.id);
    this.failureCounts.delete(`${suspect.id}/${suspect.incarnation}`);
    this.network.remove(suspect);
  }

  /** In a cluster of two, the report of the only monitor of a member is enough. */
  private requiredReporters(): number {
    const others = this.network.members().filter(({ id }) => id !== this.self);
    return others.length <= 1 ? 1 : SUSPICIONS_UNTIL_REMOVAL;
  }

  /**
   * Removes a suspect without a second report when no other member replies, so that the last
   * surviving member can remove the crashed ones. A member that only lost its connections removes
   * none: the others delete its registration well before this check, which ends if the local member
   * is no longer listed.
   */
  private async removeIfNoneReplies(suspect: Member): Promise<void> {
    const failureKey = `${suspect.id}/${suspect.incarnation}`;
    if ((this.failureCounts.get(failureKey) ?? 0) < FAILURES_BEFORE_ISOLATION_CHECK) return;
    const members = this.network.members();
    const others = members.filter(({ id }) => id !== this.self);
    if (others.length === members.length) return;
    const probes = others
      .slice(0, MAXIMUM_ISOLATION_PROBES)
      .map((other) => this.network.probe(other));
    const isAnyAlive = await Promise.any(probes).then(
      () => true,
      () => false,
    );
    if (!isAnyAlive) this.remove(suspect);
  }
}
