/** Property of acknowledged turns while disks are lost and keepers are silent, and its generators. */
import assert from 'node:assert/strict';
import { create } from '@bufbuild/protobuf';
import { TurnRecordSchema } from '@marjorampin/protocol';
import { toCallError } from '@marjorampin/types';
import fc from 'fast-check';
import type { TurnStore } from '../turnStore';
import {
  type Deployment,
  DisruptedKeepers,
  type HostFault,
  type KeeperMutation,
} from './disruptedKeepers';
import { redirectFiles } from './simulatedDisk';
import { loadModulesAtOnce, nameOf, redirectPeers } from './simulatedHosts';

/** Time after which turns go on once all hosts are back. */
const RECOVERY_MS = 12_000;
const RETENTION_MS = 3_600_000;
const BUDGET_TOKENS = 40;
const MAXIMUM_TURN_TOKENS = 10;
/** Interval at which turns are continued while time passes. */
const PROBE_INTERVAL_MS = 700;
const PROBE_TIMEOUT_MS = 4_000;
/** Time in which turns are decided when all keepers are complete. */
const DECISION_MS = 2_000;
const RETRY_MS = 200;
const OTHER_PROGRAM = 'q';

/** A step of a scenario; `pauseMs` is the time until the next one. */
export type Step = { pauseMs: number } & (
  | {
      action: 'turn';
      entry: number;
      program: number;
      /** Which turn of the program it continues, counted back from the latest; 0 for none. */
      continues: number;
      tokens: number;
      /** Keeper that the entry can't reach meanwhile; -1 for none. */
      without: number;
      workMs: number;
    }
  | { action: HostFault; keeper: number; forMs: number }
  | { action: 'kill all' | 'power loss of all'; forMs: number[]; withEntries: boolean }
  | { action: 'store away'; forMs: number }
  | { action: 'retire'; keeper: number }
  | { action: 'add' | 'recover' | 'restart entries' }
);

type Undecided = 'ignored' | 'continued' | 'kept';

/** A deployment and what happens to it. */
export interface Scenario {
  deployment: Deployment;
  /** Whether the steps begin with the first start of the keepers. */
  isEarly?: boolean;
  /** What happens to turns whose caller got no end and that are found later: nothing, further turns
   * continue them, or they also have to be found from then on. */
  undecided?: Undecided;
  steps: Step[];
}

interface Turn {
  id: string;
  program: string;
  ancestors: string[];
}

redirectFiles();
redirectPeers();
loadModulesAtOnce();

/** Runs one scenario and checks its turns throughout. */
class ScenarioRun {
  private readonly keepers: DisruptedKeepers;

  private readonly acknowledged: Turn[] = [];

  /** Turns whose caller got no end. */
  private readonly undecided = new Map<string, Turn>();

  /** Whether an undecided turn was found when all keepers were complete. */
  private readonly decisions = new Map<string, boolean>();

  private readonly usedTokens = new Map<string, number>();

  private readonly failures: unknown[] = [];

  private turnCount = 0;

  private probeCount = 0;

  private probeEndsAtMs = 0;

  /** Turns without an end that are continued, but may be lost. */
  private readonly found: Turn[] = [];

  private readonly mode: Undecided;

  constructor({ deployment, undecided = 'ignored' }: Scenario, mutation: KeeperMutation) {
    this.keepers = new DisruptedKeepers(deployment, mutation);
    this.mode = undecided;
  }

  async run({ steps, isEarly = false }: Scenario): Promise<void> {
    try {
      await this.keepers.start({ isEarly });
      for (const step of steps) {
        await this.runStep(step);
        await this.pass(step.pauseMs);
      }
      await this.recover();
    } finally {
      this.keepers.stop();
    }
  }

