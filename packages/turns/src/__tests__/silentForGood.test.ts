/** When programs go on whose keepers are silent for good. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { toCallError } from '@marjorampin/types';
import { MISSING_COPY_EXPIRY_MS } from '../retention';
import { DisruptedKeepers } from './disruptedKeepers';
import { redirectFiles } from './simulatedDisk';
import { loadModulesAtOnce, redirectPeers } from './simulatedHosts';

redirectFiles();
redirectPeers();
loadModulesAtOnce();

const FIVE = { keepers: 5, domains: 5, lossLimit: 1 };
const PROGRAMS = 20;
/** Time for two removals and restorations. */
const RECOVERY_MS = 60_000;
const STEP_MS = 100;

/** Returns how many programs may run a turn. */
async function countServed(keepers: DisruptedKeepers, label: string): Promise<number> {
  const store = keepers.entries[0]?.turns;
  const outcomes: string[] = [];
  for (let index = 0; index < PROGRAMS; index += 1) {
    const program = `${label}-${index}`;
    const reservation = { program, turn: `${program}-t`, tokens: 0, budget: 10 };
    store?.reserve({ ...reservation, previous: undefined, retentionMs: 60_000 }).then(
      () => outcomes.push('ok'),
      (error: unknown) => outcomes.push(toCallError(error).kind),
    );
  }
  while (outcomes.length < PROGRAMS) await keepers.advance(STEP_MS);
  return outcomes.filter((outcome) => outcome === 'ok').length;
}

test(
  'LOST: programs whose keepers are silent for good go on once the copies have expired',
  { timeout: 200_000 },
  async () => {
    const keepers = new DisruptedKeepers(FIVE);
    try {
      await keepers.start();
      await keepers.disrupt(1, 'cut off', 10 * MISSING_COPY_EXPIRY_MS);
      await keepers.disrupt(2, 'cut off', 10 * MISSING_COPY_EXPIRY_MS);
      await keepers.advance(RECOVERY_MS);
      const early = await countServed(keepers, 'early');
      await keepers.advance(MISSING_COPY_EXPIRY_MS);
      await keepers.advance(RECOVERY_MS);
      const late = await countServed(keepers, 'late');
      const roster = await keepers.roster();
      const listed = roster?.keepers.map(({ id }) => id).join('');
      assert.deepEqual(
        { late, listed },
        { late: PROGRAMS, listed: 'ade' },
        `${early} served early; ${await keepers.describe()}`,
      );
    } finally {
      keepers.stop();
    }
  },
);
