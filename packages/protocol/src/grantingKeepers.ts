import type { Keeper, Reply, Roster } from './gen/peer_pb';
import type { RequestBody } from './peerChannel';

/** Keepers as the clients use them that acquire what keepers grant. */
export interface GrantingKeepers {
  /** Newest roster, or undefined before the first one. */
  readonly roster: Roster | undefined;
  /** Returns the keepers that share the grants of a key; none before the first roster. */
  ownersOf(key: string): Keeper[];
  /** Expected latency of a keeper's reply in milliseconds; infinite if it is unresponsive. */
  expectedMs(keeper: Keeper): number;
  /** Sends a request to one keeper. */
  callKeeper(keeper: Keeper, body: RequestBody): Promise<Reply>;
}