  private async runStep(step: Step): Promise<void> {
    const { keepers } = this;
    switch (step.action) {
      case 'turn':
        this.background(this.runTurn(step));
        return;
      case 'kill all':
      case 'power loss of all':
        if (step.withEntries) keepers.entries.forEach((_, index) => keepers.restartEntry(index));
        await keepers.disruptAll(step.action === 'kill all' ? 'kill' : 'power loss', step.forMs);
        return;
      case 'store away':
        keepers.disruptStore(step.forMs);
        return;
      case 'retire':
        keepers.retire(step.keeper);
        return;
      case 'add':
        keepers.addKeeper();
        return;
      case 'recover':
        await this.recover();
        return;
      case 'restart entries':
        keepers.entries.forEach((_, index) => keepers.restartEntry(index));
        return;
      default:
        await keepers.disrupt(step.keeper, step.action, step.forMs);
    }
  }

  /** Lets time pass, and continues acknowledged turns meanwhile. */
  private async pass(ms: number): Promise<void> {
    let leftMs = ms;
    while (leftMs > 0) {
      const stepMs = Math.min(leftMs, PROBE_INTERVAL_MS);
      await this.keepers.advance(stepMs);
      this.throwFailure();
      leftMs -= stepMs;
      if (stepMs === PROBE_INTERVAL_MS) this.probeNext();
    }
    this.throwFailure();
  }

  private probeNext(): void {
    const { acknowledged, keepers } = this;
    this.probeCount += 1;
    const turn = acknowledged[this.probeCount % acknowledged.length];
    const entry = this.probeCount % keepers.entries.length;
    const nowMs = keepers.network.clock.now();
    // A probe whose entry is restarted never ends.
    if (!turn || nowMs < this.probeEndsAtMs) return;
    this.probeEndsAtMs = nowMs + PROBE_TIMEOUT_MS;
    const probe = this.continueTurn(turn, entry).finally(() => {
      this.probeEndsAtMs = 0;
    });
    this.background(probe.then(() => undefined));
  }

  /** Ends all disruptions; then all keepers complete and all turns go on within the bound. */
  private async recover(): Promise<void> {
    const { keepers } = this;
    keepers.recoverAll();
    const untilMs = keepers.network.clock.now() + RECOVERY_MS;
    if (!(await keepers.untilWhole(RECOVERY_MS))) {
      this.throwFailure();
      assert.fail(
        `not all keepers are complete after ${RECOVERY_MS} ms; ${await keepers.describe()}`,
      );
    }
    let isRead = false;
    const reads = Promise.all(
      this.acknowledged.flatMap((turn) =>
        keepers.entries.map(async (_, entry) => {
          while (!(await this.continueTurn(turn, entry))) {
            const message = `turn ${turn.id} can't be continued after ${RECOVERY_MS} ms`;
            if (keepers.network.clock.now() >= untilMs) assert.fail(message);
            await keepers.network.clock.sleep(RETRY_MS);
          }
        }),
      ),
    ).finally(() => {
      isRead = true;
    });
    this.background(reads.then(() => undefined));
    while (!isRead) await keepers.advance(RETRY_MS);
    await keepers.advance(1);
    this.throwFailure();
    if (this.mode !== 'ignored') await this.decideTurns();
  }

  /** Continues turns whose caller got no end through all entries, as clients do; they go either way for good. */
  private async decideTurns(): Promise<void> {
    const { keepers, undecided, decisions } = this;
    const checks = [...undecided.values()].flatMap(({ id, program }) =>
      keepers.entries.map(async ({ turns: store }) => {
        this.turnCount += 1;
        const turn = `after ${id} ${this.turnCount}`;
        const request = { program, turn, tokens: 0, budget: Infinity, retentionMs: RETENTION_MS };
        const outcome = await store.reserve({ ...request, previous: id }).then(
          () => 'found',
          (error: unknown) => toCallError(error).kind,
        );
        if (outcome === 'keepers-unavailable') return;
        const isFound = outcome === 'found';
        const earlier = decisions.get(id) ?? isFound;
        decisions.set(id, isFound);
        if (this.mode === 'kept') assert.equal(isFound, earlier, `turn ${id} is now ${outcome}`);
      }),
    );
    checks.forEach((check) => this.background(check));
    await keepers.advance(DECISION_MS);
    this.throwFailure();
    const found = [...undecided.values()].filter(({ id }) => decisions.get(id));
    found.forEach(({ id }) => undecided.delete(id));
    (this.mode === 'kept' ? this.acknowledged : this.found).push(...found);
  }

