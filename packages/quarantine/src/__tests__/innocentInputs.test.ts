import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import seedrandom from 'seedrandom';
import {
  addCrash,
  clearSuspect,
  countCrashes,
  EMPTY_RECORD,
  type QuarantineRecord,
  repeatedSuspects,
} from '@marjorampin/quarantine';
import { propertyParameters } from '@marjorampin/standins';

const ROUND_MS = 200;
/** Time for which inputs that were in two crashes wait. */
const DELAY_ROUNDS = 50;
const ROUNDS = 400;
const TRIES = 6;
/** Time to react to the third crash, and number of requests that may reach endpoints later. */
const REACTION_ROUNDS = 15;
const TOLERATED_SENDS = 3;
/** Share of the rounds in which some endpoints end whatever they run, and their number. */
const LOSS_SHARE = 0.02;
const LOST_ENDPOINTS = 3;
const SHARED_INPUT = 'yes';

/** A call of a caller, whose input is deadly if its name begins with `g`. */
interface FleetCall {
  input: string;
  tries: number;
}

/** Endpoints that run batches of calls in rounds, and crash if an input of the batch is deadly. */
class SimulatedFleet {
  record: QuarantineRecord = EMPTY_RECORD;

  /** Rounds in which endpoints crashed, by deadly input. */
  readonly crashRounds = new Map<string, number[]>();

  private readonly random: () => number;

  private waiting: FleetCall[] = [];

  private crashCount = 0;

  /** Independent crashes of each input when the calls of the round were sent. */
  private countsAtSend = new Map<string, number>();

  private lastCrashRounds = new Map<string, number>();

  constructor(random: () => number) {
    this.random = random;
  }

  /** Plays one round with some innocent and deadly calls. */
  play(round: number, deadly: string[], endpoints: number): void {
    const own = Array.from({ length: 6 }, (_, index) => `i${round}-${index}`);
    // Many programs send the same input.
    const innocent = [...own, ...Array.from({ length: 3 }, () => SHARED_INPUT)];
    const calls = [
      ...this.waiting,
      ...innocent.map((input) => ({ input, tries: 0 })),
      ...deadly.filter(() => this.random() < 0.5).map((input) => ({ input, tries: 0 })),
    ];
    const isSent = ({ input }: FleetCall) => !this.isHeldBack(input, round);
    // Callers of innocent inputs return until they are served.
    this.waiting = calls.filter((call) => !isSent(call) && !deadly.includes(call.input));
    const batches = new Map<number, FleetCall[]>();
    calls.filter(isSent).forEach((call) => {
      const endpoint = this.endpointOf(call, endpoints);
      batches.set(endpoint, [...(batches.get(endpoint) ?? []), call]);
    });
    this.countsAtSend = countCrashes(this.record);
    const lost = this.random() < LOSS_SHARE ? LOST_ENDPOINTS : 0;
    batches.forEach((batch, endpoint) => this.run(batch, round, endpoint < lost));
  }

  private isHeldBack(input: string, round: number): boolean {
    const isQuarantined = this.record.inputs.some(({ digest }) => digest === input);
    const isDelayed = repeatedSuspects(this.record).has(input);
    return (
      isQuarantined || (isDelayed && round < (this.lastCrashRounds.get(input) ?? 0) + DELAY_ROUNDS)
    );
  }

  private endpointOf({ input }: FleetCall, endpoints: number): number {
    const suspected = [...countCrashes(this.record).keys()].sort();
    const rank = suspected.indexOf(input);
    return rank < 0 ? Math.floor(this.random() * endpoints) : rank % endpoints;
  }

  private run(batch: FleetCall[], round: number, isLost: boolean): void {
    const atMs = round * ROUND_MS;
    const guilty = batch.filter(({ input }) => input.startsWith('g'));
    if (guilty.length === 0 && !isLost) {
      batch.forEach(({ input }) => {
        this.record = clearSuspect(this.record, [input], atMs);
      });
      return;
    }
    this.crashCount += 1;
    guilty.forEach(({ input }) => {
      this.crashRounds.set(input, [...(this.crashRounds.get(input) ?? []), round]);
    });
    batch.forEach(({ input }) => this.lastCrashRounds.set(input, round));
    const counts = this.countsAtSend;
    const suspects = batch.map(({ input }) => ({
      digest: input,
      route: 'r',
      priorCrashes: counts.get(input) ?? 0,
    }));
    const endpoint = `e${this.crashCount}`;
    this.record = addCrash(this.record, { endpoint, service: 's', atMs, suspects });
    const repeated = batch.filter(({ input, tries }) => !input.startsWith('g') && tries < TRIES);
    this.waiting.push(...repeated.map(({ input, tries }) => ({ input, tries: tries + 1 })));
  }
}

test('an innocent input is quarantined, or a deadly one still sent after its third crash', () => {
  const property = fc.property(
    fc.integer({ min: 1, max: 2 ** 31 }),
    fc.integer({ min: 1, max: 3 }),
    fc.integer({ min: 2, max: 8 }),
    (seed, deadlyCount, endpoints) => {
      const fleet = new SimulatedFleet(seedrandom(`${seed}`));
      const deadly = Array.from({ length: deadlyCount }, (_, index) => `g${index}`);
      for (let round = 0; round < ROUNDS; round += 1) fleet.play(round, deadly, endpoints);
      const quarantined = fleet.record.inputs.map(({ digest }) => digest);
      assert.deepEqual(
        quarantined.filter((input) => !deadly.includes(input)),
        [],
      );
      deadly.forEach((input) => {
        assert.ok(quarantined.includes(input), `${input} is not quarantined`);
        const rounds = fleet.crashRounds.get(input) ?? [];
        const late = rounds.filter((round) => round > (rounds[2] ?? Infinity) + REACTION_ROUNDS);
        assert.ok(
          late.length <= TOLERATED_SENDS,
          `${input} crashed in rounds ${rounds.join(', ')}`,
        );
      });
    },
  );
  fc.assert(property, propertyParameters(50));
});
