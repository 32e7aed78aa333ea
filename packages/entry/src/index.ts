/** The entry process, which serves the HTTP APIs and owns partitions of programs. */
export * from './budgetAccount';
export * from './calls';
export * from './entry';
export { Ledger } from './ledgerClient';
export * from './openApi';
export * from './problemDetails';
export * from './program';
