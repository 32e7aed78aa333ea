import { mean, quantile } from '../quantiles';
import { readResults, writeResults } from '../results';
import { LeastLoaded, type Policy, MarjorampinPolicy, RoundRobin, StickyOnly } from './policies';
import {
  type EngineFault,
  type EngineParameters,
  type RunMeasurements,
  Simulation,
} from './simulation';
import { CALOR_JUSTO, LESNI_STEZKA, planPrograms, type WorkloadShape } from './workload';
import { type PolicyResults, writePolicyPage } from './policyPage';

const SEEDS = [1, 2, 3, 4, 5];
const ARRIVAL_DURATION_S = 90;
const PARTS: Part[] = ['loads', 'faults', 'ablation'];
const LOADS = [0.5, 0.7, 0.85, 1, 1.3];
const ENGINE: EngineParameters = {
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
  new MarjorampinPolicy({ name: 'without affinity', usesAffinity: false }),
  new MarjorampinPolicy({ name: 'without price', usesWastedCachePrice: false }),
  new MarjorampinPolicy({ name: 'without interference', usesInterference: false }),
  new MarjorampinPolicy({ name: 'without own sends', usesUnreportedCalls: false }),
  new MarjorampinPolicy({ name: 'without speed', usesSpeed: false }),
  new MarjorampinPolicy({ name: 'without priority', usesPriority: false }),
  new MarjorampinPolicy({ name: 'without admission', usesAdmission: false }),
];

/** Results of one policy in one scenario at one load, as medians over the seeds. */
export interface PolicyRow {
  /** Name of the workload. */
  user: string;
  scenario: string;
  policy: string;
  /** Arrival rate of programs as a share of the saturation rate. */
  load: number;
  meanMs: number;
  p50Ms: number;
  p95Ms: number;
  /** Lowest and highest p95 over the seeds. */
  p95SpreadMs: [number, number];
  p99Ms: number;
  urgentP95Ms: number;
  wastedTokens: number;
  /** Urgent programs finished a second while programs arrive. */
  urgentPerSecond: number;
  /** Programs of every priority finished a second while programs arrive. */
  finishedPerSecond: number;
  abandoned: number;
  /** Jain's fairness index of the customers' mean latencies; 1 when all are equal. */
  fairness: number;
}

type Part = 'loads' | 'faults' | 'ablation';

/**
 * Measures Marjorampin's placement policy against baseline policies in a simulation. `policy
 * WORKLOAD PART` measures one part, to run parts in parallel; `policy page` writes the tables and
 * plots of all parts.
 */
