import { create } from '@bufbuild/protobuf';
import { type Keeper, type Roster, RosterSchema } from '@marjorampin/protocol';
import {
  type KeyValueStore,
  type StoreError,
  swapDurably,
  type TokenedValue,
} from '@marjorampin/store';
import { parseJson, type Result } from '@marjorampin/types';
import * as z from 'zod';

/** Key of the roster in the platform's store. */
export const ROSTER_KEY = 'marjorampin/keepers';

/** Keepers as they are written as JSON. */
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
});

/** Reads a roster as it is stored; undefined when it can't be read. */
export function parseRoster(value: string, version: number): Roster | undefined {
  const parsed = rosterSchema.safeParse(parseJson(value));
  return parsed.success ? create(RosterSchema, { version, ...parsed.data }) : undefined;
}

/** Writes a roster over the version that it was derived from; returns the new version. */
export async function writeRoster(
  store: KeyValueStore,
  keepers: Keeper[],
  expectedVersion: number,
): Promise<Result<number, StoreError>> {
  const rows = keepers.map(({ id, address, domain, disk, leaving }) => ({
    id,
    address,
    domain,
    disk,
    leaving,
  }));
  const value = { keepers: rows };
  return swapDurably<typeof value & TokenedValue>(store, {
    key: ROSTER_KEY,
    value,
    expectedVersion,
  });
}
