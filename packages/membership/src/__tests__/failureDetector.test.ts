import assert from 'node:assert/strict';
import test from 'node:test';
import { ManualClock } from '@marjorampin/types';
import seedrandom from 'seedrandom';
import { FailureDetector, Neighbours } from '../failureDetector';
import type { Member } from '../member';
import { type Hash, loadHash } from '../rendezvous';

/** Members that see each other's records at once and probe over links that may be cut. */
class World {
  readonly clock = new ManualClock();

  readonly removals: { member: string; by: string; atMs: number }[] = [];

  readonly dead = new Set<string>();

  readonly cutLinks = new Set<string>();

  lossShare = 0;

  records: Member[];

  readonly detectors = new Map<string, FailureDetector>();

  private readonly random: seedrandom.PRNG;

  constructor({ size, domains, seed }: { size: number; domains: number; seed: number }) {
    this.random = seedrandom(String(seed));
    this.records = Array.from({ length: size }, (_, index) => ({
      id: `entry-${index}`,
      address: '',
      domain: `domain-${index % domains}`,
      incarnation: '1',
      leaving: false,
      token: '',
    }));
  }

  start(create: (id: string) => FailureDetector): void {
    this.records.forEach(({ id }) => {
      const detector = create(id);
      this.detectors.set(id, detector);
      detector.run();
    });
  }

  stop(): void {
    this.detectors.forEach((detector) => detector.stop());
  }

  kill(id: string): void {
    this.dead.add(id);
    this.detectors.get(id)?.stop();
  }

  cut(one: string, other: string): void {
    this.cutLinks.add(`${one}/${other}`);
    this.cutLinks.add(`${other}/${one}`);
  }

  isHeard(from: string, to: string): boolean {
    if (this.dead.has(to) || this.cutLinks.has(`${from}/${to}`)) return false;
    return this.random() >= this.lossShare;
  }
}

class WorldNeighbours extends Neighbours {
  private readonly world: World;

  private readonly self: string;

  constructor(world: World, self: string) {
    super();
    this.world = world;
    this.self = self;
  }

  override members(): Member[] {
    return this.world.records;
  }

  override async probe(member: Member): Promise<void> {
    if (!this.world.isHeard(this.self, member.id)) throw new Error('not heard');
  }

  override tell(monitor: Member, suspect: Member): void {
    if (!this.world.isHeard(this.self, monitor.id)) return;
    this.world.detectors.get(monitor.id)?.receive(suspect.id, suspect.incarnation, this.self);
  }

  override async remove(suspect: Member): Promise<void> {
    const { world } = this;
    if (!world.records.some(({ id }) => id === suspect.id)) return;
    world.records = world.records.filter(({ id }) => id !== suspect.id);
    world.removals.push({ member: suspect.id, by: this.self, atMs: world.clock.now() });
  }
}

function createDetector(world: World, self: string, hash: Hash): FailureDetector {
  const neighbours = new WorldNeighbours(world, self);
  return new FailureDetector({ self, neighbours, clock: world.clock, hash });
}

const ids = (count: number) => Array.from({ length: count }, (_, index) => `entry-${index}`);

const CASES: {
  name: string;
  size: number;
  /** What happens after a second. */
  fault(world: World): void;
  removed: string[];
  /** Time after the fault within which all are removed. */
  withinMs: number;
}[] = [
  {
    name: 'nobody is removed while all are well',
    size: 9,
    fault: () => undefined,
    removed: [],
    withinMs: 20_000,
  },
  {
    name: 'a dead member is removed',
    size: 9,
    fault: (world) => world.kill('entry-4'),
    removed: ['entry-4'],
    withinMs: 2_000,
  },
  {
    name: 'one of two members is removed',
    size: 2,
    fault: (world) => world.kill('entry-0'),
    removed: ['entry-0'],
    withinMs: 2_000,
  },
  {
    name: 'a member that one monitor cannot hear stays',
    size: 9,
    fault: (world) => world.cut('entry-3', 'entry-4'),
    removed: [],
    withinMs: 20_000,
  },
  {
    name: 'a member that nobody hears is removed, and does not remove the others',
    size: 6,
    fault: (world) => ids(6).forEach((id) => world.cut('entry-2', id)),
    removed: ['entry-2'],
    withinMs: 2_000,
  },
  {
    name: 'the last member left removes all others',
    size: 4,
    fault: (world) => ['entry-0', 'entry-1', 'entry-2'].forEach((id) => world.kill(id)),
    removed: ['entry-0', 'entry-1', 'entry-2'],
    withinMs: 6_000,
  },
  {
    name: 'a lossy network removes nobody',
    size: 30,
    fault: (world) => Object.assign(world, { lossShare: 0.02 }),
    removed: [],
    withinMs: 20_000,
  },
];

CASES.forEach(({ name, size, fault, removed, withinMs }) => {
  test(name, async () => {
    const world = new World({ size, domains: 3, seed: 7 });
    const hash = await loadHash();
    world.start((self) => createDetector(world, self, hash));
    await world.clock.advance(1_000);
    assert.deepEqual(world.removals, []);
    fault(world);
    await world.clock.advance(withinMs);
    world.stop();
    assert.deepEqual(world.removals.map(({ member }) => member).sort(), removed);
  });
});
