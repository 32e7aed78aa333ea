import { readFileSync, writeFileSync } from 'node:fs';
import { BudgetAccount, type Ledger, Program } from '@marjorampin/entry';
import { createSegment, MemoryHistoryStore } from '@marjorampin/history';
import { createLedgerRecord, LedgerShard } from '@marjorampin/ledger';
import { loadHash, type Member, MonitorRing, rendezvousOrder } from '@marjorampin/membership';
import { MemoryKeyValueStore } from '@marjorampin/store';
import { chooseEndpoint, EndpointDirectory } from '@marjorampin/routing';
import { createProgramId, type Endpoint, ManualClock, SystemClock } from '@marjorampin/types';
import { renderCapacityTables, replaceTables } from './capacityPage';
import { fitSlope, type Point, type Slope } from './slope';

const RESULTS = 'docs/capacity.json';
const PAGE = 'docs/CAPACITY.md';
const SIZES = [2_000, 8_000, 32_000];

/** A measured slope and the source file that it measures. */
export interface MeasuredSlope extends Slope {
  name: string;
  unit: string;
  points: Point[];
  code: string;
}

/** All measured slopes, as stored in `docs/capacity.json`. */
export interface CapacityResults {
  slopes: MeasuredSlope[];
}

/**
 * Measures how memory, processor time and store writes grow with size, and writes the results to
 * `docs/capacity.json` and to the tables of `docs/CAPACITY.md`. Needs `node --expose-gc`.
 */
export async function measureCapacity(): Promise<void> {
  if (!globalThis.gc) throw new Error('no garbage collector exposed; run "npm run bench:capacity"');
  const slopes = [
    ...(await measureMemory()),
    await measureMonitorRing(),
    await measureRendezvousOrder(),
    await measureEndpointChoice(),
    await measureLedgerWrites(),
  ];
  const results: CapacityResults = { slopes };
  writeFileSync(RESULTS, `${JSON.stringify(results, null, 2)}\n`);
  writeFileSync(PAGE, replaceTables(readFileSync(PAGE, 'utf8'), renderCapacityTables(results)));
  slopes.forEach(({ name, perUnit, unit, residual }) => {
    console.log(
      `${name}: ${perUnit.toPrecision(3)} ${unit}, residual ${(residual * 100).toFixed(1)}%`,
    );
  });
}

async function measureMemory(): Promise<MeasuredSlope[]> {
  // No budget is spent here, so the ledger is never called.
  const ledger = undefined as unknown as Ledger;
  // The divisor 4,096 equals `PARTITION_COUNT`.
  const createProgram = (index: number) => {
    const id = createProgramId({ customer: 'customer', partition: index % 4_096 });
    const budget = new BudgetAccount({ program: id, granted: 100_000, epoch: 1, ledger });
    const options = { customer: 'customer', parent: '', partition: index % 4_096, epoch: 1 };
    return new Program({ id, ...options, budget, expiresMs: 0 });
  };
  const createEndpoint = (index: number): Endpoint => ({
    id: `assistant-${index}`,
    service: 'assistant',
    address: '10.0.0.1:7500',
    incarnation: `0a1b2c3d-${index}`,
    domain: 'zone-1',
    state: 'live',
  });
  return [
    await measureMemorySlope(
      'memory of a program at its owner, without history',
      'entry/program.ts',
      async (size) => Array.from({ length: size }, (_, index) => createProgram(index)),
    ),
    await measureMemorySlope(
      'memory of a history segment of 1 KB, held in memory',
      'history/historyStore.ts',
      async (size) => {
        const store = new MemoryHistoryStore();
        for (let index = 0; index < size; index += 1) {
          const text = `${index} `.repeat(Math.ceil(512 / `${index} `.length));
          const fields = { program: `p${index % 100}`, turn: Math.floor(index / 100) + 1 };
          const content = {
            request: text,
            answer: `${text}.`,
            requestDigest: '',
            previousDigest: '',
          };
          await store.store(createSegment({ ...fields, ...content, kind: 'model', spent: 0 }));
        }
        return store;
      },
    ),
    await measureMemorySlope(
      'memory of an endpoint in the directory',
      'routing/endpointDirectory.ts',
      async (size) => {
        const directory = new EndpointDirectory({ clock: new SystemClock() });
        directory.update(Array.from({ length: size }, (_, index) => createEndpoint(index)));
        return directory;
      },
    ),
    await measureMemorySlope(
      'memory of a key at a ledger writer',
      'ledger/ledgerShard.ts',
      async (size) => {
        const store = new MemoryKeyValueStore();
        const shard = new LedgerShard({
          store,
          shard: 0,
          writer: 'entry-0',
          clock: new SystemClock(),
          commitIntervalMs: 0,
        });
        const appends = Array.from({ length: size }, (_, index) =>
          shard.append([
            createLedgerRecord({
              key: `call/customer/bookings/${index}`,
              kind: 'intent',
              attempt: 1,
              program: `customer.0001.${index}`,
              endpoint: 'bookings-0',
              incarnation: '0a1b2c3d',
            }),
          ]),
        );
        await Promise.all(appends);
        return shard;
      },
      [2_000, 4_000, 8_000],
    ),
  ];
}

