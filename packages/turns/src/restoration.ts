import type { Hash } from '@marjorampin/membership';
import type {
  Keeper,
  Peers,
  ProgramCopy,
  ProgramPage,
  Roster,
  TurnRecord,
} from '@marjorampin/protocol';
import { activeKeepers, groupOf } from './keeperGroup';

/** Time that one page of a copy may take; a page of about 1 MB crosses a slow link in less. */
const PAGE_TIMEOUT_MS = 2_000;

/** Turns of a few kilobytes each: together well below what a message may hold. */
const TURNS_PER_COPY = 100;

/** What a keeper copies and why. */
export interface RestorationOptions {
  roster: Roster;
  /** Id of the keeper that restores. */
  self: string;
  /** Keepers that may be lost at once. */
  lossLimit: number;
  /** Losses that have happened: its own disk, and keepers that left the roster since it was last
   * restored. What they held may be left in fewer places. */
  losses: number;
  peers: Peers;
  /** Takes in what another keeper holds of a program; returns the turns that are missing. */
  accept(copy: ProgramCopy): Promise<string[]>;
  /** Takes in turns. */
  acceptTurns(records: TurnRecord[]): Promise<void>;
}

/** Returns how many intact keepers have to be copied from before nothing can be missing. */
export function sourcesNeeded({
  roster,
  self,
  lossLimit,
  losses,
}: Pick<RestorationOptions, 'roster' | 'self' | 'lossLimit' | 'losses'>): number {
  const others = roster.keepers.filter(({ id }) => id !== self).length;
  return Math.max(0, others - Math.max(0, lossLimit - losses));
}

/** Returns how many keepers of an earlier roster get no data any more under a later one. */
export function countDepartures(earlier: Roster | undefined, later: Roster): number {
  if (!earlier) return 0;
  const active = new Set(activeKeepers(later).map(({ id }) => id));
  return activeKeepers(earlier).filter(({ id }) => !active.has(id)).length;
}

/** Copies from all other keepers what is assigned to this one; true when nothing can be missing. */
export async function restoreFromPeers(options: RestorationOptions): Promise<boolean> {
  const { roster, self } = options;
  const others = roster.keepers.filter(({ id }) => id !== self);
  const needed = sourcesNeeded(options);
  let intact = 0;
  let ended = 0;
  return new Promise((resolve) => {
    if (needed === 0) resolve(true);
    others.forEach(async (other) => {
      // A keeper that can't be copied from counts as one of the losses that are allowed.
      const isIntact = await copyFrom(other, options).catch(() => false);
      ended += 1;
      intact += isIntact ? 1 : 0;
      if (intact >= needed) resolve(true);
      else if (others.length - ended + intact < needed) resolve(false);
    });
  });
}

/** Copies all pages from one keeper; true when it is intact. */
async function copyFrom(source: Keeper, options: RestorationOptions): Promise<boolean> {
  const { roster, self, peers, accept } = options;
  let after = '';
  while (true) {
    const page = await requestPage(peers, source, { roster, receiver: self, after });
    // All writes of a page share a sync of the log.
    const missing = (await Promise.all(page.programs.map(accept))).flat();
    await copyTurns(source, missing, options);
    if (!page.hasMore) return page.intact;
    after = page.programs.at(-1)?.program ?? after;
  }
}

async function copyTurns(
  { id, address }: Keeper,
  missing: string[],
  { peers, acceptTurns }: RestorationOptions,
): Promise<void> {
  for (let start = 0; start < missing.length; start += TURNS_PER_COPY) {
    const turns = missing.slice(start, start + TURNS_PER_COPY);
    const reply = await peers
      .get(address)
      .call({ case: 'copyTurns', value: { turns } }, { progressTimeoutMs: PAGE_TIMEOUT_MS });
    if (reply.body.case !== 'turnChain') throw new Error(`keeper ${id} did not send its turns`);
    await acceptTurns(reply.body.value.records);
  }
}

async function requestPage(
  peers: Peers,
  source: Keeper,
  value: { roster: Roster; receiver: string; after: string },
): Promise<ProgramPage> {
  const reply = await peers
    .get(source.address)
    .call({ case: 'copyPrograms', value }, { progressTimeoutMs: PAGE_TIMEOUT_MS });
  if (reply.body.case === 'programPage') return reply.body.value;
  throw new Error(`keeper ${source.id} did not send a page; it is asked again later`);
}

/** Returns whether a program is assigned to a keeper. */
export function isAssigned(
  program: string,
  keeper: string,
  { roster, lossLimit, hash }: { roster: Roster; lossLimit: number; hash: Hash },
): boolean {
  return groupOf(roster, program, { lossLimit, hash }).some(({ id }) => id === keeper);
}
