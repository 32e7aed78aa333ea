/** The agent process, which runs beside an endpoint and executes its calls. */
export * from './agent';
export * from './callRegistry';
export * from './modelEndpoint';
export * from './plainEndpoint';
