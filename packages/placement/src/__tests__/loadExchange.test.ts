import assert from 'node:assert/strict';
import test from 'node:test';
import { create } from '@bufbuild/protobuf';
import { MemoryEventLog } from '@marjorampin/logging';
import {
  EntryLoadSchema,
  type Keeper,
  KeeperSchema,
  type Reply,
  ReplySchema,
  type RequestBody,
} from '@marjorampin/protocol';
import { ManualClock } from '@marjorampin/types';
import { LoadExchange } from '../loadExchange';
import { LoadTable } from '../loadTable';

const DOMAIN = 'd0';
const STATE = {
  utilization: 0,
  connections: 0,
  stalenessMs: 100,
  configurationVersion: 1,
  isAccepting: true,
};

/** Keepers that exchange loads, and fail or stay silent on demand. */
class KeeperStandins {
  readonly silent = new Set<string>();

  readonly failing = new Set<string>();

  /** Entry whose next report gets no reply. */
  unanswered = '';

  readonly calls: string[] = [];

  private readonly keepers: Keeper[];

  private readonly tables = new Map<string, LoadTable>();

  constructor(clock: ManualClock, domains: Record<string, string>) {
    this.keepers = Object.entries(domains).map(([id, domain]) =>
      create(KeeperSchema, { id, domain }),
    );
    this.keepers.forEach(({ id }) => this.tables.set(id, new LoadTable({ clock })));
  }

  activeKeepers(): Keeper[] {
    return this.keepers;
  }

  async callKeeper({ id }: Keeper, body: RequestBody): Promise<Reply> {
    this.calls.push(id);
    if (this.silent.has(id)) return new Promise(() => {});
    if (body?.case === 'shareLoad' && body.value.load?.id === this.unanswered) {
      this.unanswered = '';
      return new Promise(() => {});
    }
    if (this.failing.has(id)) throw new Error('connection refused');
    assert.equal(body?.case, 'shareLoad');
    const load = create(EntryLoadSchema, body?.case === 'shareLoad' ? body.value.load : {});
    const loads = this.tables.get(id)?.exchange(load) ?? [];
    return create(ReplySchema, { body: { case: 'entryLoads', value: { loads } } });
  }
}

function createFleet(domains: Record<string, string>) {
  const clock = new ManualClock();
  const log = new MemoryEventLog();
  const keepers = new KeeperStandins(clock, domains);
  const exchangeOf = (id: string, capacity: number, address: string) => {
    const random = () => 0.99;
    const options = { id, domain: DOMAIN, address, capacity, keepers, clock, log, random };
    const exchange = new LoadExchange(options);
    exchange.run(() => STATE);
    return exchange;
  };
  const small = exchangeOf('small', 0.25, '10.0.0.1:7381');
  const large = exchangeOf('large', 1.35, '10.0.0.2:7381');
  const stop = () => [small, large].forEach((exchange) => exchange.stop());
  return { clock, log, keepers, small, large, stop };
}

test('entries of a domain learn of each other from the first keeper of their domain', async () => {
  const { clock, keepers, small, large, stop } = createFleet({ k0: 'd1', k1: DOMAIN, k2: DOMAIN });
  assert.equal(small.place(), undefined);
  await clock.advance(1_100);
  assert.deepEqual(small.place(), { id: 'large', address: { host: '10.0.0.2', port: 7381 } });
  assert.equal(large.place(), undefined);
  assert.deepEqual([...new Set(keepers.calls)], ['k1']);
  stop();
});

const FAILURES = [
  { name: 'refuses', fail: (keepers: KeeperStandins) => keepers.failing.add('k1') },
  { name: 'is silent', fail: (keepers: KeeperStandins) => keepers.silent.add('k1') },
];

FAILURES.forEach(({ name, fail }) => {
  test(`another keeper of the domain is used when the first one ${name}`, async () => {
    const { clock, log, keepers, small, stop } = createFleet({ k1: DOMAIN, k2: DOMAIN });
    fail(keepers);
    // Two exchanges with the first keeper have to fail.
    await clock.advance(3_500);
    assert.equal(small.place()?.id, 'large');
    assert.ok(keepers.calls.includes('k2'));
    assert.ok(log.events.some(({ event }) => event === 'loadNotShared'));
    stop();
  });
});

test('an entry that misses one reply still learns of the others', async () => {
  const { clock, keepers, small, stop } = createFleet({ k1: DOMAIN, k2: DOMAIN });
  await clock.advance(1_100);
  assert.equal(small.place()?.id, 'large');
  keepers.unanswered = 'small';
  await clock.advance(1_600);
  assert.equal(small.place()?.id, 'large');
  stop();
});

test('without reports, each entry serves its own connections', async () => {
  const { clock, keepers, small, stop } = createFleet({ k1: DOMAIN });
  await clock.advance(1_100);
  keepers.failing.add('k1');
  await clock.advance(2_500);
  assert.equal(small.place(), undefined);
  stop();
});

test('an entry that could not be reached is excluded for some seconds', async () => {
  const { clock, small, stop } = createFleet({ k1: DOMAIN });
  await clock.advance(1_100);
  small.exclude('large');
  assert.equal(small.place(), undefined);
  await clock.advance(3_500);
  assert.equal(small.place()?.id, 'large');
  stop();
});

test('a keeper forgets entries that report no more, and adds the age of a report', async () => {
  const clock = new ManualClock();
  const table = new LoadTable({ clock });
  const load = (id: string, domain = DOMAIN) =>
    create(EntryLoadSchema, { id, domain, stalenessMs: 100 });
  table.exchange(load('a'));
  table.exchange(load('b', 'd1'));
  await clock.advance(300);
  const loads = table.exchange(load('c'));
  assert.deepEqual(
    loads.map(({ id, stalenessMs }) => ({ id, stalenessMs })),
    [{ id: 'a', stalenessMs: 400 }],
  );
  await clock.advance(2_100);
  assert.deepEqual(table.exchange(load('d')), []);
});

test('whether an entry serves all connections is not decided again for each request', async () => {
  const clock = new ManualClock();
  const keepers = new KeeperStandins(clock, {});
  const log = new MemoryEventLog();
  const place = { id: 'e0', domain: DOMAIN, address: '127.0.0.1:1', capacity: 1 };
  const exchange = new LoadExchange({ ...place, keepers, clock, log });
  let reads = 0;
  exchange.run(() => {
    reads += 1;
    return STATE;
  });
  const readsOf = (requests: number) => {
    const before = reads;
    for (let request = 0; request < requests; request += 1) assert.equal(exchange.servesAll, true);
    return reads - before;
  };
  assert.equal(readsOf(100), 1);
  await clock.advance(100);
  assert.equal(readsOf(100), 1);
  exchange.stop();
});
