/** The record of calls that run at most once, and of budgets granted. */
export * from './ledgerHead';
export * from './ledgerRecord';
export * from './ledgerShard';
