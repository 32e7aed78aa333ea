/** Member directory, failure detection and partition table of the entries. */
export * from './failureDetector';
export * from './member';
export * from './memberDirectory';
export * from './monitorRing';
export * from './partitionPage';
export * from './partitionTable';
export * from './rendezvous';
