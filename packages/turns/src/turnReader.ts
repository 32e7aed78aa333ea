import type { PeerLink, Peers, Reply, Roster, TurnRecord } from '@marjorampin/protocol';
import { CallError } from '@marjorampin/types';
import { QUORUM_TIMEOUT_MS } from './askQuorum';
import { denialsNeeded } from './keeperGroup';
import { keepersUnavailable } from './keepersUnavailable';
import { wholeChain } from './turnChain';

/** What is needed to read turns from keepers. */
export interface TurnReaderOptions {
  peers: Peers;
  lossLimit: number;
  /** Takes over a roster that a keeper sent because it is newer. */
  adopt(roster: Roster): void;
}

/** Puts lines of turns together from all keepers: each turn is at a majority of its own. */
export class TurnReader {
  private readonly options: TurnReaderOptions;

  constructor(options: TurnReaderOptions) {
    this.options = options;
  }

  /**
   * Asks every keeper for a turn, as another program may continue from it, with another group.
   * `known` are turns that were read already. Throws `unknown-turn` only when it can't exist.
   */
  async read(roster: Roster, turn: string, known: TurnRecord[]): Promise<TurnRecord[]> {
    const found = byTurn(known);
    let denials = 0;
    const outcomes = roster.keepers.map(async ({ address }) => {
      const { records, complete } = await this.ask(address, roster.version, turn);
      records.forEach((record) => found.set(record.turn, record));
      const chain = wholeChain(found, turn);
      if (chain) return chain;
      if (complete && records.length === 0) denials += 1;
      throw keepersUnavailable(`keeper at ${address} does not hold turn ${turn}`);
    });
    try {
      return await Promise.any(outcomes);
    } catch {
      if (found.has(turn)) return this.readMissing(roster, turn, found);
      if (denials < denialsNeeded(roster, this.options.lossLimit)) {
        throw keepersUnavailable(`only ${denials} keepers could say whether turn ${turn} exists`);
      }
      const message = `no turn ${turn} exists; start a new line of turns`;
      throw new CallError({ kind: 'unknown-turn', message });
    }
  }

  private async ask(address: string, rosterVersion: number, turn: string) {
    const body = { case: 'readTurns' as const, value: { rosterVersion, turn } };
    const reply = await this.call(address, body);
    if (reply.body.case === 'newerRoster') this.options.adopt(reply.body.value);
    if (reply.body.case !== 'turnChain') throw keepersUnavailable('the roster changes');
    return reply.body.value;
  }

  /** Reads the turns before a found one that no keeper had together with it. */
  private async readMissing(
    { keepers }: Roster,
    turn: string,
    found: Map<string, TurnRecord>,
  ): Promise<TurnRecord[]> {
    const ancestors = found.get(turn)?.ancestors ?? [];
    const turns = ancestors.filter((ancestor) => !found.has(ancestor));
    const parts = keepers.map(async ({ address }) => {
      const reply = await this.call(address, { case: 'copyTurns', value: { turns } });
      const records = reply.body.case === 'turnChain' ? reply.body.value.records : [];
      records.forEach((record) => found.set(record.turn, record));
      const chain = wholeChain(found, turn);
      if (chain) return chain;
      throw keepersUnavailable(`keeper at ${address} does not hold all before turn ${turn}`);
    });
    try {
      return await Promise.any(parts);
    } catch {
      throw keepersUnavailable(`${turns.length} turns before ${turn} could not be read`);
    }
  }

  private call(address: string, body: Parameters<PeerLink['call']>[0]): Promise<Reply> {
    return this.options.peers.get(address).call(body, { progressTimeoutMs: QUORUM_TIMEOUT_MS });
  }
}

/** Returns records by the turns that they are of. */
export function byTurn(records: TurnRecord[]): Map<string, TurnRecord> {
  return new Map(records.map((record) => [record.turn, record]));
}