async function measureMemorySlope(
  name: string,
  code: string,
  build: (size: number) => Promise<unknown>,
  sizes = SIZES,
): Promise<MeasuredSlope> {
  const points: Point[] = [];
  for (const size of sizes) {
    globalThis.gc?.();
    const before = process.memoryUsage().heapUsed;
    const built = await build(size);
    globalThis.gc?.();
    points.push({ size, value: process.memoryUsage().heapUsed - before });
    // Keeps the structure reachable until its memory is measured.
    if (built === undefined) throw new Error('the benchmark built no structure to measure');
  }
  return { name, code, unit: 'bytes', points, ...fitSlope(points) };
}

function createMembers(size: number): Member[] {
  return Array.from({ length: size }, (_, index) => ({
    id: `entry-${index}`,
    address: '',
    domain: `domain-${index % 18}`,
    incarnation: '1',
    leaving: false,
    token: '',
  }));
}

/** Processor time of building the monitor ring after a membership change, by number of members. */
async function measureMonitorRing(): Promise<MeasuredSlope> {
  const hash = await loadHash();
  const points = [100, 400, 1_300].map((size) => {
    const members = createMembers(size);
    const value = measureMicroseconds(30, () =>
      new MonitorRing({ members, hash }).monitoredBy('entry-1'),
    );
    return { size, value };
  });
  const name = 'processor time of a change of members, for each member';
  return { name, code: 'membership/monitorRing.ts', unit: 'µs', points, ...fitSlope(points) };
}

/** Processor time of the rendezvous order of one partition, by number of members. */
async function measureRendezvousOrder(): Promise<MeasuredSlope> {
  const hash = await loadHash();
  const points = [100, 400, 1_300].map((size) => {
    const ids = createMembers(size).map(({ id }) => id);
    return { size, value: measureMicroseconds(200, (seed) => rendezvousOrder(ids, seed, hash)) };
  });
  const name = 'processor time of one rendezvous order, for each member';
  return { name, code: 'membership/rendezvous.ts', unit: 'µs', points, ...fitSlope(points) };
}

/** Processor time of choosing an endpoint, by number of endpoints. */
async function measureEndpointChoice(): Promise<MeasuredSlope> {
  const points = [10, 100, 1_000].map((size) => {
    const directory = new EndpointDirectory({ clock: new SystemClock() });
    const endpoints = Array.from({ length: size }, (_, index) => ({
      id: `assistant-${index}`,
      service: 'assistant',
      address: '',
      incarnation: '1',
      domain: '',
      state: 'live' as const,
    }));
    directory.update(endpoints);
    const request = { warmEndpoint: 'assistant-3', contextTokens: 1_000, wastedCachePriceMs: 0.1 };
    const value = measureMicroseconds(300, () =>
      chooseEndpoint(directory.available('assistant'), request),
    );
    return { size, value };
  });
  const name = 'processor time of one choice, for each endpoint known';
  return { name, code: 'routing/chooseEndpoint.ts', unit: 'µs', points, ...fitSlope(points) };
}

/** Store writes a second of one ledger shard, by appends a second. */
async function measureLedgerWrites(): Promise<MeasuredSlope> {
  const points: Point[] = [];
  for (const size of [1_000, 4_000, 16_000]) {
    const store = new MemoryKeyValueStore();
    const clock = new ManualClock();
    const shard = new LedgerShard({ store, shard: 0, writer: 'entry-0', clock });
    const seconds = 10;
    for (let tick = 0; tick < seconds * 100; tick += 1) {
      for (let index = 0; index < size / (seconds * 100); index += 1) {
        const key = `call/${tick}/${index}`;
        shard.append([createLedgerRecord({ key, kind: 'intent', attempt: 1 })]);
      }
      await clock.advance(10);
    }
    points.push({ size: size / seconds, value: store.counts.writes / seconds });
  }
  const name = 'writes to the store a second at one ledger shard, for each append a second';
  return { name, code: 'ledger/ledgerShard.ts', unit: 'writes', points, ...fitSlope(points) };
}

/** Returns the mean processor time of one call of `run`, in microseconds, after equally many warm-up
 * calls. */
function measureMicroseconds(calls: number, run: (index: number) => unknown): number {
  for (let index = 0; index < calls; index += 1) run(index);
  const before = process.cpuUsage();
  for (let index = 0; index < calls; index += 1) run(index);
  const { user, system } = process.cpuUsage(before);
  return (user + system) / calls;
}
