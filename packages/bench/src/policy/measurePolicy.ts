import { mean, quantile } from '../quantiles';
import { readResults, writeResults } from '../results';
import { LeastLoaded, type Policy, ProductPolicy, RoundRobin, StickyOnly } from './policies';
import { type EngineFault, type EngineSize, type RunFigures, Simulation } from './simulation';
import { CALOR_JUSTO, LESNI_STEZKA, planPrograms, type WorkloadShape } from './workload';
import { type PolicyResults, writePolicyPage } from './policyPage';

const SEEDS = [1, 2, 3, 4, 5];
const SECONDS = 90;
const PARTS: Part[] = ['loads', 'faults', 'ablation'];
const LOADS = [0.5, 0.7, 0.85, 1, 1.3];
const ENGINE: EngineSize = {
  prefillTokensPerMs: 4,
  decodeStepMs: 20,
  batchSize: 12,
  cacheTokens: 40_000,
};

const NO_FAULT: EngineFault = { kind: 'none', atMs: 0, untilMs: 0 };
const FAULTS: EngineFault[] = (['slow', 'dead', 'leaving', 'frozen-reports'] as const).map(
  (kind) => ({ kind, atMs: 30_000, untilMs: 60_000 }),
);

const createBaselines = (): Policy[] => [new RoundRobin(), new LeastLoaded(), new StickyOnly()];

const createAblations = (): Policy[] => [
  new ProductPolicy({ name: 'without affinity', usesAffinity: false }),
  new ProductPolicy({ name: 'without price', usesPrice: false }),
  new ProductPolicy({ name: 'without interference', usesInterference: false }),
  new ProductPolicy({ name: 'without own sends', usesOwnSends: false }),
  new ProductPolicy({ name: 'without speed', usesSpeed: false }),
  new ProductPolicy({ name: 'without priority', usesPriority: false }),
  new ProductPolicy({ name: 'without admission', usesAdmission: false }),
];

/** Figures of one policy at one load, medians over the seeds. */
export interface PolicyRow {
  user: string;
  scenario: string;
  policy: string;
  load: number;
  meanMs: number;
  p50Ms: number;
  p95Ms: number;
  /** Lowest and highest p95 over the seeds. */
  p95SpreadMs: [number, number];
  p99Ms: number;
  urgentP95Ms: number;
  wastedTokens: number;
  /** Urgent programs finished a second while the load lasted. */
  urgentPerSecond: number;
  finishedPerSecond: number;
  abandoned: number;
  /** Jain's index of the customers' mean latencies; 1 is even. */
  fairness: number;
}

type Part = 'loads' | 'faults' | 'ablation';

/**
 * Measures the choice of endpoints against baselines. `policy USER PART` measures a part, so
 * that parts can run side by side; `policy page` writes the tables and plots of all parts.
 */
export async function measurePolicy(): Promise<void> {
  const [user, part] = process.argv.slice(3) as [string | undefined, Part | undefined];
  if (user === 'page') {
    writePolicyPage(readParts());
    return;
  }
  const shapes = [LESNI_STEZKA, CALOR_JUSTO].filter(({ name }) => !user || name === user);
  for (const shape of shapes) {
    for (const each of part ? [part] : PARTS) {
      const results = await measurePart(shape, each);
      console.log(`written to ${writeResults(`policy-${shape.name}-${each}`, results)}`);
    }
  }
}

function readParts(): PolicyResults {
  const parts = [LESNI_STEZKA, CALOR_JUSTO].flatMap(({ name }) =>
    PARTS.flatMap((part) => readResults<PolicyResults>(`policy-${name}-${part}`) ?? []),
  );
  const capacity = Object.assign({}, ...parts.map((part) => part.capacity)) as Record<
    string,
    number
  >;
  return { seeds: SEEDS, seconds: SECONDS, capacity, rows: parts.flatMap(({ rows }) => rows) };
}

