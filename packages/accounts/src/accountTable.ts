import type { ClientAccount } from '@marjorampin/types';

/** Finds accounts by the digests of their keys, in constant time for any number of keys. */
export class AccountTable {
  private readonly accounts = new Map<string, ClientAccount>();

  /** Number of keys that a second account lists, too; they belong to the first one. */
  readonly sharedKeyCount: number;

  constructor({ accounts }: { accounts: ClientAccount[] }) {
    let sharedKeyCount = 0;
    accounts.forEach((account) => {
      account.keyDigests.forEach((digest) => {
        const owner = this.accounts.get(digest);
        if (owner === undefined) this.accounts.set(digest, account);
        else if (owner !== account) sharedKeyCount += 1;
      });
    });
    this.sharedKeyCount = sharedKeyCount;
  }

  /** Returns the account that a key belongs to; undefined for an unknown key. */
  find(digest: string): ClientAccount | undefined {
    return this.accounts.get(digest);
  }
}
