/** Durable, sharded ledger of at-most-once calls and granted budgets. */
export * from './ledgerHead';
export * from './ledgerRecord';
export * from './ledgerShard';