  /** Returns whether a turn that continues this one may run; fails unless it may or may later. */
  private async continueTurn({ id, program, ancestors }: Turn, entry: number): Promise<boolean> {
    const store = this.keepers.entries[entry]?.continuations;
    if (!store) return false;
    this.turnCount += 1;
    const turn = `after ${id} ${this.turnCount}`;
    // A turn may also go on in another program, which other keepers store.
    const next = this.turnCount % 2 === 0 ? program : OTHER_PROGRAM;
    const request = { program: next, turn, tokens: 0, budget: Infinity, retentionMs: RETENTION_MS };
    const chain = await this.reserve(store, { ...request, previous: id });
    if (!chain) return false;
    assert.deepEqual(
      chain.map((each) => each.turn),
      [...ancestors, id],
    );
    return true;
  }

  private async reserve(store: TurnStore, request: Parameters<TurnStore['reserve']>[0]) {
    return store.reserve(request).catch(async (error: unknown) => {
      const { kind, message } = toCallError(error);
      const state = kind === 'unknown-turn' ? await this.keepers.describe() : '';
      assert.notEqual(kind, 'unknown-turn', `${message} ${state}`);
      assert.notEqual(kind, 'internal', message);
    });
  }

  private async runTurn(step: Extract<Step, { action: 'turn' }>): Promise<void> {
    const { keepers, acknowledged, usedTokens } = this;
    const entry = keepers.entries[step.entry % keepers.entries.length];
    if (!entry) return;
    const { turns: store, host } = entry;
    const unreachable = keepers.keepers[step.without];
    const link = unreachable && `${nameOf(host)} ${nameOf(unreachable.host)}`;
    if (link) keepers.network.brokenLinks.add(link);
    this.turnCount += 1;
    const id = `t${this.turnCount}`;
    const program = `p${step.program}`;
    const earlier = [...acknowledged, ...this.found].filter((turn) => turn.program === program);
    const previous = earlier[earlier.length - step.continues];
    const { tokens } = step;
    const reservation = {
      program,
      turn: id,
      tokens,
      budget: BUDGET_TOKENS,
      previous: previous?.id,
    };
    const request = { ...reservation, retentionMs: RETENTION_MS };
    const chain = await this.reserve(store, request);
    if (link) keepers.network.brokenLinks.delete(link);
    if (!chain) return;
    const ancestors = chain.map((each) => each.turn);
    assert.deepEqual(ancestors, previous ? [...previous.ancestors, previous.id] : []);
    const used = (usedTokens.get(program) ?? 0) + tokens;
    usedTokens.set(program, used);
    const bound = BUDGET_TOKENS + MAXIMUM_TURN_TOKENS;
    assert.ok(used <= bound, `${used} tokens of a budget of ${BUDGET_TOKENS} were granted`);
    if (step.workMs > 0) await keepers.network.clock.sleep(step.workMs);
    if (link) keepers.network.brokenLinks.add(link);
    const record = create(TurnRecordSchema, {
      turn: id,
      program,
      ancestors,
      input: Buffer.from(`input of ${id}`),
      output: Buffer.from(`output of ${id}`),
      outputTokens: tokens,
      retentionMs: RETENTION_MS,
    });
    this.undecided.set(id, { id, program, ancestors });
    const isCommitted = await store.commit(record, { chain }).then(
      () => true,
      () => false,
    );
    if (link) keepers.network.brokenLinks.delete(link);
    if (!isCommitted) {
      store.settle(request, tokens);
      return;
    }
    this.undecided.delete(id);
    acknowledged.push({ id, program, ancestors });
  }

  private background(task: Promise<void>): void {
    task.catch((error: unknown) => this.failures.push(error));
  }

  private throwFailure(): void {
    if (this.failures.length > 0) throw this.failures[0];
  }
}

/** Runs one scenario on an implementation with the given mutation. */
export async function runScenario(
  scenario: Scenario,
  mutation: KeeperMutation = 'none',
): Promise<void> {
  // Random delays would keep a failure from being repeated.
  const { random } = Math;
  Object.assign(Math, { random: pseudoRandom() });
  try {
    await new ScenarioRun(scenario, mutation).run(scenario);
  } finally {
    Object.assign(Math, { random });
  }
}

