import assert from 'node:assert/strict';
import test from 'node:test';
import {
  addCrash,
  clearSuspect,
  countCrashes,
  EMPTY_RECORD,
  liftInput,
  repeatedSuspects,
  type QuarantineRecord,
  type Suspect,
} from '@marjorampin/quarantine';

/** A step: a crash of the numbered endpoint with the inputs that it interrupted (`suspectsOf`), or inputs
 * and targets of calls that ran to an answer. */
type Step =
  { crash: number; inputs: string; prior?: number } | { answered: string } | { lifted: string };

const MINUTE_MS = 60_000;

/** Inputs of which each letter is one, or an input and its target, as in `a@T`. */
function suspectsOf(text: string): Suspect[] {
  const [digest = '', target] = text.split('@');
  if (target !== undefined) return [{ digest, target, route: 'r' }];
  return [...text].map((letter) => ({ digest: letter, route: 'r' }));
}

/** Returns suspects that were sent when this number of crashes was known of each. */
function withPrior(suspects: Suspect[], prior: number | undefined): Suspect[] {
  if (prior === undefined) return suspects;
  return suspects.map((each) => ({ ...each, priorCrashes: prior, priorTargetCrashes: prior }));
}

function play(steps: Step[], stepMs = 100): QuarantineRecord {
  return steps.reduce<QuarantineRecord>((record, step, index) => {
    const atMs = index * stepMs;
    if ('answered' in step) return clearSuspect(record, [...step.answered], atMs);
    if ('lifted' in step) return liftInput(record, step.lifted);
    const suspects = withPrior(step.inputs.split(' ').flatMap(suspectsOf), step.prior);
    return addCrash(record, { endpoint: `e${step.crash}`, service: 's', atMs, suspects });
  }, EMPTY_RECORD);
}

