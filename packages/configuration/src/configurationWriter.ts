import { randomBytes } from 'node:crypto';
import {
  compareAndSwapWithReadBack,
  type KeyValueStore,
  StoreError,
  type TokenedValue,
} from '@marjorampin/store';
import {
  type Contract,
  Err,
  Ok,
  type Result,
  type SealingKey,
  type Service,
} from '@marjorampin/types';
import {
  contractBucketKey,
  type ContractBucket,
  SEALING_KEYS_KEY,
  SERVICES_KEY,
} from './configurationKeys';

/** A customer's contract, if any, with the revision to expect when changing it. */
export interface VersionedContract {
  contract: Contract | undefined;
  revision: number;
}

/** A new or changed contract. */
export interface ContractChange {
  contract: Contract;
  /** Revision that the change is based on; if omitted, any revision is overwritten. */
  expectedRevision?: number | undefined;
}

/** Writes configuration to the platform's store; each change is a compare-and-swap. */
export class ConfigurationWriter {
  private readonly store: KeyValueStore;

  constructor({ store }: { store: KeyValueStore }) {
    this.store = store;
  }

  /** Reads a customer's contract. */
  async readContract(customer: string): Promise<Result<VersionedContract, StoreError>> {
    const read = await this.store.get(contractBucketKey(customer));
    if (read.err) return read;
    const bucket = read.val ? (JSON.parse(read.val.value) as ContractBucket) : { contracts: [] };
    const contract = bucket.contracts.find((candidate) => candidate.customer === customer);
    return Ok({ contract, revision: read.val?.version ?? 0 });
  }

  /** Writes a contract and returns its new revision; fails with `conflict` after a concurrent change. */
  async writeContract(change: ContractChange): Promise<Result<number, StoreError>> {
    const { contract, expectedRevision } = change;
    const key = contractBucketKey(contract.customer);
    const read = await this.store.get(key);
    if (read.err) return read;
    const revision = read.val?.version ?? 0;
    if (expectedRevision !== undefined && expectedRevision !== revision) {
      const message = `the contract is at revision ${revision}, not ${expectedRevision}; read it again and repeat the change`;
      return Err(new StoreError({ kind: 'conflict', message }));
    }
    const bucket = read.val ? (JSON.parse(read.val.value) as ContractBucket) : { contracts: [] };
    const others = bucket.contracts.filter(({ customer }) => customer !== contract.customer);
    const value = { contracts: [...others, contract] };
    return this.swap<ContractBucket & TokenedValue>(key, value, revision);
  }

  /** Replaces the list of services and returns its new revision. */
  async writeServices(services: Service[]): Promise<Result<number, StoreError>> {
    return this.replace(SERVICES_KEY, { services });
  }

  /** Writes a random sealing key if there is none. */
  async ensureSealingKey(): Promise<Result<void, StoreError>> {
    const read = await this.store.get(SEALING_KEYS_KEY);
    if (read.err) return read;
    if (read.val) return Ok(undefined);
    const key: SealingKey = { number: 1, secret: randomBytes(32).toString('base64') };
    const written = await this.swap(SEALING_KEYS_KEY, { sealingKeys: [key] }, 0);
    // On a conflict, another process has already written a key, which is used instead.
    if (written.err && written.val.kind !== 'conflict') return Err(written.val);
    return Ok(undefined);
  }

  private async replace(key: string, value: object): Promise<Result<number, StoreError>> {
    const read = await this.store.get(key);
    if (read.err) return read;
    return this.swap(key, value, read.val?.version ?? 0);
  }

  private swap<Value extends TokenedValue>(
    key: string,
    value: object,
    expectedVersion: number,
  ): Promise<Result<number, StoreError>> {
    return compareAndSwapWithReadBack<Value>(this.store, {
      key,
      value: value as Omit<Value, 'token'>,
      expectedVersion,
    });
  }
}
