import type { Priority } from '@marjorampin/types';
import seedrandom from 'seedrandom';

/** One model call of a program. */
export interface PlannedTurn {
  /** Time that the program spends on tools before the call. */
  pauseMs: number;
  inputTokens: number;
  outputTokens: number;
}

/** One program of a workload. */
export interface PlannedProgram {
  id: string;
  arrivalMs: number;
  customer: number;
  priority: Priority;
  turns: PlannedTurn[];
}

/** Parameters of one workload; pairs are the lowest and highest value. */
export interface WorkloadShape {
  name: 'lesni-stezka' | 'calor-justo';
  /** Length of the context prefix that all programs share. */
  sharedPrefixTokens: number;
  /** Model calls of a program. */
  turns: [number, number];
  inputTokens: [number, number];
  outputTokens: [number, number];
  /** Time that a program spends on tools before each call but the first. */
  pauseMs: [number, number];
  /** Share of programs with background priority; the others are urgent. */
  backgroundShare: number;
  /**
   * Price of one token of cached context that another endpoint has to compute again, in
   * milliseconds of latency.
   */
  wastedCachePriceMs: number;
  /** Network delay in one direction between entry and engine. */
  linkDelayMs: number;
}

/** Short programs with few pauses: identification in the field and some route planning. */
export const LESNI_STEZKA: WorkloadShape = {
  name: 'lesni-stezka',
  sharedPrefixTokens: 640,
  turns: [3, 9],
  inputTokens: [40, 200],
  outputTokens: [30, 120],
  pauseMs: [200, 2_500],
  backgroundShare: 0.25,
  wastedCachePriceMs: 0.02,
  linkDelayMs: 0.5,
};

/** Long walkthroughs with growing context, and look-ups of background priority. */
export const CALOR_JUSTO: WorkloadShape = {
  name: 'calor-justo',
  sharedPrefixTokens: 640,
  turns: [12, 40],
  inputTokens: [60, 220],
  outputTokens: [30, 90],
  pauseMs: [500, 4_000],
  backgroundShare: 0.3,
  wastedCachePriceMs: 0.2,
  linkDelayMs: 1.5,
};

const CUSTOMERS = 8;
/** Share of programs that repeat calls in a loop. */
const LOOPING_SHARE = 0.02;
const LOOPING_TURNS = 60;

/** Plans programs with Poisson arrivals at a rate; the same seed gives the same programs. */
export function planPrograms(
  shape: WorkloadShape,
  { perSecond, seconds, seed }: { perSecond: number; seconds: number; seed: number },
): PlannedProgram[] {
  const random = seedrandom(`${shape.name}/${seed}`);
  const drawUniform = ([low, high]: [number, number]) => low + random() * (high - low);
  // The square of a uniform random number yields many small values and a few large ones.
  const drawSkewed = ([low, high]: [number, number]) => low + random() ** 2 * (high - low);
  const programs: PlannedProgram[] = [];
  let arrivalMs = 0;
  for (;;) {
    arrivalMs += (-Math.log(1 - random()) * 1_000) / perSecond;
    if (arrivalMs > seconds * 1_000) return programs;
    const isLooping = random() < LOOPING_SHARE;
    const count = isLooping ? LOOPING_TURNS : Math.round(drawSkewed(shape.turns));
    const isBackground = random() < shape.backgroundShare;
    programs.push({
      id: `${shape.name}-${seed}-${programs.length}`,
      arrivalMs,
      // The cube makes the customers' numbers of programs differ by an order of magnitude.
      customer: Math.floor(random() ** 3 * CUSTOMERS),
      priority: isBackground ? 'background' : 'urgent',
      turns: Array.from({ length: count }, (_, turn) => ({
        pauseMs: turn === 0 ? 0 : drawUniform(shape.pauseMs),
        inputTokens: Math.round(drawUniform(shape.inputTokens)),
        outputTokens: Math.round(drawSkewed(shape.outputTokens)),
      })),
    });
  }
}
