/** The process that takes callers' requests and decides. */
export * from './budgetAccount';
export * from './calls';
export * from './entry';
export { Ledger } from './ledgerClient';
export * from './openApi';
export * from './problemDetails';
export * from './program';
