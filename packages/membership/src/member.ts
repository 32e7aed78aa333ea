import type { TokenedValue } from '@marjorampin/store';

/** Prefix of the members' keys in the platform's store. */
export const MEMBER_PREFIX = 'members/';

/** An entry as it registered itself. */
export interface Member extends TokenedValue {
  id: string;
  /** Address for peers, `IP:port`. */
  address: string;
  domain: string;
  /** Changes with every start. */
  incarnation: string;
  /** True once a planned stop began. */
  leaving: boolean;
}

/** Key of a member. */
export function memberKey(id: string): string {
  return `${MEMBER_PREFIX}${id}`;
}
