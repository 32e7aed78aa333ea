/** Who takes part, who is alive, and who owns which partition. */
export * from './failureDetector';
export * from './member';
export * from './memberDirectory';
export * from './monitorRing';
export * from './partitionPage';
export * from './partitionTable';
export * from './rendezvous';
