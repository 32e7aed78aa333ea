import { createHash } from 'node:crypto';
import type { Contract } from '@marjorampin/types';

/** Prefix of all configuration in the platform's store. */
export const CONFIGURATION_PREFIX = 'configuration/';

/** Key of the list of services. */
export const SERVICES_KEY = `${CONFIGURATION_PREFIX}services`;

/** Key of the keys that seal continuations. */
export const SEALING_KEYS_KEY = `${CONFIGURATION_PREFIX}sealing-keys`;

/** Prefix of the buckets of contracts. */
export const CONTRACT_PREFIX = `${CONFIGURATION_PREFIX}contracts/`;

const CONTRACT_BUCKET_COUNT = 64;

/** Contracts of the customers that share one value in the store. */
export interface ContractBucket {
  contracts: Contract[];
}

/** Returns the key of the bucket that holds a customer's contract. */
export function contractBucketKey(customer: string): string {
  const bucket = (createHash('sha256').update(customer).digest()[0] ?? 0) % CONTRACT_BUCKET_COUNT;
  return `${CONTRACT_PREFIX}${String(bucket).padStart(2, '0')}`;
}
