import { decodeValue, type StoredValue, type TokenedValue } from '@marjorampin/store';
import { parsePeerAddress } from '@marjorampin/types';
import * as z from 'zod';

/** Prefix of the members' keys in the platform's key-value store. */
export const MEMBER_PREFIX = 'members/';

/** Registration of an entry in the member directory. */
export interface Member extends TokenedValue {
  id: string;
  /** Address for peers, `IP:port`. */
  address: string;
  /** Failure domain. */
  domain: string;
  /** Id of the current run of the entry's process; every start creates a new one. */
  incarnation: string;
  /** True once a graceful shutdown has begun. */
  leaving: boolean;
}

/** Returns the store key of a member. */
export function memberKey(id: string): string {
  return `${MEMBER_PREFIX}${id}`;
}

const memberSchema = z.object({
  id: z.string(),
  address: z.string().refine((text) => parsePeerAddress(text) !== undefined),
  domain: z.string(),
  incarnation: z.string(),
  leaving: z.boolean(),
  token: z.string().default(''),
});

/** Decodes the registration of a member; returns undefined if it describes none. */
export function decodeMember(stored: StoredValue): Member | undefined {
  const member = decodeValue(stored, memberSchema);
  return member && memberKey(member.id) === stored.key ? member : undefined;
}
