import type { Hash } from '@marjorampin/membership';
import type {
  Keeper,
  PeerConnections,
  ProgramCopy,
  ProgramPage,
  Roster,
  TurnRecord,
} from '@marjorampin/protocol';
import { activeKeepers, groupOf } from './keeperGroup';

/** Timeout for one page of a copy; a page of `PAGE_BYTES` crosses a slow link in less time. */
const PAGE_TIMEOUT_MS = 2_000;

/** Turns per request: at a few kilobytes each, well below the size limit of a message. */
const TURNS_PER_COPY = 100;

/** What a restoration copied. */
export interface RestorationResult {
  /** Ids of the intact keepers that were copied from, up to now, separated by spaces. */
  copied: string;
  /** Ids of the other keepers. */
  unread: string;
  /** Number of keepers that must be copied from. */
  needed: number;
}

/** Options of `restoreFromPeers`. */
export interface RestorationOptions {
  roster: Roster;
  /** Id of the keeper that restores. */
  self: string;
  /** Number of keepers whose disks may be lost at once. */
  lossLimit: number;
  /** Losses so far: the disk of this keeper, and keepers that left the roster since its last
   * restoration. Fewer copies of their data may be left. */
  losses: number;
  peers: PeerConnections;
  /** Stores reservations copied from another keeper; returns ids of turns that are missing here. */
  importProgram(copy: ProgramCopy): Promise<string[]>;
  /** Stores turns copied from another keeper. */
  importTurns(records: TurnRecord[]): Promise<void>;
  /** Receives what was counted, before the restoration resolves. */
  onResult?(result: RestorationResult): void;
}

/** Returns how many intact keepers must be copied from to rule out missing data. */
export function sourcesNeeded({
  roster,
  self,
  lossLimit,
  losses,
}: Pick<RestorationOptions, 'roster' | 'self' | 'lossLimit' | 'losses'>): number {
  const others = roster.keepers.filter(({ id }) => id !== self).length;
  return Math.max(0, others - Math.max(0, lossLimit - losses));
}

/** Returns how many active keepers of an earlier roster are not active in a later one. */
export function countDepartures(earlier: Roster | undefined, later: Roster): number {
  if (!earlier) return 0;
  const active = new Set(activeKeepers(later).map(({ id }) => id));
  return activeKeepers(earlier).filter(({ id }) => !active.has(id)).length;
}

/** Copies assigned data from all other keepers; resolves to true if no data can be missing. */
export async function restoreFromPeers(options: RestorationOptions): Promise<boolean> {
  const { roster, self, onResult = () => undefined } = options;
  const others = roster.keepers.filter(({ id }) => id !== self);
  const needed = sourcesNeeded(options);
  const copied: string[] = [];
  let finished = 0;
  return new Promise((resolve) => {
    let isResolved = false;
    const finish = (isComplete: boolean) => {
      if (isResolved) return;
      isResolved = true;
      const unread = others.map(({ id }) => id).filter((id) => !copied.includes(id));
      onResult({ copied: copied.join(' '), unread: unread.join(' '), needed });
      resolve(isComplete);
    };
    if (needed === 0) finish(true);
    others.forEach(async (other) => {
      // A keeper that can't be copied from counts as one of the tolerated losses.
      const isIntact = await copyFrom(other, options).catch(() => false);
      finished += 1;
      if (isIntact) copied.push(other.id);
      if (copied.length >= needed) finish(true);
      else if (others.length - finished + copied.length < needed) finish(false);
    });
  });
}

/** Copies all pages from one keeper; resolves to true if that keeper is intact. */
async function copyFrom(source: Keeper, options: RestorationOptions): Promise<boolean> {
  const { roster, self, peers, importProgram } = options;
  let after = '';
  while (true) {
    const page = await requestPage(peers, source, { roster, receiver: self, after });
    // The writes of a page run concurrently, so that they share one sync of the log.
    const missing = (await Promise.all(page.programs.map(importProgram))).flat();
    // A source that lost its disk since it sent the page lacks turns that it listed.
    if (!(await copyTurns(source, missing, options))) return false;
    if (!page.hasMore) return page.intact;
    after = page.programs.at(-1)?.program ?? after;
  }
}

/** Copies turns; resolves to true if those that the source lacks can only have expired. */
async function copyTurns(
  { id, address }: Keeper,
  missing: string[],
  { peers, importTurns }: RestorationOptions,
): Promise<boolean> {
  let isIntact = true;
  for (let start = 0; start < missing.length; start += TURNS_PER_COPY) {
    const turns = missing.slice(start, start + TURNS_PER_COPY);
    const reply = await peers
      .get(address)
      .call({ case: 'copyTurns', value: { turns } }, { progressTimeoutMs: PAGE_TIMEOUT_MS });
    if (reply.body.case !== 'turnChain') throw new Error(`keeper ${id} did not return its turns`);
    const { records, complete } = reply.body.value;
    await importTurns(records);
    isIntact = isIntact && complete;
  }
  return isIntact;
}

async function requestPage(
  peers: PeerConnections,
  source: Keeper,
  value: { roster: Roster; receiver: string; after: string },
): Promise<ProgramPage> {
  const reply = await peers
    .get(source.address)
    .call({ case: 'copyPrograms', value }, { progressTimeoutMs: PAGE_TIMEOUT_MS });
  if (reply.body.case === 'programPage') return reply.body.value;
  throw new Error(`keeper ${source.id} did not return a page of programs; restoration is retried`);
}

/** Returns whether a program is assigned to a keeper. */
export function isAssigned(
  program: string,
  keeper: string,
  { roster, lossLimit, hash }: { roster: Roster; lossLimit: number; hash: Hash },
): boolean {
  return groupOf(roster, program, { lossLimit, hash }).some(({ id }) => id === keeper);
}
