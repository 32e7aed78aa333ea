import { createHash } from 'node:crypto';
import type { Contract } from '@marjorampin/types';

/** Prefix of all configuration keys in the platform's store. */
export const CONFIGURATION_PREFIX = 'configuration/';

/** Key of the list of services. */
export const SERVICES_KEY = `${CONFIGURATION_PREFIX}services`;

/** Key of the list of sealing keys, which protect continuations. */
export const SEALING_KEYS_KEY = `${CONFIGURATION_PREFIX}sealing-keys`;

/** Key prefix of the contract buckets. */
export const CONTRACT_PREFIX = `${CONFIGURATION_PREFIX}contracts/`;

const CONTRACT_BUCKET_COUNT = 64;

/** Contracts that share one value in the store, as their customers hash to the same bucket. */
export interface ContractBucket {
  contracts: Contract[];
}

/** Returns the key of the bucket that contains a customer's contract. */
export function contractBucketKey(customer: string): string {
  const bucket = (createHash('sha256').update(customer).digest()[0] ?? 0) % CONTRACT_BUCKET_COUNT;
  return `${CONTRACT_PREFIX}${String(bucket).padStart(2, '0')}`;
}
