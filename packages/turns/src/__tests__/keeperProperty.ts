/** Property of turns and budgets under faults, and its generators. */
import assert from 'node:assert/strict';
import { create } from '@bufbuild/protobuf';
import { MemoryEventLog } from '@marjorampin/logging';
import { loadHash } from '@marjorampin/membership';
import { TurnRecordSchema } from '@marjorampin/protocol';
import { ScheduledClock } from '@marjorampin/standins';
import { ManualClock, toCallError } from '@marjorampin/types';
import fc from 'fast-check';
import { TurnStore, type TurnReservation } from '../turnStore';
import { type Delivery, KEEPERS, type Mutation, SimulatedKeepers } from './simulatedKeepers';

/** Time of one scheduler step. A message takes a few steps, so most arrive before most timeouts. */
const STEP_MS = 40;

const PROGRAM = 'p';
const BUDGET_TOKENS = 40;
const MAXIMUM_TURN_TOKENS = 10;
const ENTRIES = ['w', 'x', 'y', 'z'];

type Step =
  | { action: 'turn'; entry: number; tokens: number; used: number; continues: number }
  | { action: 'abandoned turn'; entry: number; tokens: number; used: number; continues: number }
  | { action: 'crash' | 'wipe' | 'restore'; keeper: number }
  | { action: 'disconnect'; entry: number; keeper: number }
  | { action: 'heal' };

/** Fields of a turn. `continues` selects the previous turn, counted back from the latest committed
 * one, which is 1; 0 starts a new chain. `used` is capped at `tokens`. */
const turnFields = {
  entry: fc.nat({ max: ENTRIES.length - 1 }),
  tokens: fc.integer({ min: 5, max: MAXIMUM_TURN_TOKENS }),
  used: fc.integer({ min: 1, max: 2 * MAXIMUM_TURN_TOKENS }),
  continues: fc.nat({ max: 4 }),
};
const keeper = fc.nat({ max: 2 });

const stepArbitrary: fc.Arbitrary<Step> = fc.oneof(
  { weight: 6, arbitrary: fc.record({ action: fc.constant('turn' as const), ...turnFields }) },
  {
    weight: 1,
    arbitrary: fc.record({ action: fc.constant('abandoned turn' as const), ...turnFields }),
  },
  {
    weight: 3,
    arbitrary: fc.record({ action: fc.constantFrom('crash', 'wipe', 'restore'), keeper }),
  },
  {
    weight: 3,
    arbitrary: fc.record({
      action: fc.constant('disconnect' as const),
      entry: turnFields.entry,
      keeper,
    }),
  },
  { weight: 1, arbitrary: fc.record({ action: fc.constant('heal' as const) }) },
);

const deliveriesArbitrary = fc.array(
  fc.constantFrom<Delivery>(
    'delivered',
    'delivered',
    'delivered',
    'request-lost',
    'reply-lost',
    'delayed',
  ),
  { maxLength: 60 },
);

const hash = await loadHash();

