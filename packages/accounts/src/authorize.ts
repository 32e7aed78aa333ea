import type { ClientAccount } from '@marjorampin/types';
import { AccountRefusal, type RefusalReason } from './accountRefusal';
import type { AccountTable } from './accountTable';
import type { Credential } from './credential';
import type { RevocationBounds } from './revocationBounds';

/** Retry delay while the configuration is not confirmed, in milliseconds; other entries may have a
 * confirmed one. */
const UNCONFIRMED_RETRY_MS = 10;

/** What the decision about a request depends on. */
export interface AccessRequest {
  accounts: AccountTable;
  /** Milliseconds since the configuration was last known to be current. */
  ageMs: number;
  /** Age in milliseconds above which a newer configuration may allow what this one does not. */
  uncertainAgeMs: number;
  /** Undefined if keys are accepted for any age of the configuration. */
  bounds: RevocationBounds | undefined;
}

/**
 * Returns the account of a request on a route that is not public. Throws `unauthenticated` without the
 * key of an account, and `not-configured` if the configuration is too old to decide: clients don't retry
 * the first, and a key that is removed must stop working while the store can't be read.
 */
export function authorize(credential: Credential, request: AccessRequest): ClientAccount {
  const { accounts, ageMs, uncertainAgeMs, bounds } = request;
  const account = credential.kind === 'key' ? accounts.find(credential.digest) : undefined;
  const isTooOld = bounds !== undefined && ageMs > bounds.refusalAgeMs;
  if (account && !isTooOld) return account;
  if (account || ageMs > uncertainAgeMs) throw configurationTooOld(ageMs, account?.name);
  throw unauthenticated(credential);
}

function configurationTooOld(ageMs: number, account: string | undefined): AccountRefusal {
  return new AccountRefusal({
    reason: 'configuration-old',
    account,
    kind: 'not-configured',
    message: `this entry has not read the accounts for ${Math.round(ageMs)} ms and can't tell whether the API key is valid; retry at another one after ${UNCONFIRMED_RETRY_MS} ms`,
    retryAfterMs: UNCONFIRMED_RETRY_MS,
  });
}

function unauthenticated(credential: Credential): AccountRefusal {
  const { reason, cause } = causeOf(credential);
  return new AccountRefusal({
    reason,
    kind: 'unauthenticated',
    message: `${cause}; send one Authorization header with "Bearer", one space, and an API key of an account`,
  });
}

function causeOf(credential: Credential): { reason: RefusalReason; cause: string } {
  switch (credential.kind) {
    case 'absent':
      return { reason: 'key-absent', cause: 'the request has no API key' };
    case 'malformed':
      return { reason: 'key-malformed', cause: `the API key is malformed: ${credential.reason}` };
    default:
      return { reason: 'key-unknown', cause: 'no account has the API key of the request' };
  }
}
