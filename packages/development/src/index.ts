/** The whole system in one process, for development and tests. */
export * from './developmentCluster';
