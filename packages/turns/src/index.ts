/** Turns and budgets of programs, stored on the disks of keepers. */
export * from './copyHolders';
export * from './durableLog';
export * from './keeperGroup';
export * from './keeperHandler';
export * from './keeperProcess';
export * from './keeperMonitor';
export * from './keeperState';
export * from './permitClient';
export * from './programTable';
export * from './restoration';
export * from './retention';
export * from './relayedStore';
export * from './rosterMaintainer';
export * from './rosterRecord';
export * from './sharedList';
export * from './turnStore';
