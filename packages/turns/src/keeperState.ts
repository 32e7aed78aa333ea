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
  /** Roster version up to which all assigned data is stored. */
  restoredVersion: z.number().default(-1),
  /** Roster of `restoredVersion`; lets this keeper restart without the platform's store. */
  roster: rosterSchema.extend({ version: z.number() }).optional(),
});

/** State of a keeper's disk that persists across restarts. */
export interface KeeperState extends z.infer<typeof stateSchema> {
  /** Whether the disk was empty at this start. */
  isNew: boolean;
}

/** Reads the state of a disk, or creates one on an empty disk. */
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
  // A disk that is empty after the first start of the whole system has lost its data.
  const state: KeeperState = {
    disk: randomUUID(),
    intact: isFirstStart,
    restoredVersion: -1,
    isNew: true,
  };
  await writeKeeperState(folder, state);
  return state;
}

/** Replaces the state atomically, even if the power fails. */
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