const CASES: {
  name: string;
  steps: Step[];
  stepMs?: number;
  /** Digests that are quarantined, suspected after several crashes, and suspected at all. */
  quarantined: string;
  repeated: string;
  suspected: string;
}[] = [
  {
    name: 'one crash makes all interrupted inputs suspects, but delays none',
    steps: [{ crash: 1, inputs: 'gab' }],
    quarantined: '',
    repeated: '',
    suspected: 'abg',
  },
  {
    name: 'the input that two crashes have in common is delayed',
    steps: [
      { crash: 1, inputs: 'gab' },
      { crash: 2, inputs: 'gcd' },
    ],
    quarantined: '',
    repeated: 'g',
    suspected: 'abcdg',
  },
  {
    name: 'two inputs that were in the same two crashes are both delayed',
    steps: [
      { crash: 1, inputs: 'ga' },
      { crash: 2, inputs: 'gab' },
    ],
    quarantined: '',
    repeated: 'ag',
    suspected: 'abg',
  },
  {
    name: 'an answer clears an input, but not the other one',
    steps: [{ crash: 1, inputs: 'ga' }, { crash: 2, inputs: 'gab' }, { answered: 'a' }],
    quarantined: '',
    repeated: 'g',
    suspected: 'bg',
  },
  {
    name: 'the input that three crashes have in common is quarantined and clears the others',
    steps: [
      { crash: 1, inputs: 'gab' },
      { crash: 2, inputs: 'gc' },
      { crash: 3, inputs: 'gde' },
    ],
    quarantined: 'g',
    repeated: '',
    suspected: '',
  },
  {
    name: 'an input that was in two of three crashes holds up the quarantine until it is answered',
    steps: [
      { crash: 1, inputs: 'gab' },
      { crash: 2, inputs: 'ga' },
      { crash: 3, inputs: 'gde' },
    ],
    quarantined: '',
    repeated: 'ag',
    suspected: 'abdeg',
  },
  {
    name: 'the same, once it is answered',
    steps: [
      { crash: 1, inputs: 'gab' },
      { crash: 2, inputs: 'ga' },
      { crash: 3, inputs: 'gde' },
      { answered: 'a' },
    ],
    quarantined: 'g',
    repeated: '',
    suspected: '',
  },
  {
    name: 'an innocent input in three crashes of two causes is not quarantined',
    steps: [
      { crash: 1, inputs: 'gi' },
      { crash: 2, inputs: 'gi' },
      { crash: 3, inputs: 'hi' },
    ],
    quarantined: '',
    repeated: 'gi',
    suspected: 'ghi',
  },
  {
    name: 'the same, once the causes were in more crashes',
    steps: [
      { crash: 1, inputs: 'gi' },
      { crash: 2, inputs: 'gi' },
      { crash: 3, inputs: 'hi' },
      { crash: 4, inputs: 'g' },
      { crash: 5, inputs: 'g' },
    ],
    quarantined: 'g',
    repeated: '',
    suspected: 'hi',
  },
  {
    name: 'inputs that are together in each of many crashes are all quarantined',
    steps: [1, 2, 3, 4, 5, 6].map((crash) => ({ crash, inputs: 'gh' })),
    quarantined: 'g',
    repeated: '',
    suspected: '',
  },
  {
    name: 'reports of one crash from several processes count as one crash',
    steps: [
      { crash: 1, inputs: 'g' },
      { crash: 1, inputs: 'ga' },
      { crash: 1, inputs: 'gb' },
    ],
    quarantined: '',
    repeated: '',
    suspected: 'abg',
  },
  {
    name: 'a late report of an explained crash raises no suspicion',
    steps: [
      { crash: 1, inputs: 'g' },
      { crash: 2, inputs: 'g' },
      { crash: 3, inputs: 'g' },
      { crash: 2, inputs: 'ab' },
    ],
    quarantined: 'g',
    repeated: '',
    suspected: '',
  },
  {
    name: 'crashes that are long ago are no evidence',
    steps: [
      { crash: 1, inputs: 'g' },
      { crash: 2, inputs: 'g' },
      { crash: 3, inputs: 'g' },
    ],
    stepMs: 6 * MINUTE_MS,
    quarantined: '',
    repeated: 'g',
    suspected: 'g',
  },
  {
    name: 'a quarantine outlasts its evidence',
    steps: [
      { crash: 1, inputs: 'g' },
      { crash: 2, inputs: 'g' },
      { crash: 3, inputs: 'g' },
      ...Array.from({ length: 100 }, (_, index) => ({ crash: 4 + index, inputs: '' })),
    ],
    stepMs: MINUTE_MS,
    quarantined: 'g',
    repeated: '',
    suspected: '',
  },
  {
    name: 'the target that three crashes have in common is quarantined',
    steps: [
      { crash: 1, inputs: 'g@T a@U' },
      { crash: 2, inputs: 'h@T b' },
      { crash: 3, inputs: 'i@T c' },
    ],
    quarantined: 'T',
    repeated: '',
    suspected: '',
  },
  {
    name: 'an input that three crashes have in common is quarantined without a target that others have',
    steps: [
      { crash: 1, inputs: 'g@T a@T' },
      { crash: 2, inputs: 'g@T b@T' },
      { crash: 3, inputs: 'g@T c@T' },
    ],
    quarantined: 'g',
    repeated: '',
    suspected: '',
  },
  {
    name: 'the target of an input that three crashes have in common is quarantined for all inputs',
    steps: [
      { crash: 1, inputs: 'g@T a' },
      { crash: 2, inputs: 'g@T b' },
      { crash: 3, inputs: 'g@T c' },
    ],
    quarantined: 'T',
    repeated: '',
    suspected: '',
  },
  {
    name: 'an answer clears the target of other inputs, but not these inputs',
    steps: [
      { crash: 1, inputs: 'g@T a' },
      { crash: 2, inputs: 'h@T b' },
      { answered: 'xT' },
      { crash: 3, inputs: 'i@T c' },
    ],
    quarantined: '',
    repeated: '',
    suspected: 'Tabcghi',
  },
  {
    name: 'a target that one process saw answered counts for none',
    steps: [
      { crash: 1, inputs: 'g@T' },
      { crash: 1, inputs: 'g' },
      { crash: 2, inputs: 'h' },
      { crash: 2, inputs: 'h@T' },
      { crash: 3, inputs: 'i@T' },
    ],
    quarantined: '',
    repeated: '',
    suspected: 'Tghi',
  },
  // A lost rack interrupts calls that were sent before any crash was known.
  {
    name: 'endpoints that end together convict the target that their calls share',
    steps: [
      { crash: 1, inputs: 'a@T', prior: 0 },
      { crash: 2, inputs: 'b@T', prior: 0 },
      { crash: 3, inputs: 'c@T', prior: 0 },
    ],
    quarantined: '',
    repeated: '',
    suspected: 'Tabc',
  },
  {
    name: 'endpoints that end together convict the input that many programs share',
    steps: [1, 2, 3, 4, 5, 6, 7].map((crash) => ({ crash, inputs: 'y', prior: 0 })),
    quarantined: '',
    repeated: '',
    suspected: 'y',
  },
  {
    name: 'an input that is sent again after each loss is not quarantined',
    steps: [
      { crash: 1, inputs: 'y', prior: 0 },
      { crash: 2, inputs: 'y', prior: 0 },
      { crash: 3, inputs: 'y', prior: 1 },
      { crash: 4, inputs: 'y', prior: 2 },
    ],
    quarantined: 'y',
    repeated: '',
    suspected: '',
  },
  {
    name: 'crashes that lie apart are independent even if their calls were sent before',
    steps: [1, 2, 3].map((crash) => ({ crash, inputs: 'y', prior: 0 })),
    stepMs: 6_000,
    quarantined: 'y',
    repeated: '',
    suspected: '',
  },
  {
    name: 'a report with a later run of an input turns a loss into two crashes',
    steps: [
      { crash: 1, inputs: 'y', prior: 0 },
      { crash: 2, inputs: 'y', prior: 0 },
      { crash: 2, inputs: 'y', prior: 1 },
    ],
    quarantined: '',
    repeated: '',
    suspected: 'y',
  },
  {
    name: 'an answer leaves an input in quarantine',
    steps: [
      { crash: 1, inputs: 'g' },
      { crash: 2, inputs: 'g' },
      { crash: 3, inputs: 'g' },
      { answered: 'g' },
    ],
    quarantined: '',
    repeated: '',
    suspected: '',
  },
  {
    name: 'an answer to another call leaves a target in quarantine',
    steps: [
      { crash: 1, inputs: 'g@T' },
      { crash: 2, inputs: 'h@T' },
      { crash: 3, inputs: 'i@T' },
      { answered: 'xT' },
    ],
    quarantined: '',
    repeated: '',
    suspected: '',
  },
  {
    name: 'a lifted input starts without suspicion',
    steps: [
      { crash: 1, inputs: 'g' },
      { crash: 2, inputs: 'g' },
      { crash: 3, inputs: 'g' },
      { lifted: 'g' },
      { crash: 4, inputs: 'g' },
    ],
    quarantined: '',
    repeated: '',
    suspected: 'g',
  },
];

CASES.forEach(({ name, steps, stepMs, ...expected }) => {
  test(name, () => {
    const record = play(steps, stepMs);
    const actual = {
      quarantined: record.inputs.map(({ digest }) => digest).join(''),
      repeated: [...repeatedSuspects(record).keys()].sort().join(''),
      suspected: [...countCrashes(record).keys()].sort().join(''),
    };
    assert.deepEqual(actual, expected);
  });
});

test('new inputs without end make the record grow without end', () => {
  const suspects = (crash: number) =>
    Array.from({ length: 500 }, (_, index) => ({ digest: `${crash}-${index}`, route: 'r' }));
  const record = Array.from({ length: 500 }).reduce<QuarantineRecord>(
    (current, _, crash) =>
      addCrash(current, {
        endpoint: `e${crash}`,
        service: 's',
        atMs: crash,
        suspects: suspects(crash),
      }),
    EMPTY_RECORD,
  );
  assert.ok(JSON.stringify(record).length < 200_000);
});
