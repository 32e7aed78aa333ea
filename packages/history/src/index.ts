/** Histories of programs: chained segments, their stores, and sealed continuations. */
export * from './continuation';
export * from './diskHistoryStore';
export * from './historyStore';
export * from './segmentChain';
