import type { Hash } from '@marjorampin/membership';
import type { Keeper, PeerPool, ProgramCopy, ProgramPage, Roster } from '@marjorampin/protocol';
import { groupOf } from './keeperGroup';

/** Time that one page of a copy may take; a page of about 1 MB crosses a slow link in less. */
const PAGE_TIMEOUT_MS = 2_000;

/** What a keeper copies and why. */
export interface RestorationOptions {
  roster: Roster;
  /** Id of the keeper that restores. */
  self: string;
  /** Keepers that may be lost at once. */
  lossLimit: number;
  /** Its own disk was lost, so that it counts among the losses itself. */
  hasLostDisk: boolean;
  peers: PeerPool;
  /** Takes in what another keeper holds. */
  accept(copy: ProgramCopy): Promise<void>;
}

/** Returns how many intact keepers have to be copied from before nothing can be missing. */
export function sourcesNeeded({
  roster,
  self,
  lossLimit,
  hasLostDisk,
}: Pick<RestorationOptions, 'roster' | 'self' | 'lossLimit' | 'hasLostDisk'>): number {
  const others = roster.keepers.filter(({ id }) => id !== self).length;
  const otherLosses = hasLostDisk ? Math.max(0, lossLimit - 1) : lossLimit;
  return Math.max(0, others - otherLosses);
}

/** Copies from all other keepers what is assigned to this one; true when nothing can be missing. */
export async function restoreFromPeers(options: RestorationOptions): Promise<boolean> {
  const { roster, self } = options;
  const others = roster.keepers.filter(({ id }) => id !== self);
  const outcomes = await Promise.allSettled(others.map((other) => copyFrom(other, options)));
  const intact = outcomes.filter((outcome) => outcome.status === 'fulfilled' && outcome.value);
  return intact.length >= sourcesNeeded(options);
}

/** Copies all pages from one keeper; true when it is intact. */
async function copyFrom(source: Keeper, options: RestorationOptions): Promise<boolean> {
  const { roster, self, peers, accept } = options;
  let after = '';
  while (true) {
    const page = await requestPage(peers, source, { roster, receiver: self, after });
    // All writes of a page share a sync of the log.
    await Promise.all(page.programs.map(accept));
    if (!page.hasMore) return page.intact;
    after = page.programs.at(-1)?.program ?? after;
  }
}

async function requestPage(
  peers: PeerPool,
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
