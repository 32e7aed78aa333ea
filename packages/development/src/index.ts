/** The whole system in one process, for development, tests and benchmarks. */
export * from './developmentCluster';
