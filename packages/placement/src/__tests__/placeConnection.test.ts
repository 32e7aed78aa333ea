import assert from 'node:assert/strict';
import test from 'node:test';
import { placeConnection, type PlacementLoad } from '../placeConnection';

function loadOf(id: string, more: Partial<PlacementLoad> = {}): PlacementLoad {
  return {
    id,
    address: '',
    domain: 'd',
    capacity: 1,
    utilization: 0.2,
    connectionsPerSecond: 40,
    stalenessMs: 500,
    configurationVersion: 7,
    accepting: true,
    ...more,
  };
}

const SMALL = { capacity: 0.25 };
const STEPS = 1_000;

/** Returns the share of new connections that each entry serves. */
function sharesOf(self: PlacementLoad, others: PlacementLoad[]): Record<string, number> {
  const shares: Record<string, number> = {};
  for (let step = 0; step < STEPS; step += 1) {
    const id = placeConnection(self, others, (step + 0.5) / STEPS)?.id ?? self.id;
    shares[id] = Math.round(((shares[id] ?? 0) + 1 / STEPS) * STEPS) / STEPS;
  }
  return shares;
}

interface PlacementCase {
  name: string;
  self: PlacementLoad;
  others: PlacementLoad[];
  /** Expected shares, each with a tolerance of 0.03. */
  shares: Record<string, number>;
}

const CASES: PlacementCase[] = [
  { name: 'an entry without others', self: loadOf('s', SMALL), others: [], shares: { s: 1 } },
  {
    name: 'a small entry beside a large one keeps its part, less what relaying costs',
    self: loadOf('s', SMALL),
    others: [loadOf('l')],
    shares: { s: 0.29, l: 0.71 },
  },
  {
    name: 'a large entry beside a small one serves its own',
    self: loadOf('l'),
    others: [loadOf('s', SMALL)],
    shares: { l: 1 },
  },
  {
    name: 'before any connection was opened',
    self: loadOf('s', { ...SMALL, connectionsPerSecond: 0, utilization: 0 }),
    others: [loadOf('l', { connectionsPerSecond: 0, utilization: 0 })],
    shares: { s: 0.4, l: 0.6 },
  },
  {
    name: 'entries that lack more connections get more',
    self: loadOf('s', { ...SMALL, connectionsPerSecond: 90 }),
    others: [loadOf('a', { connectionsPerSecond: 0 }), loadOf('b', { connectionsPerSecond: 30 })],
    shares: { s: 0.04, a: 0.64, b: 0.31 },
  },
  {
    name: 'equal entries with equal load',
    self: loadOf('s'),
    others: [loadOf('a'), loadOf('b')],
    shares: { s: 1 },
  },
  {
    name: 'an entry that is stopping gets none',
    self: loadOf('s', SMALL),
    others: [loadOf('l', { accepting: false })],
    shares: { s: 1 },
  },
  {
    name: 'an entry with another configuration gets none',
    self: loadOf('s', SMALL),
    others: [loadOf('l', { configurationVersion: 6 })],
    shares: { s: 1 },
  },
  {
    name: 'an entry with older data gets none',
    self: loadOf('s', SMALL),
    others: [loadOf('l', { stalenessMs: 1_600 })],
    shares: { s: 1 },
  },
  {
    name: 'equally old data, as in an outage of the store, excludes nobody',
    self: loadOf('s', { ...SMALL, stalenessMs: 9_000 }),
    others: [loadOf('l', { stalenessMs: 9_500 })],
    shares: { s: 0.29, l: 0.71 },
  },
  {
    name: 'an entry whose host is slower than it states gets few',
    self: loadOf('s', SMALL),
    others: [loadOf('l', { utilization: 1 })],
    shares: { s: 1 },
  },
];

CASES.forEach(({ name, self, others, shares }) => {
  test(`placement of a connection: ${name}`, () => {
    const placed = sharesOf(self, others);
    assert.deepEqual(Object.keys(placed).sort(), Object.keys(shares).sort());
    Object.entries(shares).forEach(([id, share]) => {
      assert.ok(Math.abs((placed[id] ?? 0) - share) <= 0.03, JSON.stringify(placed));
    });
  });
});
