import { countIncidents, incidentsOf } from './incidents';
import type {
  QuarantinedInput,
  QuarantineRecord,
  RecordedCrash,
  Suspect,
} from './quarantineRecord';
import { digestsOf, isOf } from './suspect';

/** Number of independent crashes after which an input is delayed. */
const CRASHES_TO_DELAY = 2;
/** Number of independent crashes after which an input is quarantined if no other one explains them. */
const CRASHES_TO_QUARANTINE = 3;
/** Number of independent crashes after which an input is quarantined even if others were in all. */
const MAXIMUM_CRASHES = 6;

/** Time for which a crash is evidence. */
const EVIDENCE_MS = 10 * 60_000;
/** Bounds of the record; together they keep it below the size limit of a stored value. */
const MAXIMUM_RECORDED_CRASHES = 32;
const MAXIMUM_SUSPECTS = 64;
const MAXIMUM_INPUTS = 1_000;
const MAXIMUM_ENDPOINTS_OF_INPUT = 8;

/** A crash that one process noticed, with the inputs that it interrupted there. */
export type NoticedCrash = Omit<RecordedCrash, 'isExplained'>;

/**
 * Adds a crash, or the inputs that another process lost in it. Answers inputs that come back to one
 * process after another: each notices only the crashes of its own calls.
 */
export function addCrash(record: QuarantineRecord, crash: NoticedCrash): QuarantineRecord {
  const known = record.crashes.find(({ endpoint }) => endpoint === crash.endpoint);
  const merged: RecordedCrash = {
    ...crash,
    atMs: known?.atMs ?? crash.atMs,
    suspects: mergeSuspects(known?.suspects ?? [], crash.suspects),
    isExplained: known?.isExplained ?? false,
  };
  const others = record.crashes.filter(({ endpoint }) => endpoint !== crash.endpoint);
  const recent = [...others, merged].filter(({ atMs }) => crash.atMs - atMs < EVIDENCE_MS);
  return evaluate({ ...record, crashes: recent.slice(-MAXIMUM_RECORDED_CRASHES) }, crash.atMs);
}

/**
 * Removes an input that ran to an answer, and its target, from the suspects and from the quarantine.
 * Answers crashes that interrupt whole batches: all but one of the calls are innocent, and show it
 * when they are sent again, or when calls that were in progress elsewhere end.
 */
export function clearSuspect(
  record: QuarantineRecord,
  digests: string[],
  nowMs: number,
): QuarantineRecord {
  return evaluate(digests.reduce(liftInput, record), nowMs);
}

/** Removes an input from the quarantine and from the suspects. */
export function liftInput({ crashes, inputs }: QuarantineRecord, digest: string): QuarantineRecord {
  return {
    crashes: withoutSuspect(crashes, digest),
    inputs: inputs.filter((input) => input.digest !== digest),
  };
}

/** Returns the number of independent crashes of each suspected input and target, by digest. */
export function countCrashes({ crashes }: QuarantineRecord): Map<string, number> {
  return countIncidents(crashes);
}

/**
 * Returns the crashes of the inputs and targets that were in several, by digest. Answers the repeats
 * that follow a crash within a second: the probable cause waits, and the others run without it.
 */
export function repeatedSuspects(record: QuarantineRecord): Map<string, RecordedCrash[]> {
  const repeated = [...countCrashes(record)].filter(([, count]) => count >= CRASHES_TO_DELAY);
  return new Map(repeated.map(([digest]) => [digest, crashesOf(record, digest)]));
}

/** Quarantines the inputs that the crashes prove to be their cause, one after another: each explains
 * its crashes, which are no evidence against other inputs any more. */
function evaluate(record: QuarantineRecord, nowMs: number): QuarantineRecord {
  let current = explainKnown(record);
  while (true) {
    const digest = findCause(current);
    if (digest === undefined) return current;
    const own = crashesOf(current, digest);
    const suspect = own.flatMap(({ suspects }) => suspects).find((each) => isOf(each, digest));
    const input: QuarantinedInput = {
      digest,
      route: suspect?.route ?? '',
      service: own[0]?.service ?? '',
      sinceMs: nowMs,
      endpoints: own.map(({ endpoint }) => endpoint).slice(0, MAXIMUM_ENDPOINTS_OF_INPUT),
    };
    current = explainKnown({
      ...current,
      inputs: [...current.inputs, input].slice(-MAXIMUM_INPUTS),
    });
  }
}

