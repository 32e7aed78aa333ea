import { parseJson } from '@marjorampin/types';
import * as z from 'zod';

const suspect = z.object({
  /** Digest of the input. */
  digest: z.string(),
  /** Digest of the target; absent if other calls with this target were answered. */
  target: z.string().optional(),
  route: z.string(),
  /** Independent crashes of the input and of its target that were known when the call was sent. */
  priorCrashes: z.number().optional(),
  priorTargetCrashes: z.number().optional(),
});

const recordedCrash = z.object({
  /** Incarnation of the endpoint that crashed. */
  endpoint: z.string(),
  service: z.string(),
  /** Unix milliseconds. */
  atMs: z.number(),
  /** Inputs that the crash interrupted and that have not run to an answer since. */
  suspects: z.array(suspect),
  /** Whether a quarantined input caused the crash, which clears the others. */
  isExplained: z.boolean(),
});

const quarantinedInput = z.object({
  /** Digest of the input, or of the target of inputs whose bodies differ. */
  digest: z.string(),
  route: z.string(),
  service: z.string(),
  /** Unix milliseconds. */
  sinceMs: z.number(),
  /** Incarnations of the first endpoints that crashed under the input. */
  endpoints: z.array(z.string()),
});

const quarantineRecord = z.object({
  crashes: z.array(recordedCrash),
  inputs: z.array(quarantinedInput),
});

/** An input that was interrupted by a crash. */
export type Suspect = z.infer<typeof suspect>;

/** Crash of an endpoint, as all processes together know it. */
export type RecordedCrash = z.infer<typeof recordedCrash>;

/** An input that is not sent to endpoints any more. */
export type QuarantinedInput = z.infer<typeof quarantinedInput>;

/** Recent crashes and quarantined inputs of all processes, one value in the platform's store. */
export type QuarantineRecord = z.infer<typeof quarantineRecord>;

/** Key of the record in the platform's store. */
export const QUARANTINE_KEY = 'quarantine';

/** The record before the first crash. */
export const EMPTY_RECORD: QuarantineRecord = { crashes: [], inputs: [] };

/** Decodes a stored record; returns undefined if it can't be read. */
export function decodeRecord(text: string): QuarantineRecord | undefined {
  const parsed = quarantineRecord.safeParse(parseJson(text));
  return parsed.success ? parsed.data : undefined;
}

/** Encodes a record for the platform's store. */
export function encodeRecord(record: QuarantineRecord): string {
  return JSON.stringify(record);
}
