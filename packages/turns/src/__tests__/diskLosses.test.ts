import assert from 'node:assert/strict';
import test from 'node:test';
import { propertyParameters } from '@marjorampin/standins';
import type { Scenario, Step } from './diskLossProperty';
import type { DiskLossResult, DiskLossTask } from './diskLossWorker';
import type { KeeperMutation } from './disruptedKeepers';
import { runInThread } from './propertyThread';

/** Number of runs in CI; `FAST_CHECK_RUNS=10000` selects a long run. */
const { seed, numRuns: RUNS } = propertyParameters(80);
/** Runs within which a mutation must be detected; otherwise the property is too weak. */
const MUTANT_RUNS = 300;

const check = (task: DiskLossTask) =>
  runInThread<DiskLossTask, DiskLossResult[]>('./diskLossWorker.ts', task);

const THREE = { keepers: 3, domains: 3, lossLimit: 1 };
const FOUR = { keepers: 4, domains: 2, lossLimit: 1 };
const SIX = { keepers: 6, domains: 3, lossLimit: 2 };
const [A, B, C] = [0, 1, 2] as const;
const NONE = -1;

/** A turn that one keeper misses. */
const turnWithout = (without: number, program = 0): Extract<Step, { action: 'turn' }> => ({
  action: 'turn',
  entry: 0,
  program,
  continues: 0,
  tokens: 5,
  without,
  workMs: 0,
  pauseMs: 2_000,
});

/** Three turns, each of which another keeper misses. */
const TURNS = [turnWithout(A), turnWithout(B, 1), turnWithout(C, 2)];

/** A turn whose commit reaches one keeper only, and the end of all disruptions. */
const TURN_AT_ONE_KEEPER: Step[] = [
  { ...turnWithout(NONE), workMs: 500, pauseMs: 300 },
  { action: 'freeze', keeper: B, forMs: 15_000, pauseMs: 0 },
  { action: 'freeze', keeper: C, forMs: 15_000, pauseMs: 3_000 },
  { action: 'kill', keeper: B, forMs: 1_000, pauseMs: 0 },
  { action: 'kill', keeper: C, forMs: 1_000, pauseMs: 0 },
  { action: 'recover', pauseMs: 0 },
];
const LOSS_OF_A: Step[] = [{ action: 'wipe', keeper: A, forMs: 0, pauseMs: 0 }];