/** Returns the digest of a target, or of an input whose target is shared with other calls. */
function findCause(record: QuarantineRecord): string | undefined {
  const inputs = new Set(record.crashes.flatMap(({ suspects }) => suspects.map(inputOf)));
  const causes = [...countCrashes(record)]
    .filter(([, count]) => count >= CRASHES_TO_QUARANTINE)
    .map(([digest]) => digest)
    .filter((digest) => isCause(digest, crashesOf(record, digest)));
  return causes.find((digest) => !inputs.has(digest)) ?? causes[0];
}

/** An input that was in nearly all of the crashes explains them just as well. */
function isCause(digest: string, own: RecordedCrash[]): boolean {
  const incidents = incidentsOf(own, digest);
  if (incidents.length >= MAXIMUM_CRASHES) return true;
  const suspects = own.flatMap((crash) => crash.suspects);
  const ownDigests = new Set(suspects.filter((each) => isOf(each, digest)).flatMap(digestsOf));
  const counts = new Map<string, number>();
  incidents.forEach((crashes) => {
    const others = crashes.flatMap((crash) => crash.suspects).filter((each) => !isOf(each, digest));
    const digests = new Set(others.flatMap(digestsOf));
    digests.forEach((other) => counts.set(other, (counts.get(other) ?? 0) + 1));
  });
  const otherCounts = [...counts].filter(([other]) => !ownDigests.has(other));
  return Math.max(0, ...otherCounts.map(([, count]) => count)) < incidents.length - 1;
}

/** Marks the crashes of quarantined inputs as explained. */
function explainKnown({ crashes, inputs }: QuarantineRecord): QuarantineRecord {
  const quarantined = new Set(inputs.map(({ digest }) => digest));
  const marked = crashes.map((crash) => {
    const digests = crash.suspects.flatMap(digestsOf);
    const isExplained = crash.isExplained || digests.some((digest) => quarantined.has(digest));
    return isExplained ? { ...crash, isExplained, suspects: [] } : crash;
  });
  return { crashes: marked, inputs };
}

function crashesOf({ crashes }: QuarantineRecord, digest: string): RecordedCrash[] {
  return crashes.filter(({ suspects }) => suspects.some((suspect) => isOf(suspect, digest)));
}

/** Removes an input, or a target from the inputs that have it. */
function withoutSuspect(crashes: RecordedCrash[], digest: string): RecordedCrash[] {
  return crashes.map((crash) => ({
    ...crash,
    suspects: crash.suspects
      .filter((suspect) => suspect.digest !== digest)
      .map((suspect) => (suspect.target === digest ? withoutTarget(suspect) : suspect)),
  }));
}

function withoutTarget({ digest, route, priorCrashes }: Suspect): Suspect {
  return { digest, route, priorCrashes };
}

function inputOf({ digest }: Suspect): string {
  return digest;
}

/** A target counts only if no process has seen an answer to a call with it, and if no two of the
 * interrupted inputs have it. */
function mergeSuspects(known: Suspect[], added: Suspect[]): Suspect[] {
  const merged = new Map(known.map((suspect) => [suspect.digest, suspect]));
  added.forEach((suspect) => {
    const other = merged.get(suspect.digest);
    const hasTarget = !other || other.target !== undefined;
    const earliest = other ? withEarlierPriors(suspect, other) : suspect;
    merged.set(suspect.digest, hasTarget ? earliest : withoutTarget(earliest));
  });
  const suspects = [...merged.values()].slice(0, MAXIMUM_SUSPECTS);
  const targets = suspects.map(({ target }) => target);
  return suspects.map((suspect) => {
    const isShared = targets.indexOf(suspect.target) !== targets.lastIndexOf(suspect.target);
    return isShared ? withoutTarget(suspect) : suspect;
  });
}

/** A run of a suspect that was sent earlier proves less. */
function withEarlierPriors(one: Suspect, other: Suspect): Suspect {
  return {
    ...one,
    priorCrashes: minimumOf(one.priorCrashes, other.priorCrashes),
    priorTargetCrashes: minimumOf(one.priorTargetCrashes, other.priorTargetCrashes),
  };
}

function minimumOf(one: number | undefined, other: number | undefined): number | undefined {
  if (one === undefined || other === undefined) return one ?? other;
  return Math.min(one, other);
}
