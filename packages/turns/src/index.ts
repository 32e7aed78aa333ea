/** Turns and budgets of programs, kept on the disks of keepers. */
export * from './durableLog';
export * from './keeperGroup';
export * from './keeperHandler';
export * from './keeperProcess';
export * from './keeperReach';
export * from './keeperState';
export * from './programBook';
export * from './restoration';
export * from './rosterMember';
export * from './rosterRecord';
export * from './turnStore';
