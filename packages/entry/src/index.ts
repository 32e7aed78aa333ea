/** The process that takes callers' requests and decides. */
export * from './calls';
export * from './entry';
export * from './openApi';
export * from './problemDetails';