async function measurePart(shape: WorkloadShape, part: Part): Promise<PolicyResults> {
  const rows: PolicyRow[] = [];
  const capacity: Record<string, number> = {};
  const perSecond = await measureCapacity(shape);
  capacity[shape.name] = Number(perSecond.toFixed(2));
  {
    const measure = async (
      policy: () => Policy,
      load: number,
      fault: EngineFault,
      only?: 'urgent',
    ) => {
      const row = await measureRow(shape, policy, load, perSecond, fault, only);
      rows.push(row);
      console.log(
        `${row.user} ${row.scenario} ${row.policy} ${load}: p95 ${row.p95Ms} ms, wasted ${row.wastedTokens}`,
      );
    };
    for (const load of part === 'loads' ? LOADS : []) {
      for (const index of createBaselines().keys()) {
        await measure(() => createBaselines()[index] as Policy, load, NO_FAULT);
      }
      await measure(() => new ProductPolicy(), load, NO_FAULT);
    }
    if (part === 'loads') await measure(() => new ProductPolicy(), 1.3, NO_FAULT, 'urgent');
    for (const fault of part === 'faults' ? FAULTS : []) {
      for (const index of createBaselines().keys()) {
        await measure(() => createBaselines()[index] as Policy, 0.7, fault);
      }
      await measure(() => new ProductPolicy(), 0.7, fault);
    }
    for (const load of part === 'ablation' ? [0.85, 1.3] : []) {
      for (const index of createAblations().keys()) {
        await measure(() => createAblations()[index] as Policy, load, NO_FAULT);
      }
    }
  }
  return { seeds: SEEDS, seconds: SECONDS, capacity, rows };
}

/** Finds the rate at which the engines are just busy: the best baseline, far too many programs. */
async function measureCapacity(shape: WorkloadShape): Promise<number> {
  const programs = planPrograms(shape, { perSecond: 200, seconds: 3, seed: 99 });
  const policy = new StickyOnly();
  const simulation = new Simulation({ shape, policy, engine: ENGINE });
  const { finished } = await simulation.run(programs);
  const ends = finished.map(({ endedMs }) => endedMs).sort((a, b) => a - b);
  // The middle half leaves the filling and the emptying of the engines out.
  const from = ends[Math.floor(ends.length * 0.25)] ?? 0;
  const to = ends[Math.floor(ends.length * 0.75)] ?? 1;
  return (ends.length * 0.5 * 1_000) / (to - from);
}

async function measureRow(
  shape: WorkloadShape,
  createPolicy: () => Policy,
  load: number,
  capacity: number,
  fault: EngineFault,
  only?: 'urgent',
): Promise<PolicyRow> {
  const runs: RunFigures[] = [];
  for (const seed of SEEDS) {
    const planned = planPrograms(shape, { perSecond: capacity * load, seconds: SECONDS, seed });
    const programs = only ? planned.filter(({ priority }) => priority === only) : planned;
    const policy = createPolicy();
    runs.push(await new Simulation({ shape, policy, engine: ENGINE, fault }).run(programs));
  }
  const latencies = (run: RunFigures) => run.finished.map(({ latencyMs }) => latencyMs);
  const urgent = (run: RunFigures) => run.finished.filter(({ priority }) => priority === 'urgent');
  const inTime = (list: RunFigures['finished']) =>
    list.filter(({ endedMs }) => endedMs <= SECONDS * 1_000).length / SECONDS;
  const median = (read: (run: RunFigures) => number) => Math.round(quantile(runs.map(read), 0.5));
  const rate = (read: (run: RunFigures) => number) =>
    Number(quantile(runs.map(read), 0.5).toFixed(2));
  const p95s = runs.map((run) => quantile(latencies(run), 0.95));
  return {
    user: shape.name,
    scenario: only ? 'urgent work alone' : fault.kind,
    policy: createPolicy().name,
    load,
    meanMs: median((run) => mean(latencies(run))),
    p50Ms: median((run) => quantile(latencies(run), 0.5)),
    p95Ms: median((run) => quantile(latencies(run), 0.95)),
    p95SpreadMs: [Math.round(Math.min(...p95s)), Math.round(Math.max(...p95s))],
    p99Ms: median((run) => quantile(latencies(run), 0.99)),
    urgentP95Ms: median((run) =>
      quantile(
        urgent(run).map(({ latencyMs }) => latencyMs),
        0.95,
      ),
    ),
    wastedTokens: median(({ wastedTokens }) => wastedTokens),
    urgentPerSecond: rate((run) => inTime(urgent(run))),
    finishedPerSecond: rate((run) => inTime(run.finished)),
    abandoned: median(({ abandoned }) => abandoned),
    fairness: rate(fairness),
  };
}

function fairness({ finished }: RunFigures): number {
  const byCustomer = new Map<number, number[]>();
  finished.forEach(({ customer, latencyMs }) => {
    byCustomer.set(customer, [...(byCustomer.get(customer) ?? []), latencyMs]);
  });
  const means = [...byCustomer.values()].map(mean);
  const sum = means.reduce((total, value) => total + value, 0);
  const squares = means.reduce((total, value) => total + value * value, 0);
  return (sum * sum) / (means.length * squares);
}
