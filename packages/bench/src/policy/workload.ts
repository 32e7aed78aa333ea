import type { Priority } from '@marjorampin/types';
import seedrandom from 'seedrandom';

/** One model call of a program, with the tool pause before it. */
export interface PlannedTurn {
  pauseMs: number;
  inputTokens: number;
  outputTokens: number;
}

/** One program of the load. */
export interface PlannedProgram {
  id: string;
  arrivalMs: number;
  customer: number;
  priority: Priority;
  turns: PlannedTurn[];
}

/** What the programs of one user look like. */
export interface WorkloadShape {
  name: 'lesni-stezka' | 'calor-justo';
  /** Tokens that all programs of the service begin with. */
  sharedPrefixTokens: number;
  turns: [number, number];
  inputTokens: [number, number];
  outputTokens: [number, number];
  pauseMs: [number, number];
  /** Share of programs that may wait. */
  waitableShare: number;
  wastedCachePriceMs: number;
  linkMs: number;
}

/** Short programs with few pauses: identifications in the field, some route planning. */
export const LESNI_STEZKA: WorkloadShape = {
  name: 'lesni-stezka',
  sharedPrefixTokens: 640,
  turns: [3, 9],
  inputTokens: [40, 200],
  outputTokens: [30, 120],
  pauseMs: [200, 2_500],
  waitableShare: 0.25,
  wastedCachePriceMs: 0.02,
  linkMs: 0.5,
};

/** Long walkthroughs with growing context, and look-ups that may wait. */
export const CALOR_JUSTO: WorkloadShape = {
  name: 'calor-justo',
  sharedPrefixTokens: 640,
  turns: [12, 40],
  inputTokens: [60, 220],
  outputTokens: [30, 90],
  pauseMs: [500, 4_000],
  waitableShare: 0.3,
  wastedCachePriceMs: 0.2,
  linkMs: 1.5,
};

const CUSTOMERS = 8;
const LOOPING_SHARE = 0.02;
const LOOPING_TURNS = 60;

/** Describes programs that arrive at a rate; the same seed gives the same programs. */
export function planPrograms(
  shape: WorkloadShape,
  { perSecond, seconds, seed }: { perSecond: number; seconds: number; seed: number },
): PlannedProgram[] {
  const random = seedrandom(`${shape.name}/${seed}`);
  const between = ([low, high]: [number, number]) => low + random() * (high - low);
  // The square of a uniform number gives many small values and a few large ones.
  const skewed = ([low, high]: [number, number]) => low + random() ** 2 * (high - low);
  const programs: PlannedProgram[] = [];
  let arrivalMs = 0;
  for (;;) {
    arrivalMs += (-Math.log(1 - random()) * 1_000) / perSecond;
    if (arrivalMs > seconds * 1_000) return programs;
    const isLooping = random() < LOOPING_SHARE;
    const count = isLooping ? LOOPING_TURNS : Math.round(skewed(shape.turns));
    const isWaitable = random() < shape.waitableShare;
    programs.push({
      id: `${shape.name}-${seed}-${programs.length}`,
      arrivalMs,
      // Customers differ by an order of magnitude in the programs that they send.
      customer: Math.floor(random() ** 3 * CUSTOMERS),
      priority: isWaitable ? 'background' : 'urgent',
      turns: Array.from({ length: count }, (_, turn) => ({
        pauseMs: turn === 0 ? 0 : between(shape.pauseMs),
        inputTokens: Math.round(between(shape.inputTokens)),
        outputTokens: Math.round(skewed(shape.outputTokens)),
      })),
    });
  }
}
