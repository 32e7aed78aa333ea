import type { EventLog } from '@marjorampin/logging';
import type {
  PeerConnection,
  PeerConnections,
  Reply,
  Roster,
  TurnRecord,
} from '@marjorampin/protocol';
import { QUORUM_TIMEOUT_MS } from './callQuorum';
import { absenceQuorum } from './keeperGroup';
import { keepersUnavailable } from './keepersUnavailable';
import { completeChain } from './turnChain';
import { unknownTurn } from './turnErrors';

/** Options of `TurnReader`. */
export interface TurnReaderOptions {
  peers: PeerConnections;
  /** Number of keepers whose disks may be lost at once. */
  lossLimit: number;
  log: EventLog;
  /** Receives a newer roster that a keeper replied with. */
  adopt(roster: Roster): void;
}

/** A turn and its ancestors, oldest first. */
export interface ReadChain {
  chain: TurnRecord[];
  /** Whether a quorum is known to store the turn. */
  isAcknowledged: boolean;
}

/** Reads chains of turns from all keepers, as each turn may be stored by a different majority. */
export class TurnReader {
  private readonly options: TurnReaderOptions;

  constructor(options: TurnReaderOptions) {
    this.options = options;
  }

  /**
   * Reads a turn and its ancestors, oldest first, from every keeper: the turn may belong to another
   * program, which another group stores. `known` are turns that were already read.
   * Throws `unknown-turn` only if the turn can't exist, otherwise `keepers-unavailable`.
   */
  async read(roster: Roster, turn: string, known: TurnRecord[]): Promise<ReadChain> {
    const found = indexByTurn(known);
    let isAcknowledged = false;
    /** Keepers that do not store the turn, by whether their reply is complete. */
    const absent = { complete: [] as string[], incomplete: [] as string[] };
    const reads = roster.keepers.map(async ({ id, address, leaving }) => {
      const reply = await this.requestChain(address, roster.version, turn);
      const { records, complete } = reply;
      isAcknowledged ||= reply.acknowledged;
      records.forEach((record) => found.set(record.turn, record));
      const chain = completeChain(found, turn);
      if (chain) return chain;
      // A keeper that is being retired is assigned no new turns, so that it proves nothing.
      const isProof = complete && !leaving;
      if (records.length === 0) absent[isProof ? 'complete' : 'incomplete'].push(id);
      throw keepersUnavailable(`keeper at ${address} does not store turn ${turn}`);
    });
    try {
      return { chain: await Promise.any(reads), isAcknowledged };
    } catch {
      if (found.has(turn)) {
        return { chain: await this.readMissingAncestors(roster, turn, found), isAcknowledged };
      }
      const needed = absenceQuorum(roster, this.options.lossLimit);
      if (absent.complete.length < needed) {
        throw keepersUnavailable(
          `only ${absent.complete.length} keepers replied that they do not store turn ${turn}`,
        );
      }
      this.options.log.write('turnUnknown', {
        turn,
        rosterVersion: roster.version,
        keepers: roster.keepers.length,
        needed,
        complete: absent.complete.join(' '),
        incomplete: absent.incomplete.join(' '),
      });
      throw unknownTurn(turn);
    }
  }

  private async requestChain(address: string, rosterVersion: number, turn: string) {
    const body = { case: 'readTurns' as const, value: { rosterVersion, turn } };
    const reply = await this.call(address, body);
    if (reply.body.case === 'newerRoster') this.options.adopt(reply.body.value);
    if (reply.body.case !== 'turnChain') throw keepersUnavailable('a keeper has a newer roster');
    return reply.body.value;
  }

  /** Reads the ancestors that no keeper returned together with a found turn; returns its chain. */
  private async readMissingAncestors(
    { keepers }: Roster,
    turn: string,
    found: Map<string, TurnRecord>,
  ): Promise<TurnRecord[]> {
    const ancestors = found.get(turn)?.ancestors ?? [];
    const turns = ancestors.filter((ancestor) => !found.has(ancestor));
    const reads = keepers.map(async ({ address }) => {
      const reply = await this.call(address, { case: 'copyTurns', value: { turns } });
      const records = reply.body.case === 'turnChain' ? reply.body.value.records : [];
      records.forEach((record) => found.set(record.turn, record));
      const chain = completeChain(found, turn);
      if (chain) return chain;
      throw keepersUnavailable(`keeper at ${address} does not store all ancestors of turn ${turn}`);
    });
    try {
      return await Promise.any(reads);
    } catch {
      throw keepersUnavailable(`${turns.length} ancestors of turn ${turn} could not be read`);
    }
  }

  private call(address: string, body: Parameters<PeerConnection['call']>[0]): Promise<Reply> {
    return this.options.peers.get(address).call(body, { progressTimeoutMs: QUORUM_TIMEOUT_MS });
  }
}

/** Indexes records by turn id. */
export function indexByTurn(records: TurnRecord[]): Map<string, TurnRecord> {
  return new Map(records.map((record) => [record.turn, record]));
}
