import type { RecordedCrash, Suspect } from './quarantineRecord';
import { digestsOf } from './suspect';

/** Crashes that are noticed later than this after each other are independent even if the process that
 * sent the second call did not know of the first one. */
const MAXIMUM_GAP_MS = 5_000;

/** A crash with what the sender of one of its suspects knew. */
interface Observation {
  crash: RecordedCrash;
  /** Independent crashes of the suspect that were known when it was sent; undefined if not reported. */
  prior: number | undefined;
}

/**
 * Groups the crashes of an input or target into independent incidents. Answers the loss of several
 * endpoints at once, as with a rack: calls that were sent before the first crash was known don't show
 * that one of them caused the next.
 */
export function incidentsOf(crashes: RecordedCrash[], digest: string): RecordedCrash[][] {
  const observations = observe(crashes).get(digest) ?? [];
  return groupObservations(observations).map((group) => group.map(({ crash }) => crash));
}

/** Returns the number of incidents of each input and target, by digest. */
export function countIncidents(crashes: RecordedCrash[]): Map<string, number> {
  return new Map(
    [...observe(crashes)].map(([digest, known]) => [digest, groupObservations(known).length]),
  );
}

/** Returns one observation of each input and target for each crash that it was in, by digest. */
function observe(crashes: RecordedCrash[]): Map<string, Observation[]> {
  const observations = new Map<string, Observation[]>();
  crashes.forEach((crash) =>
    crash.suspects.forEach((suspect) =>
      digestsOf(suspect).forEach((digest) => {
        const known = observations.get(digest) ?? [];
        if (known.at(-1)?.crash === crash) return;
        known.push({ crash, prior: priorOf(suspect, digest) });
        observations.set(digest, known);
      }),
    ),
  );
  return observations;
}

function groupObservations(observations: Observation[]): Observation[][] {
  if (observations.length === 1) return [observations];
  const groups: Observation[][] = [];
  [...observations].sort(byPriorAndTime).forEach((observation) => {
    const group = groups.at(-1);
    const last = group?.at(-1);
    if (last && isSameIncident(last, observation)) group?.push(observation);
    else groups.push([observation]);
  });
  return groups;
}

function byPriorAndTime(one: Observation, other: Observation): number {
  return (one.prior ?? -1) - (other.prior ?? -1) || one.crash.atMs - other.crash.atMs;
}

function isSameIncident(earlier: Observation, later: Observation): boolean {
  if (earlier.prior === undefined || earlier.prior !== later.prior) return false;
  return later.crash.atMs - earlier.crash.atMs <= MAXIMUM_GAP_MS;
}

function priorOf(suspect: Suspect, digest: string): number | undefined {
  return suspect.digest === digest ? suspect.priorCrashes : suspect.priorTargetCrashes;
}