/** Scenarios after which every turn goes on, and during which none is reported as unknown. */
const CASES: (Scenario & { name: string })[] = [
  ...[3_000, 6_600, 15_000].flatMap((forMs) =>
    (['freeze', 'cut off', 'kill'] as const).map((action) => ({
      name: `one keeper loses its disk while another one is silent for ${forMs} ms (${action})`,
      deployment: THREE,
      steps: [
        ...TURNS,
        { action, keeper: B, forMs, pauseMs: 0 },
        { action: 'wipe' as const, keeper: A, forMs: 0, pauseMs: forMs + 5_000 },
      ],
    })),
  ),
  ...(['kill', 'power loss'] as const).flatMap((action) =>
    [
      [1_000, 10_000],
      [10_000, 1_000],
      [6_600, 15_000],
      [1_000, 1_000],
    ].map(([first = 0, second = 0]) => ({
      name: `one keeper loses its disk, ${action} of the others, which are back after ${first} and ${second} ms`,
      deployment: THREE,
      steps: [
        ...TURNS,
        { action: 'wipe' as const, keeper: A, forMs: 0, pauseMs: 0 },
        { action, keeper: B, forMs: first, pauseMs: 0 },
        { action, keeper: C, forMs: second, pauseMs: 0 },
        { action: 'restart entries' as const, pauseMs: 20_000 },
      ],
    })),
  ),
  {
    name: 'a keeper that is back is removed together with one that is still silent',
    deployment: THREE,
    steps: [
      { ...turnWithout(B), pauseMs: 300 },
      { action: 'kill', keeper: A, forMs: 6_600, pauseMs: 3_000 },
      { action: 'power loss', keeper: C, forMs: 10_000, pauseMs: 0 },
      { ...turnWithout(A), pauseMs: 10_000 },
    ],
  },
  {
    name: 'the vote of an added keeper removes two that are late',
    deployment: FOUR,
    steps: [
      { ...turnWithout(A), pauseMs: 300 },
      { ...turnWithout(A), pauseMs: 0 },
      { action: 'kill all', forMs: [0, 40_000], withEntries: false, pauseMs: 0 },
      { action: 'add', pauseMs: 10_000 },
    ],
  },
  {
    name: 'an added keeper and one that lost its disk wait for each other after all are killed',
    deployment: THREE,
    steps: [
      { action: 'add', pauseMs: 0 },
      { action: 'wipe', keeper: A, forMs: 0, pauseMs: 5 },
      { action: 'kill all', forMs: [0], withEntries: false, pauseMs: 0 },
    ],
  },
  {
    name: 'all keepers are killed, and the third is back after 15 s',
    deployment: THREE,
    steps: [
      ...TURNS,
      { action: 'kill all', forMs: [0, 1_000, 15_000], withEntries: true, pauseMs: 25_000 },
    ],
  },
  {
    name: 'one keeper loses its disk twice while another one is silent',
    deployment: THREE,
    steps: [
      ...TURNS,
      { action: 'freeze', keeper: B, forMs: 15_000, pauseMs: 0 },
      { action: 'wipe', keeper: A, forMs: 0, pauseMs: 3_000 },
      { action: 'wipe', keeper: A, forMs: 0, pauseMs: 15_000 },
    ],
  },
  {
    name: 'a keeper is replaced at another address while another one is silent',
    deployment: THREE,
    steps: [
      ...TURNS,
      { action: 'freeze', keeper: B, forMs: 15_000, pauseMs: 0 },
      { action: 'replace', keeper: A, forMs: 1_000, pauseMs: 20_000 },
    ],
  },
  {
    name: 'a keeper is removed and replaced later while another one is silent',
    deployment: THREE,
    steps: [
      ...TURNS,
      { action: 'replace', keeper: A, forMs: 40_000, pauseMs: 10_000 },
      { action: 'freeze', keeper: B, forMs: 15_000, pauseMs: 20_000 },
    ],
  },
  {
    name: 'a keeper is added while one has lost its disk and another one is silent',
    deployment: THREE,
    steps: [
      ...TURNS,
      { action: 'freeze', keeper: B, forMs: 15_000, pauseMs: 0 },
      { action: 'wipe', keeper: A, forMs: 0, pauseMs: 0 },
      { action: 'add', pauseMs: 20_000 },
    ],
  },
  {
    name: 'a keeper is retired while one has lost its disk and another one is silent',
    deployment: FOUR,
    steps: [
      ...TURNS,
      { action: 'retire', keeper: 3, pauseMs: 0 },
      { action: 'freeze', keeper: B, forMs: 15_000, pauseMs: 0 },
      { action: 'wipe', keeper: A, forMs: 0, pauseMs: 20_000 },
    ],
  },
  {
    name: 'one of four keepers loses its disk while two are silent',
    deployment: FOUR,
    steps: [
      ...TURNS,
      { action: 'freeze', keeper: B, forMs: 10_000, pauseMs: 0 },
      { action: 'freeze', keeper: C, forMs: 15_000, pauseMs: 0 },
      { action: 'wipe', keeper: A, forMs: 0, pauseMs: 20_000 },
    ],
  },
  {
    name: 'two of six keepers lose their disks while two are silent',
    deployment: SIX,
    steps: [
      ...TURNS,
      { action: 'freeze', keeper: B, forMs: 15_000, pauseMs: 0 },
      { action: 'freeze', keeper: C, forMs: 15_000, pauseMs: 0 },
      { action: 'wipe', keeper: A, forMs: 0, pauseMs: 0 },
      { action: 'wipe', keeper: 3, forMs: 0, pauseMs: 20_000 },
    ],
  },
  {
    name: 'one keeper loses its disk, the others are killed, and the store is away',
    deployment: THREE,
    steps: [
      ...TURNS,
      { action: 'store away', forMs: 6_600, pauseMs: 0 },
      { action: 'wipe', keeper: A, forMs: 0, pauseMs: 0 },
      { action: 'kill', keeper: B, forMs: 1_000, pauseMs: 0 },
      { action: 'kill', keeper: C, forMs: 15_000, pauseMs: 25_000 },
    ],
  },
  {
    name: 'a keeper loses its disk during the first start',
    deployment: THREE,
    isEarly: true,
    steps: [
      { ...turnWithout(A), pauseMs: 5 },
      { action: 'wipe', keeper: A, forMs: 0, pauseMs: 0 },
    ],
  },
  {
    name: 'a turn without an end that was found stays when the only keeper that stores it is lost',
    deployment: THREE,
    undecided: 'kept',
    steps: [...TURN_AT_ONE_KEEPER, ...LOSS_OF_A],
  },
  {
    name: 'a turn that continues one without an end goes on when the keeper of that one is lost',
    deployment: THREE,
    undecided: 'continued',
    steps: [
      ...TURN_AT_ONE_KEEPER,
      { ...turnWithout(NONE), continues: 1, pauseMs: 1_000 },
      ...LOSS_OF_A,
    ],
  },
];

const results = check({ scenarios: CASES });

CASES.forEach(({ name }, index) => {
  test(`losses of disks: ${name}`, async () => {
    const result = (await results)[index];
    assert.equal(result?.failed, false, result?.report);
  });
});

test('acknowledged turns go on despite lost disks, silent keepers, and keepers that join or leave', async () => {
  const task = { mutation: 'none' as const, seed, numRuns: RUNS, shrinks: true };
  const [result] = await check(task);
  assert.equal(result?.failed, false, result?.report);
});

const MUTATIONS: KeeperMutation[] = [
  'treats a wiped keeper as intact',
  'proves absence by one reply',
  'acknowledges lost commits',
];

MUTATIONS.forEach((mutation) => {
  test(`the property of lost disks detects an implementation that ${mutation}`, async () => {
    const [result] = await check({ mutation, seed, numRuns: MUTANT_RUNS, shrinks: false });
    assert.equal(result?.failed, true);
  });
});

/** Mutations of the stored roster, with a scenario that only works with the right one. */
const ROSTER_MUTATIONS: (Scenario & { mutation: KeeperMutation })[] = [
  {
    mutation: 'counts no lost disk as missing',
    deployment: THREE,
    steps: [
      ...TURNS,
      { action: 'freeze', keeper: B, forMs: 60_000, pauseMs: 0 },
      { action: 'wipe', keeper: A, forMs: 0, pauseMs: 40_000 },
    ],
  },
  {
    mutation: 'counts one copy too many',
    deployment: THREE,
    steps: [
      ...TURNS,
      { action: 'freeze', keeper: B, forMs: 60_000, pauseMs: 0 },
      { action: 'wipe', keeper: A, forMs: 0, pauseMs: 40_000 },
    ],
  },
];

ROSTER_MUTATIONS.forEach(({ mutation, ...scenario }) => {
  test(`a scenario of lost disks detects an implementation that ${mutation}`, async () => {
    const scenarios = [scenario];
    const [result] = await check({ scenarios });
    assert.equal(result?.failed, false, result?.report);
    const [mutated] = await check({ scenarios, mutation });
    assert.equal(mutated?.failed, true);
  });
});
