import assert from 'node:assert/strict';
import test from 'node:test';
import { toCallError } from '@marjorampin/types';
import fc from 'fast-check';
import { ScheduledClock } from '@marjorampin/standins';
import { BudgetAccount, budgetKey } from '../budgetAccount';
import type { Ledger } from '../ledgerClient';
import {
  deliveriesArbitrary,
  DeliverySequence,
  openLedger,
  PROPERTY_PARAMETERS,
  ScheduledStore,
} from './scheduledFakes';

const PROGRAM = 'customer.0007.0123456789abcdef01234567';
const GRANTED = 80;

interface Step {
  action: 'spend' | 'takeover' | 'end';
  tokens: number;
  /** Owner that acts, counted back from the newest; a former one may not know its successor. */
  owner: number;
}

const stepArbitrary: fc.Arbitrary<Step> = fc.record({
  action: fc.constantFrom('spend', 'spend', 'spend', 'takeover', 'end'),
  tokens: fc.integer({ min: 1, max: 30 }),
  owner: fc.integer({ min: 0, max: 3 }),
});

/** Opens the account as `ProgramRegistry` does for a program that was not handed over. */
async function recoverAccount(ledger: Ledger, epoch: number): Promise<BudgetAccount | undefined> {
  const read = await ledger.read(budgetKey(PROGRAM));
  if (read.err) return undefined;
  const recorded = read.val?.granted ?? 0;
  const account = new BudgetAccount({
    program: PROGRAM,
    granted: GRANTED,
    recorded,
    epoch,
    ledger,
  });
  account.assumeUpperBound();
  return account;
}

test('all owners of a program together never spend more than its grant', async () => {
  await fc.assert(
    fc.asyncProperty(
      fc.scheduler(),
      fc.array(stepArbitrary, { minLength: 1, maxLength: 14 }),
      deliveriesArbitrary,
      async (scheduler, steps, deliveries) => {
        const clock = new ScheduledClock(scheduler);
        const store = new ScheduledStore(scheduler, new DeliverySequence(deliveries));
        const firstLedger = openLedger(store, clock, 1);
        const owners = [
          new BudgetAccount({ program: PROGRAM, granted: GRANTED, epoch: 1, ledger: firstLedger }),
        ];
        let epoch = 1;
        let spent = 0;
        const runStep = async ({ action, tokens, owner }: Step) => {
          if (action === 'takeover') {
            epoch += 1;
            const account = await recoverAccount(openLedger(store, clock, epoch), epoch);
            if (account) owners.push(account);
            return;
          }
          const account = owners[Math.max(0, owners.length - 1 - owner)];
          if (!account) return;
          if (action === 'end') {
            await account.close();
            return;
          }
          await account.reserve(tokens);
          account.settle(tokens, tokens);
          spent += tokens;
        };
        const running = steps.map((step) =>
          scheduler.schedule(Promise.resolve()).then(() => runStep(step).catch(toCallError)),
        );
        await scheduler.waitIdle();
        await Promise.all(running);
        await scheduler.waitIdle();
        assert.ok(spent <= GRANTED, `${spent} of ${GRANTED} tokens were spent`);
      },
    ),
    PROPERTY_PARAMETERS,
  );
});

const CASES: { name: string; reserved: number[]; settled: number[]; kind: string | undefined }[] = [
  {
    name: 'spending within the first chunk is allowed',
    reserved: [5],
    settled: [5],
    kind: undefined,
  },
  {
    name: 'spending over several chunks is allowed',
    reserved: [30, 30],
    settled: [30, 30],
    kind: undefined,
  },
  {
    name: 'a reservation above the grant is refused',
    reserved: [81],
    settled: [],
    kind: 'budget-exhausted',
  },
  {
    name: 'a reservation above the remaining tokens is refused',
    reserved: [60, 30],
    settled: [60],
    kind: 'budget-exhausted',
  },
  {
    name: 'tokens reserved but not spent can be reserved again',
    reserved: [60, 60],
    settled: [10],
    kind: undefined,
  },
];

CASES.forEach(({ name, reserved, settled, kind }) => {
  test(`budget: ${name}`, async () => {
    const clock = new ScheduledClock(immediateScheduler());
    const store = new ScheduledStore(immediateScheduler(), new DeliverySequence([]));
    const ledger = openLedger(store, clock, 1);
    const account = new BudgetAccount({ program: PROGRAM, granted: GRANTED, epoch: 1, ledger });
    const kinds: string[] = [];
    for (const [index, tokens] of reserved.entries()) {
      const reservation = await account.reserve(tokens).catch(toCallError);
      if (reservation) kinds.push(reservation.kind);
      else account.settle(tokens, settled[index] ?? tokens);
    }
    assert.equal(kinds[0], kind);
    assert.ok(account.spent <= GRANTED);
  });
});

function immediateScheduler(): fc.Scheduler {
  return { schedule: <Value>(value: Promise<Value>) => value } as unknown as fc.Scheduler;
}
