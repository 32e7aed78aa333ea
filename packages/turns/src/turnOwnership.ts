import type { TurnRecord } from '@marjorampin/protocol';

/** Whether an account may continue a chain of turns; `unrecorded` if a turn was stored by a build that
 * knows no accounts, so that its account can't be told. */
export type TurnOwnership = 'own' | 'foreign' | 'unrecorded';

/**
 * Returns whether an account may continue a chain, all turns of which are sent with the next one.
 * `account` is empty for a caller without an account, and undefined without configured accounts, when
 * turns belong to nobody.
 */
export function ownershipOf(chain: TurnRecord[], account: string | undefined): TurnOwnership {
  if (account === undefined) return 'own';
  const isForeign = chain.some((turn) => turn.account !== undefined && turn.account !== account);
  if (isForeign) return 'foreign';
  return chain.some((turn) => turn.account === undefined) ? 'unrecorded' : 'own';
}
