/** The process beside an endpoint. */
export * from './agent';
export * from './callRegister';
export * from './modelEndpoint';
export * from './plainEndpoint';
