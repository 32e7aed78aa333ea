import { mkdir, open, readFile, rename } from 'node:fs/promises';
import { join } from 'node:path';
import { randomUUID } from 'node:crypto';
import * as z from 'zod';
import { syncFolder } from './durableLog';
import { rosterSchema } from './rosterRecord';

const STATE_FILE = 'keeper.json';

const stateSchema = z.object({
  disk: z.string(),
  intact: z.boolean(),
  /** Version of the roster up to which all that is assigned is held. */
  restoredVersion: z.number().default(-1),
  /** Newest roster that was known, so that a restart needs no store. */
  roster: rosterSchema.extend({ version: z.number() }).optional(),
});

/** What a keeper knows about its disk across restarts. */
export interface KeeperState extends z.infer<typeof stateSchema> {
  /** The disk was empty at this start. */
  isNew: boolean;
}

/** Reads the state of a disk, or makes one for an empty disk. */
export async function readKeeperState(
  folder: string,
  { isFirstStart }: { isFirstStart: boolean },
): Promise<KeeperState> {
  await mkdir(folder, { recursive: true });
  const text = await readFile(join(folder, STATE_FILE), 'utf8').catch(
    (error: NodeJS.ErrnoException) => {
      if (error.code === 'ENOENT') return undefined;
      throw error;
    },
  );
  if (text !== undefined) return { ...stateSchema.parse(JSON.parse(text)), isNew: false };
  // An empty disk after the first start of all has lost what it held.
  const state: KeeperState = {
    disk: randomUUID(),
    intact: isFirstStart,
    restoredVersion: -1,
    isNew: true,
  };
  await writeKeeperState(folder, state);
  return state;
}

/** Replaces the state as a whole, also over a loss of power. */
export async function writeKeeperState(folder: string, state: KeeperState): Promise<void> {
  const path = join(folder, STATE_FILE);
  const file = await open(`${path}.new`, 'w');
  try {
    await file.writeFile(JSON.stringify(stateSchema.parse(state)));
    await file.sync();
  } finally {
    await file.close();
  }
  await rename(`${path}.new`, path);
  await syncFolder(folder);
}
