/** Histories of programs: chained segments, where they are kept, and what callers carry. */
export * from './continuation';
export * from './diskHistoryStore';
export * from './historyStore';
export * from './segmentChain';
