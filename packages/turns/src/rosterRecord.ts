import { create } from '@bufbuild/protobuf';
import { type Roster, RosterSchema } from '@marjorampin/protocol';
import {
  compareAndSwapWithReadBack,
  type KeyValueStore,
  type StoreError,
  type TokenedValue,
} from '@marjorampin/store';
import { parseJson, type Result } from '@marjorampin/types';
import * as z from 'zod';

/** Key of the roster in the platform's store. */
export const ROSTER_KEY = 'marjorampin/keepers';

/** JSON schema of a stored roster, without its version. */
export const rosterSchema = z.object({
  keepers: z.array(
    z.object({
      id: z.string(),
      address: z.string(),
      domain: z.string(),
      disk: z.string(),
      leaving: z.boolean(),
    }),
  ),
  // Earlier versions of marjorampin write rosters without the following fields.
  holders: z
    .array(z.object({ id: z.string(), disk: z.string(), missingSinceMs: z.number() }))
    .default([]),
  minimumCopies: z.number().int().min(0).default(0),
  wholeVersion: z.number().default(0),
});

/** Parses a stored roster; undefined if it is not valid. */
export function parseRoster(value: string, version: number): Roster | undefined {
  const parsed = rosterSchema.safeParse(parseJson(value));
  return parsed.success ? create(RosterSchema, { version, ...parsed.data }) : undefined;
}

/** Writes a roster if the stored version is still `expectedVersion`; returns the new version. */
export async function writeRoster(
  store: KeyValueStore,
  roster: z.infer<typeof rosterSchema>,
  expectedVersion: number,
): Promise<Result<number, StoreError>> {
  // Parsing leaves out the fields of messages that are not part of the record.
  const value = rosterSchema.parse(roster);
  return compareAndSwapWithReadBack<typeof value & TokenedValue>(store, {
    key: ROSTER_KEY,
    value,
    expectedVersion,
  });
}
