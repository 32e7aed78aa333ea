import type { Hash } from '@marjorampin/membership';
import type {
  Keeper,
  PeerConnections,
  ProgramCopy,
  ProgramPage,
  Roster,
  TurnRecord,
} from '@marjorampin/protocol';
import {
  copiesOf,
  holderState,
  relevantHolders,
  type StoredData,
  unreadLimit,
} from './copyHolders';
import { groupOf } from './keeperGroup';

/** Timeout for one page of a copy; a page of `PAGE_BYTES` crosses a slow link in less time. */
const PAGE_TIMEOUT_MS = 2_000;

/** Turns per request, and the size above which a reply lacks the rest of them. */
const TURNS_PER_COPY = 100;
const BYTES_PER_COPY = 1024 * 1024;

/** What a restoration counted. */
export interface RestorationResult {
  /** Ids of the keepers that were copied from, up to now, separated by spaces. */
  copied: string;
  /** Ids of the holders of copies that were not read. */
  unread: string;
  /** Number of holders that may remain unread. */
  unreadLimit: number;
}

/** Options of `restoreFromPeers`. */
export interface RestorationOptions {
  roster: Roster;
  /** The keeper that restores. */
  self: StoredData & { id: string };
  /** Number of keepers whose disks may be lost at once. */
  lossLimit: number;
  /** Wall-clock time. */
  nowMs: number;
  peers: PeerConnections;
  /** Stores reservations copied from another keeper; returns ids of turns that are missing here. */
  importProgram(copy: ProgramCopy): Promise<string[]>;
  /** Stores turns copied from another keeper. */
  importTurns(records: TurnRecord[]): Promise<void>;
  /** Receives what was counted, before the restoration resolves. */
  onResult?(result: RestorationResult): void;
}

/** Copies assigned data from all other keepers; resolves to true if no data can be missing: fewer holders
 * are unread than store any acknowledged write. */
export async function restoreFromPeers(options: RestorationOptions): Promise<boolean> {
  const { roster, self, lossLimit, nowMs, onResult = () => undefined } = options;
  const copies = copiesOf(roster, lossLimit);
  const limit = unreadLimit(copies);
  const unread = new Map(relevantHolders(copies, nowMs).map((holder) => [holder.id, holder]));
  const others = roster.keepers.filter(({ id }) => id !== self.id);
  const pending = new Set(others.map(({ id }) => id));
  const copied: string[] = [];
  const count = (id: string, stored: StoredData) => {
    const holder = unread.get(id);
    if (!holder || holderState(holder, stored, copies.wholeVersion) === 'lost') return;
    unread.delete(id);
  };
  return new Promise((resolve) => {
    let isResolved = false;
    const finish = (isComplete: boolean) => {
      if (isResolved) return;
      isResolved = true;
      const ids = [...unread.keys()].join(' ');
      onResult({ copied: copied.join(' '), unread: ids, unreadLimit: limit });
      resolve(isComplete);
    };
    const decide = () => {
      const unreachable = [...unread.keys()].filter((id) => !pending.has(id));
      if (unread.size <= limit) finish(true);
      else if (unreachable.length > limit) finish(false);
    };
    count(self.id, self);
    decide();
    others.forEach(async (other) => {
      // A keeper that can't be copied from remains unread.
      const stored = await copyFrom(other, options).catch(() => undefined);
      pending.delete(other.id);
      if (stored) {
        copied.push(other.id);
        count(other.id, stored);
      }
      decide();
    });
  });
}

/** Copies all pages from one keeper; resolves to what it stores, or undefined if it lost data meanwhile. */
async function copyFrom(
  source: Keeper,
  options: RestorationOptions,
): Promise<StoredData | undefined> {
  const { roster, self, peers, importProgram } = options;
  let after = '';
  while (true) {
    const page = await requestPage(peers, source, { roster, receiver: self.id, after });
    // The writes of a page run concurrently, so that they share one sync of the log.
    const missing = (await Promise.all(page.programs.map(importProgram))).flat();
    // A source that lost its disk since it sent the page lacks turns that it listed.
    if (!(await copyTurns(source, missing, options))) return undefined;
    const { intact, restoredVersion } = page;
    // Earlier versions of marjorampin don't state the disk.
    if (!page.hasMore) return { disk: page.disk || source.disk, intact, restoredVersion };
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
  let rest = missing;
  while (rest.length > 0) {
    const turns = rest.slice(0, TURNS_PER_COPY);
    const value = { turns, maximumBytes: BYTES_PER_COPY };
    const reply = await peers
      .get(address)
      .call({ case: 'copyTurns', value }, { progressTimeoutMs: PAGE_TIMEOUT_MS });
    if (reply.body.case !== 'turnChain') throw new Error(`keeper ${id} did not return its turns`);
    const { records, complete, hasMore } = reply.body.value;
    await importTurns(records);
    isIntact = isIntact && complete;
    const last = hasMore ? turns.indexOf(records.at(-1)?.turn ?? '') : turns.length - 1;
    rest = rest.slice(last + 1);
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
