import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import { MemoryEventLog } from '@marjorampin/logging';
import { PermitKeepersStandin, propertyParameters } from '@marjorampin/standins';
import { ManualClock } from '@marjorampin/types';
import { PermitClient } from '../permitClient';

const WINDOW_MS = 4_000;
const STEP_MS = 50;
const DURATION_MS = 12_000;
const PATIENCE_MS = 500;
/** Time in which every entry reads a new roster. */
const ROSTER_DELAY_MS = 1_000;

/** Faults of keepers, entries and links. */
type Fault =
  | { kind: 'cut'; entry: number; keeper: number }
  | { kind: 'heal' }
  | { kind: 'restart'; keeper: number }
  | { kind: 'replace' | 'remove'; keeper: number; unaware: number[] }
  | { kind: 'pause'; entry: number; forMs: number };

/** One simulated run. */
interface Run {
  perSecond: number;
  entries: number;
  /** The n-th fault takes place after n seconds. */
  faults: Fault[];
}

/** A request that was granted a permit. */
interface SentRequest {
  entry: number;
  atMs: number;
}

/** The keepers of a run, of which one at most differs from the first ones. */
class ChangingKeepers {
  private readonly standin: PermitKeepersStandin;

  private ids = ['k0', 'k1', 'k2'];

  private replacements = 0;

  constructor(standin: PermitKeepersStandin) {
    this.standin = standin;
  }

  apply(fault: Fault): void {
    this.standin.updateAll();
    if (fault.kind === 'heal') this.standin.heal();
    if (!('keeper' in fault)) return;
    const { keeper } = fault;
    const id = this.ids[keeper % this.ids.length] ?? '';
    if (fault.kind === 'cut') this.standin.cut(`${fault.entry}`, id);
    if (fault.kind === 'restart') this.standin.restart(id);
    if (fault.kind !== 'replace' && fault.kind !== 'remove') return;
    // A removed keeper is replaced by the next change.
    const isComplete = this.ids.length === 3;
    const others = isComplete ? this.ids.filter((other) => other !== id) : this.ids;
    this.replacements += 1;
    const added = fault.kind === 'replace' || !isComplete ? [`new${this.replacements}`] : [];
    this.ids = [...others, ...added];
    this.standin.setKeepers(
      this.ids,
      fault.unaware.map((entry) => `${entry}`),
    );
  }
}

/** Runs entries that ask for permits as often as they can; returns the requests that were granted. */
async function simulate({ perSecond, entries, faults }: Run): Promise<SentRequest[]> {
  const clock = new ManualClock();
  const standin = await PermitKeepersStandin.create({ clock });
  const keepers = new ChangingKeepers(standin);
  const clients = Array.from({ length: entries }, (_, entry) => {
    const log = new MemoryEventLog();
    return new PermitClient({ keepers: standin.of(`${entry}`), clock, log });
  });
  const limit = { perSecond, observedAtMs: 0 };
  const pausedUntilMs = new Map<number, number>();
  const requests: SentRequest[] = [];
  const pause = (entry: number, untilMs: number) => {
    pausedUntilMs.set(entry, untilMs);
    requests
      .filter((sent) => sent.entry === entry && sent.atMs > clock.now() && sent.atMs < untilMs)
      .forEach((sent) => Object.assign(sent, { atMs: untilMs }));
  };
  for (let step = 0; step * STEP_MS < DURATION_MS; step += 1) {
    const nowMs = clock.now();
    const fault = nowMs % ROSTER_DELAY_MS === 0 ? faults[nowMs / ROSTER_DELAY_MS - 1] : undefined;
    if (fault) keepers.apply(fault);
    if (fault?.kind === 'pause') pause(fault.entry % entries, nowMs + fault.forMs);
    for (const [entry, client] of clients.entries()) {
      const isPaused = (pausedUntilMs.get(entry) ?? 0) > nowMs;
      const permit = isPaused
        ? undefined
        : await client.acquire({ endpoint: 'e', limit, maximumWaitMs: PATIENCE_MS });
      if (permit?.outcome === 'granted') requests.push({ entry, atMs: nowMs + permit.waitMs });
    }
    await clock.advance(STEP_MS);
  }
  return requests;
}

/** Returns the largest number of requests in any window. */
function mostInWindow(requests: SentRequest[]): number {
  const times = requests.map(({ atMs }) => atMs).sort((a, b) => a - b);
  let end = 0;
  const sizes = times.map((startMs, index) => {
    while ((times[end] ?? Infinity) < startMs + WINDOW_MS) end += 1;
    return end - index;
  });
  return Math.max(0, ...sizes);
}