export async function measurePolicy(): Promise<void> {
  const [workload, part] = process.argv.slice(3) as [string | undefined, Part | undefined];
  if (workload === 'page') {
    writePolicyPage(readParts());
    return;
  }
  const shapes = [LESNI_STEZKA, CALOR_JUSTO].filter(({ name }) => !workload || name === workload);
  for (const shape of shapes) {
    for (const measuredPart of part ? [part] : PARTS) {
      const results = await measurePart(shape, measuredPart);
      console.log(`written to ${writeResults(`policy-${shape.name}-${measuredPart}`, results)}`);
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
  return {
    seeds: SEEDS,
    seconds: ARRIVAL_DURATION_S,
    capacity,
    rows: parts.flatMap(({ rows }) => rows),
  };
}

async function measurePart(shape: WorkloadShape, part: Part): Promise<PolicyResults> {
  const rows: PolicyRow[] = [];
  const capacity: Record<string, number> = {};
  const saturationRate = await measureSaturation(shape);
  capacity[shape.name] = Number(saturationRate.toFixed(2));
  {
    const measure = async (
      policy: () => Policy,
      load: number,
      fault: EngineFault,
      onlyPriority?: 'urgent',
    ) => {
      const row = await measureRow(shape, policy, load, saturationRate, fault, onlyPriority);
      rows.push(row);
      console.log(
        `${row.user} ${row.scenario} ${row.policy} ${load}: p95 ${row.p95Ms} ms, wasted ${row.wastedTokens}`,
      );
    };
    for (const load of part === 'loads' ? LOADS : []) {
      for (const index of createBaselines().keys()) {
        await measure(() => createBaselines()[index] as Policy, load, NO_FAULT);
      }
      await measure(() => new MarjorampinPolicy(), load, NO_FAULT);
    }
    if (part === 'loads') await measure(() => new MarjorampinPolicy(), 1.3, NO_FAULT, 'urgent');
    for (const fault of part === 'faults' ? FAULTS : []) {
      for (const index of createBaselines().keys()) {
        await measure(() => createBaselines()[index] as Policy, 0.7, fault);
      }
      await measure(() => new MarjorampinPolicy(), 0.7, fault);
    }
    for (const load of part === 'ablation' ? [0.85, 1.3] : []) {
      for (const index of createAblations().keys()) {
        await measure(() => createAblations()[index] as Policy, load, NO_FAULT);
      }
    }
  }
  return { seeds: SEEDS, seconds: ARRIVAL_DURATION_S, capacity, rows };
}

/** Returns the programs a second that overloaded engines finish under the best baseline policy. */
async function measureSaturation(shape: WorkloadShape): Promise<number> {
  const programs = planPrograms(shape, { perSecond: 200, seconds: 3, seed: 99 });
  const policy = new StickyOnly();
  const simulation = new Simulation({ shape, policy, engine: ENGINE });
  const { finished } = await simulation.run(programs);
  const ends = finished.map(({ endedMs }) => endedMs).sort((a, b) => a - b);
  // The middle half of the completions excludes the phases in which engines fill up and drain.
  const from = ends[Math.floor(ends.length * 0.25)] ?? 0;
  const to = ends[Math.floor(ends.length * 0.75)] ?? 1;
  return (ends.length * 0.5 * 1_000) / (to - from);
}

async function measureRow(
  shape: WorkloadShape,
  createPolicy: () => Policy,
  load: number,
  saturationRate: number,
  fault: EngineFault,
  onlyPriority?: 'urgent',
): Promise<PolicyRow> {
  const runs: RunMeasurements[] = [];
  for (const seed of SEEDS) {
    const planned = planPrograms(shape, {
      perSecond: saturationRate * load,
      seconds: ARRIVAL_DURATION_S,
      seed,
    });
    const programs = onlyPriority
      ? planned.filter(({ priority }) => priority === onlyPriority)
      : planned;
    const policy = createPolicy();
    runs.push(await new Simulation({ shape, policy, engine: ENGINE, fault }).run(programs));
  }
  const latenciesMs = (run: RunMeasurements) => run.finished.map(({ latencyMs }) => latencyMs);
  const urgentPrograms = (run: RunMeasurements) =>
    run.finished.filter(({ priority }) => priority === 'urgent');
  const finishedDuringArrivals = (list: RunMeasurements['finished']) =>
    list.filter(({ endedMs }) => endedMs <= ARRIVAL_DURATION_S * 1_000).length / ARRIVAL_DURATION_S;
  const roundedMedian = (read: (run: RunMeasurements) => number) =>
    Math.round(quantile(runs.map(read), 0.5));
  const medianWithDecimals = (read: (run: RunMeasurements) => number) =>
    Number(quantile(runs.map(read), 0.5).toFixed(2));
  const p95s = runs.map((run) => quantile(latenciesMs(run), 0.95));
  return {
    user: shape.name,
    scenario: onlyPriority ? 'urgent work alone' : fault.kind,
    policy: createPolicy().name,
    load,
    meanMs: roundedMedian((run) => mean(latenciesMs(run))),
    p50Ms: roundedMedian((run) => quantile(latenciesMs(run), 0.5)),
    p95Ms: roundedMedian((run) => quantile(latenciesMs(run), 0.95)),
    p95SpreadMs: [Math.round(Math.min(...p95s)), Math.round(Math.max(...p95s))],
    p99Ms: roundedMedian((run) => quantile(latenciesMs(run), 0.99)),
    urgentP95Ms: roundedMedian((run) =>
      quantile(
        urgentPrograms(run).map(({ latencyMs }) => latencyMs),
        0.95,
      ),
    ),
    wastedTokens: roundedMedian(({ wastedTokens }) => wastedTokens),
    urgentPerSecond: medianWithDecimals((run) => finishedDuringArrivals(urgentPrograms(run))),
    finishedPerSecond: medianWithDecimals((run) => finishedDuringArrivals(run.finished)),
    abandoned: roundedMedian(({ abandoned }) => abandoned),
    fairness: medianWithDecimals(jainIndex),
  };
}

function jainIndex({ finished }: RunMeasurements): number {
  const byCustomer = new Map<number, number[]>();
  finished.forEach(({ customer, latencyMs }) => {
    byCustomer.set(customer, [...(byCustomer.get(customer) ?? []), latencyMs]);
  });
  const means = [...byCustomer.values()].map(mean);
  const sum = means.reduce((total, value) => total + value, 0);
  const squares = means.reduce((total, value) => total + value * value, 0);
  return (sum * sum) / (means.length * squares);
}