const MULTIPLIER = 16_807;
const MODULUS = 2 ** 31 - 1;

/** Returns a generator of the same sequence of numbers from 0 to 1 each time. */
function pseudoRandom(): () => number {
  let state = 1;
  return () => {
    state = (state * MULTIPLIER) % MODULUS;
    return state / MODULUS;
  };
}

const DEPLOYMENTS: Deployment[] = [
  { keepers: 3, domains: 3, lossLimit: 1 },
  { keepers: 3, domains: 1, lossLimit: 1 },
  { keepers: 4, domains: 2, lossLimit: 1 },
  { keepers: 6, domains: 3, lossLimit: 2 },
];

const MAXIMUM_KEEPERS = 6;
const keeper = fc.nat({ max: MAXIMUM_KEEPERS - 1 });
const pauseMs = fc.constantFrom(0, 2, 5, 300, 1_000, 3_000, 6_000, 10_000);
const forMs = fc.constantFrom(0, 1_000, 3_000, 6_600, 10_000, 15_000, 40_000);

const HOST_FAULTS: HostFault[] = [
  'kill',
  'power loss',
  'wipe',
  'wipe',
  'wipe',
  'replace',
  'remove',
  'freeze',
  'cut off',
  'cut from store',
];

const turnArbitrary: fc.Arbitrary<Step> = fc.record({
  action: fc.constant('turn' as const),
  pauseMs,
  entry: fc.nat({ max: 2 }),
  program: fc.nat({ max: 2 }),
  continues: fc.nat({ max: 2 }),
  tokens: fc.integer({ min: 5, max: MAXIMUM_TURN_TOKENS }),
  without: fc.integer({ min: -1, max: MAXIMUM_KEEPERS - 1 }),
  workMs: fc.constantFrom(0, 0, 500),
});

const faultArbitrary: fc.Arbitrary<Step> = fc.record({
  action: fc.constantFrom(...HOST_FAULTS),
  pauseMs,
  keeper,
  forMs,
});

const faultOfAllArbitrary: fc.Arbitrary<Step> = fc.record({
  action: fc.constantFrom('kill all' as const, 'power loss of all' as const),
  pauseMs,
  forMs: fc.array(forMs, { minLength: 1, maxLength: MAXIMUM_KEEPERS }),
  withEntries: fc.boolean(),
});

const stepArbitrary: fc.Arbitrary<Step> = fc.oneof(
  { weight: 4, arbitrary: turnArbitrary },
  { weight: 9, arbitrary: faultArbitrary },
  { weight: 2, arbitrary: faultOfAllArbitrary },
  {
    weight: 1,
    arbitrary: fc.record({ action: fc.constant('store away' as const), pauseMs, forMs }),
  },
  { weight: 1, arbitrary: fc.record({ action: fc.constant('retire' as const), pauseMs, keeper }) },
  {
    weight: 2,
    arbitrary: fc.record({
      action: fc.constantFrom('add' as const, 'recover' as const, 'restart entries' as const),
      pauseMs,
    }),
  },
);

/** Turns, then disruptions and further turns. At most `lossLimit` disks are lost before all are
 * restored: steps that would exceed it have no effect. */
export const scenarioArbitrary: fc.Arbitrary<Scenario> = fc
  .record({
    deployment: fc.constantFrom(...DEPLOYMENTS),
    isEarly: fc.constantFrom(false, false, false, false, true),
    turns: fc.array(turnArbitrary, { minLength: 1, maxLength: 4 }),
    disruptions: fc.array(stepArbitrary, { maxLength: 9 }),
  })
  .map(({ turns, disruptions, ...scenario }) => ({
    ...scenario,
    steps: [...turns, ...disruptions],
  }));

/** Returns the property for an implementation with the given mutation. */
export function diskLossProperty(mutation: KeeperMutation) {
  return fc.asyncProperty(scenarioArbitrary, (scenario) => runScenario(scenario, mutation));
}
