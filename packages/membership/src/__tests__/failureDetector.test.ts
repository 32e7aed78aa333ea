import assert from 'node:assert/strict';
import test from 'node:test';
import { ManualClock } from '@marjorampin/types';
import seedrandom from 'seedrandom';
import { FailureDetector, MemberNetwork } from '../failureDetector';
import type { Member } from '../member';
import { type Hash, loadHash } from '../rendezvous';

/** Members that share one member list and probe each other over links that can fail. */
class SimulatedCluster {
  readonly clock = new ManualClock();

  readonly removals: { member: string; by: string; atMs: number }[] = [];

  readonly killed = new Set<string>();

  readonly brokenLinks = new Set<string>();

  /** Fraction of the messages that are lost. */
  lossRate = 0;

  memberList: Member[];

  readonly detectors = new Map<string, FailureDetector>();

  private readonly random: seedrandom.PRNG;

  constructor({ size, domains, seed }: { size: number; domains: number; seed: number }) {
    this.random = seedrandom(String(seed));
    this.memberList = Array.from({ length: size }, (_, index) => ({
      id: `entry-${index}`,
      address: '',
      domain: `domain-${index % domains}`,
      incarnation: '1',
      leaving: false,
      token: '',
    }));
  }

  start(create: (id: string) => FailureDetector): void {
    this.memberList.forEach(({ id }) => {
      const detector = create(id);
      this.detectors.set(id, detector);
      detector.run();
    });
  }

  stop(): void {
    this.detectors.forEach((detector) => detector.stop());
  }

  kill(id: string): void {
    this.killed.add(id);
    this.detectors.get(id)?.stop();
  }

  disconnect(one: string, other: string): void {
    this.brokenLinks.add(`${one}/${other}`);
    this.brokenLinks.add(`${other}/${one}`);
  }

  isDelivered(from: string, to: string): boolean {
    if (this.killed.has(to) || this.brokenLinks.has(`${from}/${to}`)) return false;
    return this.random() >= this.lossRate;
  }
}

class SimulatedMemberNetwork extends MemberNetwork {
  private readonly cluster: SimulatedCluster;

  private readonly self: string;

  constructor(cluster: SimulatedCluster, self: string) {
    super();
    this.cluster = cluster;
    this.self = self;
  }

  override members(): Member[] {
    return this.cluster.memberList;
  }

  override async probe(member: Member): Promise<void> {
    if (!this.cluster.isDelivered(this.self, member.id)) throw new Error('probe was lost');
  }

  override reportSuspicion(monitor: Member, suspect: Member): void {
    if (!this.cluster.isDelivered(this.self, monitor.id)) return;
    this.cluster.detectors
      .get(monitor.id)
      ?.receiveSuspicion(suspect.id, suspect.incarnation, this.self);
  }

  override async remove(suspect: Member): Promise<void> {
    const { cluster } = this;
    if (!cluster.memberList.some(({ id }) => id === suspect.id)) return;
    cluster.memberList = cluster.memberList.filter(({ id }) => id !== suspect.id);
    cluster.removals.push({ member: suspect.id, by: this.self, atMs: cluster.clock.now() });
  }
}

function createDetector(cluster: SimulatedCluster, self: string, hash: Hash): FailureDetector {
  const network = new SimulatedMemberNetwork(cluster, self);
  return new FailureDetector({ self, network, clock: cluster.clock, hash });
}

const entryIds = (count: number) => Array.from({ length: count }, (_, index) => `entry-${index}`);

const CASES: {
  name: string;
  size: number;
  /** Fault that is injected after one second. */
  fault(cluster: SimulatedCluster): void;
  removed: string[];
  /** Time after the fault at which the removals are checked. */
  checkedAfterMs: number;
}[] = [
  {
    name: 'no member is removed while all are healthy',
    size: 9,
    fault: () => undefined,
    removed: [],
    checkedAfterMs: 20_000,
  },
  {
    name: 'a crashed member is removed',
    size: 9,
    fault: (cluster) => cluster.kill('entry-4'),
    removed: ['entry-4'],
    checkedAfterMs: 2_000,
  },
  {
    name: 'a crashed member of a cluster of two is removed',
    size: 2,
    fault: (cluster) => cluster.kill('entry-0'),
    removed: ['entry-0'],
    checkedAfterMs: 2_000,
  },
  {
    name: 'a member that a single monitor fails to reach is not removed',
    size: 9,
    fault: (cluster) => cluster.disconnect('entry-3', 'entry-4'),
    removed: [],
    checkedAfterMs: 20_000,
  },
  {
    name: 'an isolated member is removed and does not remove the others',
    size: 6,
    fault: (cluster) => entryIds(6).forEach((id) => cluster.disconnect('entry-2', id)),
    removed: ['entry-2'],
    checkedAfterMs: 2_000,
  },
  {
    name: 'the last surviving member removes all crashed members',
    size: 4,
    fault: (cluster) => ['entry-0', 'entry-1', 'entry-2'].forEach((id) => cluster.kill(id)),
    removed: ['entry-0', 'entry-1', 'entry-2'],
    checkedAfterMs: 6_000,
  },
  {
    name: 'no member is removed when 2% of the messages are lost',
    size: 30,
    fault: (cluster) => Object.assign(cluster, { lossRate: 0.02 }),
    removed: [],
    checkedAfterMs: 20_000,
  },
];

CASES.forEach(({ name, size, fault, removed, checkedAfterMs }) => {
  test(name, async () => {
    const cluster = new SimulatedCluster({ size, domains: 3, seed: 7 });
    const hash = await loadHash();
    cluster.start((self) => createDetector(cluster, self, hash));
    await cluster.clock.advance(1_000);
    assert.deepEqual(cluster.removals, []);
    fault(cluster);
    await cluster.clock.advance(checkedAfterMs);
    cluster.stop();
    assert.deepEqual(cluster.removals.map(({ member }) => member).sort(), removed);
  });
});