/** Runs rounds of concurrent steps, then a phase without faults; checks invariants throughout. */
async function runScenario(
  scheduler: fc.Scheduler,
  rounds: Step[][],
  deliveries: Delivery[],
  mutation: Mutation,
): Promise<void> {
  const clock = new ScheduledClock(scheduler, { stepMs: STEP_MS });
  const keepers = new SimulatedKeepers({ clock, hash, mutation, scheduler, deliveries });
  const log = new MemoryEventLog();
  const stores = ENTRIES.map((entry) => {
    const peers = keepers.peersOf(entry);
    const store = new TurnStore({ peers, hash, lossLimit: 1, domain: entry, clock, log });
    store.adopt(keepers.roster);
    return store;
  });
  const committed: string[] = [];
  let usedTokens = 0;
  let turns = 0;

  const runTurn = async (step: Extract<Step, { entry: number; tokens: number }>) => {
    const store = stores[step.entry];
    if (!store) return;
    turns += 1;
    const turn = `t${turns}`;
    const previous = committed[committed.length - step.continues];
    const reservation: TurnReservation = {
      program: PROGRAM,
      turn,
      tokens: step.tokens,
      budget: BUDGET_TOKENS,
      previous,
      retentionMs: 1e9,
    };
    const chain = await store.reserve(reservation).catch((error) => {
      const { kind } = toCallError(error);
      assert.notEqual(kind, 'unknown-turn', `committed turn ${previous} is reported as unknown`);
      assert.notEqual(kind, 'internal');
    });
    if (!chain) return;
    assert.equal(chain.at(-1)?.turn, previous);
    assert.deepEqual(
      chain.at(-1)?.ancestors ?? [],
      chain.slice(0, -1).map((each) => each.turn),
    );
    const used = Math.min(step.used, step.tokens);
    usedTokens += used;
    assert.ok(usedTokens <= BUDGET_TOKENS, `${usedTokens} of ${BUDGET_TOKENS} tokens were used`);
    if (step.action === 'abandoned turn') return;
    const record = create(TurnRecordSchema, {
      turn,
      program: PROGRAM,
      ancestors: chain.map((each) => each.turn),
      input: Buffer.from(`input of ${turn}`),
      output: Buffer.from(`output of ${turn}`),
      outputTokens: used,
      retentionMs: 1e9,
    });
    const isCommitted = await store.commit(record).then(
      () => true,
      () => false,
    );
    if (isCommitted) committed.push(turn);
    else store.settle(reservation, used);
  };

  const runStep = async (step: Step) => {
    if (step.action === 'heal') keepers.heal();
    else if (step.action === 'disconnect') {
      keepers.disconnect(ENTRIES[step.entry] ?? '', KEEPERS[step.keeper] ?? '');
    } else if ('entry' in step) await runTurn(step);
    else await keepers[step.action](KEEPERS[step.keeper] ?? '');
  };

  const failures: unknown[] = [];
  for (const steps of rounds) {
    const running = steps.map((step) =>
      scheduler
        .schedule(Promise.resolve())
        .then(() => runStep(step))
        .catch((error: unknown) => failures.push(error)),
    );
    await scheduler.waitIdle();
    await Promise.all(running);
    if (failures.length > 0) throw failures[0];
  }

  // After all keepers lose power at once, every committed turn must be readable.
  keepers.heal();
  const restarts = KEEPERS.map((id) => keepers.crash(id));
  await scheduler.waitIdle();
  await Promise.all(restarts);
  // Several rounds, as a keeper may copy from others that have not restored their own data yet.
  for (let round = 0; round < KEEPERS.length; round += 1) {
    KEEPERS.forEach((id) => keepers.adoptStoredRoster(id));
    const restorations = KEEPERS.map((id) => keepers.restore(id));
    await scheduler.waitIdle();
    await Promise.all(restorations);
  }
  const reader = new TurnStore({
    peers: keepers.peersOf('reader'),
    hash,
    lossLimit: 1,
    domain: 'reader',
    // There are no faults any more, so no timeout may fire.
    clock: new ManualClock(),
    log,
  });
  reader.adopt(keepers.roster);
  const readBack: string[] = [];
  const reads = committed.map(async (previous) => {
    const reservation = { program: 'q', turn: `after ${previous}`, tokens: 1, budget: 1e9 };
    const chain = await reader.reserve({ ...reservation, previous, retentionMs: 1e9 });
    assert.equal(Buffer.from(chain.at(-1)?.output ?? []).toString(), `output of ${previous}`);
    readBack.push(previous);
  });
  const allRead = Promise.all(reads);
  allRead.catch(() => undefined);
  await scheduler.waitIdle();
  if (readBack.length < committed.length) {
    await Promise.race([allRead, Promise.reject(new Error('a committed turn could not be read'))]);
  }
}

/** Returns the property for an implementation with the given mutation. */
export function keeperProperty(mutation: Mutation) {
  return fc.asyncProperty(
    fc.scheduler(),
    fc.array(fc.array(stepArbitrary, { minLength: 1, maxLength: 8 }), { maxLength: 6 }),
    deliveriesArbitrary,
    (scheduler, rounds, deliveries) => runScenario(scheduler, rounds, deliveries, mutation),
  );
}
