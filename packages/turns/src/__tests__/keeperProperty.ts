/** The property that turns and budgets hold, and its generators. */
import assert from 'node:assert/strict';
import { create } from '@bufbuild/protobuf';
import { MemoryEventLog } from '@marjorampin/logging';
import { loadHash } from '@marjorampin/membership';
import { TurnRecordSchema } from '@marjorampin/protocol';
import { ScheduledClock } from '@marjorampin/standins';
import { ManualClock, toCallError } from '@marjorampin/types';
import fc from 'fast-check';
import { TurnStore, type TurnReservation } from '../turnStore';
import { type Fate, KEEPERS, type Mutation, SimulatedKeepers } from './simulatedKeepers';

/** A message takes a few steps, so that most are faster than most timeouts. */
const STEP_MS = 40;

const PROGRAM = 'p';
const BUDGET = 40;
const LARGEST_TURN = 10;
const ENTRIES = ['w', 'x', 'y', 'z'];

type Step =
  | { action: 'turn'; entry: number; tokens: number; used: number; continues: number }
  | { action: 'abandoned turn'; entry: number; tokens: number; used: number; continues: number }
  | { action: 'crash' | 'wipe' | 'restore'; keeper: number }
  | { action: 'separate'; entry: number; keeper: number }
  | { action: 'heal' };

const turnFields = {
  entry: fc.nat({ max: ENTRIES.length - 1 }),
  tokens: fc.integer({ min: 5, max: LARGEST_TURN }),
  used: fc.integer({ min: 1, max: 2 * LARGEST_TURN }),
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
      action: fc.constant('separate' as const),
      entry: turnFields.entry,
      keeper,
    }),
  },
  { weight: 1, arbitrary: fc.record({ action: fc.constant('heal' as const) }) },
);

const fatesArbitrary = fc.array(
  fc.constantFrom<Fate>(
    'delivered',
    'delivered',
    'delivered',
    'request-lost',
    'answer-lost',
    'late',
  ),
  { maxLength: 60 },
);

const hash = await loadHash();

/** Plays rounds of concurrent steps and then a calm end; checks what must hold at every moment. */
async function play(
  scheduler: fc.Scheduler,
  rounds: Step[][],
  fates: Fate[],
  mutation: Mutation,
): Promise<void> {
  const clock = new ScheduledClock(scheduler, { stepMs: STEP_MS });
  const keepers = new SimulatedKeepers({ clock, hash, mutation, scheduler, fates });
  const log = new MemoryEventLog();
  const stores = ENTRIES.map((side) => {
    const peers = keepers.peersOf(side);
    const store = new TurnStore({ peers, hash, lossLimit: 1, domain: side, clock, log });
    store.adopt(keepers.roster);
    return store;
  });
  const acknowledged: string[] = [];
  let handedOut = 0;
  let turns = 0;

  const runTurn = async (step: Extract<Step, { entry: number; tokens: number }>) => {
    const store = stores[step.entry];
    if (!store) return;
    turns += 1;
    const turn = `t${turns}`;
    const previous = acknowledged[acknowledged.length - step.continues];
    const reservation: TurnReservation = {
      program: PROGRAM,
      turn,
      tokens: step.tokens,
      budget: BUDGET,
      previous,
      retentionMs: 1e9,
    };
    const chain = await store.reserve(reservation).catch((error) => {
      const { kind } = toCallError(error);
      assert.notEqual(kind, 'unknown-turn', `${previous} was acknowledged and then denied`);
      assert.notEqual(kind, 'internal');
    });
    if (!chain) return;
    assert.equal(chain.at(-1)?.turn, previous);
    assert.deepEqual(
      chain.at(-1)?.ancestors ?? [],
      chain.slice(0, -1).map((each) => each.turn),
    );
    const used = Math.min(step.used, step.tokens);
    handedOut += used;
    assert.ok(handedOut <= BUDGET, `${handedOut} of ${BUDGET} tokens were handed out`);
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
    const isKept = await store.commit(record).then(
      () => true,
      () => false,
    );
    if (isKept) acknowledged.push(turn);
    else store.settle(reservation, used);
  };

  const act = async (step: Step) => {
    if (step.action === 'heal') keepers.heal();
    else if (step.action === 'separate') {
      keepers.separate(ENTRIES[step.entry] ?? '', KEEPERS[step.keeper] ?? '');
    } else if ('entry' in step) await runTurn(step);
    else await keepers[step.action](KEEPERS[step.keeper] ?? '');
  };

  const failures: unknown[] = [];
  for (const steps of rounds) {
    const running = steps.map((step) =>
      scheduler
        .schedule(Promise.resolve())
        .then(() => act(step))
        .catch((error: unknown) => failures.push(error)),
    );
    await scheduler.waitIdle();
    await Promise.all(running);
    if (failures.length > 0) throw failures[0];
  }

  // All keepers lose power at once; then every acknowledged turn has to be there again.
  keepers.heal();
  const restarts = KEEPERS.map((id) => keepers.crash(id));
  await scheduler.waitIdle();
  await Promise.all(restarts);
  // A round may find others that have not restored yet themselves.
  for (let round = 0; round < KEEPERS.length; round += 1) {
    KEEPERS.forEach((id) => keepers.refresh(id));
    const restorations = KEEPERS.map((id) => keepers.restore(id));
    await scheduler.waitIdle();
    await Promise.all(restorations);
  }
  const reader = new TurnStore({
    peers: keepers.peersOf('reader'),
    hash,
    lossLimit: 1,
    domain: 'reader',
    // Nothing fails any more, so that nothing may time out.
    clock: new ManualClock(),
    log,
  });
  reader.adopt(keepers.roster);
  const readBack: string[] = [];
  const reads = acknowledged.map(async (previous) => {
    const reservation = { program: 'q', turn: `after ${previous}`, tokens: 1, budget: 1e9 };
    const chain = await reader.reserve({ ...reservation, previous, retentionMs: 1e9 });
    assert.equal(Buffer.from(chain.at(-1)?.output ?? []).toString(), `output of ${previous}`);
    readBack.push(previous);
  });
  const allRead = Promise.all(reads);
  allRead.catch(() => undefined);
  await scheduler.waitIdle();
  if (readBack.length < acknowledged.length) {
    await Promise.race([allRead, Promise.reject(new Error('a turn that was kept is not read'))]);
  }
}

/** Returns the property of keepers with a fault of their own, or with none. */
export function keeperProperty(mutation: Mutation) {
  return fc.asyncProperty(
    fc.scheduler(),
    fc.array(fc.array(stepArbitrary, { minLength: 1, maxLength: 8 }), { maxLength: 6 }),
    fatesArbitrary,
    (scheduler, rounds, fates) => play(scheduler, rounds, fates, mutation),
  );
}