const entry = fc.nat({ max: 59 });
const keeper = fc.nat({ max: 2 });
const faultArbitrary: fc.Arbitrary<Fault> = fc.oneof(
  fc.record({ kind: fc.constant('cut' as const), entry, keeper }),
  fc.record({ kind: fc.constant('heal' as const) }),
  fc.record({ kind: fc.constant('restart' as const), keeper }),
  fc.record({
    kind: fc.constantFrom('replace' as const, 'remove' as const),
    keeper,
    unaware: fc.array(entry, { maxLength: 60 }),
  }),
  fc.record({ kind: fc.constant('pause' as const), entry, forMs: fc.nat({ max: 5_000 }) }),
);

test('entries exceed a rate limit while keepers and entries fail and change', async () => {
  await fc.assert(
    fc.asyncProperty(
      fc.record({
        perSecond: fc.double({ min: 0.1, max: 60, noNaN: true }),
        entries: fc.constantFrom(1, 3, 60),
        faults: fc.array(faultArbitrary, { maxLength: 11 }),
      }),
      async (run) => {
        const most = mostInWindow(await simulate(run));
        const allowed = 1.5 * 4 * run.perSecond + 5;
        assert.ok(most <= allowed, `${most} requests in 4 s, at most ${allowed} are allowed`);
      },
    ),
    propertyParameters(60),
  );
});

/** Shares of the limit that are used while all entries ask for permits. */
const USE_CASES: { name: string; run: Run; share: number }[] = [
  { name: 'without faults', run: { perSecond: 6, entries: 3, faults: [] }, share: 0.9 },
  { name: 'by 60 entries', run: { perSecond: 6, entries: 60, faults: [] }, share: 0.9 },
  { name: 'at a low limit', run: { perSecond: 0.5, entries: 60, faults: [] }, share: 0.75 },
  {
    name: 'while one entry reaches a single keeper',
    run: {
      perSecond: 6,
      entries: 3,
      faults: [
        { kind: 'cut', entry: 0, keeper: 0 },
        { kind: 'cut', entry: 0, keeper: 1 },
      ],
    },
    share: 0.9,
  },
  {
    name: 'while no entry reaches one of three keepers',
    run: {
      perSecond: 6,
      entries: 3,
      faults: [0, 1, 2].map((each) => ({ kind: 'cut', entry: each, keeper: 1 })),
    },
    share: 0.6,
  },
  {
    name: 'after a keeper was removed',
    run: { perSecond: 6, entries: 3, faults: [{ kind: 'remove', keeper: 1, unaware: [] }] },
    share: 0.9,
  },
];

USE_CASES.forEach(({ name, run, share }) => {
  test(`less than ${share} of a rate limit is used ${name}`, async () => {
    const requests = await simulate(run);
    const used = requests.length / ((run.perSecond * DURATION_MS) / 1_000);
    assert.ok(used >= share, `only ${used} of the limit is used`);
  });
});

/** Silent keepers among three, and how they may hold up several requests together. */
const SILENCE_CASES = [
  { silent: ['k0'], outcome: 'granted', mostMs: 300 },
  { silent: ['k0', 'k1'], outcome: 'granted', mostMs: 600 },
  { silent: ['k0', 'k1', 'k2'], outcome: 'unavailable', mostMs: 900 },
];

SILENCE_CASES.forEach(({ silent, outcome, mostMs }) => {
  test(`${silent.length} of 3 silent keepers hold up each request for a permit`, async () => {
    const clock = new ManualClock();
    const keepers = await PermitKeepersStandin.create({ clock });
    const client = new PermitClient({ keepers: keepers.of('0'), clock, log: new MemoryEventLog() });
    silent.forEach((id) => keepers.silence(id));
    const acquireAll = async () => {
      const outcomes: string[] = [];
      for (let request = 0; request < 6; request += 1) {
        const limit = { perSecond: 600, observedAtMs: 0 };
        const permit = await client.acquire({ endpoint: 'e', limit, maximumWaitMs: PATIENCE_MS });
        outcomes.push(permit.outcome);
      }
      return { outcomes, endedAtMs: clock.now() };
    };
    const acquired = acquireAll();
    await clock.advance(mostMs + STEP_MS);
    const { outcomes, endedAtMs } = await acquired;
    assert.deepEqual([...new Set(outcomes)], [outcome]);
    assert.ok(endedAtMs <= mostMs, `the requests took ${endedAtMs} ms`);
  });
});
